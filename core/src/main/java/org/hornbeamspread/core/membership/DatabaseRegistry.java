package org.hornbeamspread.core.membership;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The databases that have announced themselves. This is soft state: nothing is stored on disk, and each announcement
 * renews the database's entry. An entry that is not renewed is first marked unreachable and later removed. Of two
 * processes with the same database name the one with the higher incarnation is kept. Confined to one thread.
 */
public final class DatabaseRegistry {
    private final Clock clock;
    private final Duration reachabilityTimeout;
    private final Duration entryTtl;
    private final Map<String, Entry> entriesById = new HashMap<>();

    /** The entries of each group, sorted by database name. */
    private final Map<String, TreeMap<String, Entry>> entriesByGroup = new HashMap<>();

    /** The number of refused announcements of incarnations that a later incarnation has replaced. */
    private long refusedAnnouncements;

    /**
     * Creates an empty registry.
     *
     * @param reachabilityTimeout how long after its last message a database counts as reachable
     * @param entryTtl how long after the database's last message its entry is removed
     */
    public DatabaseRegistry(Clock clock, Duration reachabilityTimeout, Duration entryTtl) {
        this.clock = clock;
        this.reachabilityTimeout = reachabilityTimeout;
        this.entryTtl = entryTtl;
    }

    /** Applies an announcement. Returns the groups whose description changed. */
    public Set<String> announce(AnnouncedDatabase announced) {
        Entry existing = entriesById.get(announced.databaseId());
        if (existing != null
                && announced.status().incarnation() < existing.database.status().incarnation()) {
            refusedAnnouncements++;
            return Set.of();
        }
        if (existing != null && existing.database.group().equals(announced.group())) {
            return refresh(existing, announced);
        }
        Set<String> changed = new HashSet<>();
        if (existing != null) {
            remove(existing);
            changed.add(existing.database.group());
        }
        Entry entry = new Entry(announced, clock.instant());
        entriesById.put(announced.databaseId(), entry);
        entriesByGroup
                .computeIfAbsent(announced.group(), name -> new TreeMap<>())
                .put(announced.databaseId(), entry);
        changed.add(announced.group());
        return changed;
    }

    /** Applies a status received outside an announcement, for example in the response to a fence request. */
    public void updateStatus(DatabaseStatus status) {
        Entry existing = entriesById.get(status.databaseId());
        if (existing != null && status.supersedes(existing.database.status())) {
            existing.database = existing.database.withStatus(status);
            existing.lastContactAt = clock.instant();
        }
    }

    /**
     * Marks databases unreachable after the reachability timeout and removes expired entries. Returns the groups that
     * changed.
     */
    public Set<String> expire() {
        Instant now = clock.instant();
        Set<String> changed = new HashSet<>();
        List<Entry> expired = new ArrayList<>();
        for (Entry entry : entriesById.values()) {
            if (entry.reachable && now.isAfter(entry.lastContactAt.plus(reachabilityTimeout))) {
                entry.reachable = false;
                changed.add(entry.database.group());
            }
            if (now.isAfter(entry.lastContactAt.plus(entryTtl))) {
                expired.add(entry);
                changed.add(entry.database.group());
            }
        }
        expired.forEach(this::remove);
        return changed;
    }

    /** The latest announcement of a database, if its entry has not expired. */
    public Optional<AnnouncedDatabase> find(String databaseId) {
        return Optional.ofNullable(entriesById.get(databaseId)).map(entry -> entry.database);
    }

    /** Whether a status comes from the latest known incarnation of its database. */
    public boolean isCurrentIncarnation(DatabaseStatus status) {
        Entry entry = entriesById.get(status.databaseId());
        return entry != null && entry.database.status().incarnation() == status.incarnation();
    }

    /**
     * Whether the database counts as reachable: not after the reachability timeout has passed without a message, until
     * the next announcement.
     */
    public boolean isReachable(String databaseId) {
        Entry entry = entriesById.get(databaseId);
        return entry != null && entry.reachable;
    }

    /** The databases of a group, sorted by name. */
    public List<AnnouncedDatabase> findByGroup(String group) {
        Collection<Entry> entries =
                entriesByGroup.getOrDefault(group, new TreeMap<>()).values();
        return entries.stream().map(entry -> entry.database).toList();
    }

    /** The names of all databases. */
    public Set<String> databaseIds() {
        return Collections.unmodifiableSet(entriesById.keySet());
    }

    /** The number of announcements refused because a later incarnation had replaced the sender. */
    public long refusedAnnouncements() {
        return refusedAnnouncements;
    }

    private Set<String> refresh(Entry existing, AnnouncedDatabase announced) {
        boolean newer = announced.status().supersedes(existing.database.status());
        AnnouncedDatabase next = newer ? announced : announced.withStatus(existing.database.status());
        boolean changed = !existing.reachable || !existing.database.hasSameDescription(next);
        existing.database = next;
        existing.lastContactAt = clock.instant();
        existing.reachable = true;
        return changed ? Set.of(announced.group()) : Set.of();
    }

    private void remove(Entry entry) {
        entriesById.remove(entry.database.databaseId());
        TreeMap<String, Entry> group = entriesByGroup.get(entry.database.group());
        group.remove(entry.database.databaseId());
        if (group.isEmpty()) {
            entriesByGroup.remove(entry.database.group());
        }
    }

    /** A database and the time of its last message. */
    private static final class Entry {
        private AnnouncedDatabase database;
        private Instant lastContactAt;
        private boolean reachable = true;

        Entry(AnnouncedDatabase database, Instant contactAt) {
            this.database = database;
            this.lastContactAt = contactAt;
        }
    }
}
