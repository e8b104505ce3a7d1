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
 * The databases that announce themselves. This is soft state: nothing is stored, each announcement renews an entry, and
 * an entry that is not renewed first counts as unreachable and later expires. Of two processes with the same name the
 * one with the higher incarnation wins. Confined to one thread.
 */
public final class DatabaseRegistry {
    private final Clock clock;
    private final Duration reachabilityTimeout;
    private final Duration entryTtl;
    private final Map<String, Entry> entriesById = new HashMap<>();

    /** The names by group, sorted. */
    private final Map<String, TreeMap<String, Entry>> entriesByGroup = new HashMap<>();

    /** Announcements of an incarnation that a later one has replaced. */
    private long refusedAnnouncements;

    /**
     * Makes an empty registry.
     *
     * @param reachableFor how long after its last sign of life a database counts as reachable
     * @param expiry how long after it the entry is forgotten
     */
    public DatabaseRegistry(Clock clock, Duration reachableFor, Duration expiry) {
        this.clock = clock;
        this.reachabilityTimeout = reachableFor;
        this.entryTtl = expiry;
    }

    /** Takes an announcement in. Returns the groups whose description changed by it. */
    public Set<String> announce(AnnouncedDatabase announced) {
        Entry known = entriesById.get(announced.databaseId());
        if (known != null
                && announced.status().incarnation() < known.database.status().incarnation()) {
            refusedAnnouncements++;
            return Set.of();
        }
        if (known != null && known.database.group().equals(announced.group())) {
            return refresh(known, announced);
        }
        Set<String> changed = new HashSet<>();
        if (known != null) {
            remove(known);
            changed.add(known.database.group());
        }
        Entry entry = new Entry(announced, clock.instant());
        entriesById.put(announced.databaseId(), entry);
        entriesByGroup
                .computeIfAbsent(announced.group(), name -> new TreeMap<>())
                .put(announced.databaseId(), entry);
        changed.add(announced.group());
        return changed;
    }

    /** Takes in a status that came by another way than an announcement, for example with the answer to a fence. */
    public void updateStatus(DatabaseStatus status) {
        Entry known = entriesById.get(status.databaseId());
        if (known != null && status.supersedes(known.database.status())) {
            known.database = known.database.withStatus(status);
            known.lastContactAt = clock.instant();
        }
    }

    /** Marks silent databases unreachable and forgets expired ones. Returns the groups that changed. */
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

    /** The last announcement of a database, if it has not expired. */
    public Optional<AnnouncedDatabase> find(String databaseId) {
        return Optional.ofNullable(entriesById.get(databaseId)).map(entry -> entry.database);
    }

    /** Whether a status is of the latest known process of its name. */
    public boolean isCurrentIncarnation(DatabaseStatus status) {
        Entry entry = entriesById.get(status.databaseId());
        return entry != null && entry.database.status().incarnation() == status.incarnation();
    }

    /** Whether the database gave a sign of life lately. */
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

    /** How many announcements came from replaced incarnations. */
    public long refusedAnnouncements() {
        return refusedAnnouncements;
    }

    private Set<String> refresh(Entry known, AnnouncedDatabase announced) {
        boolean current = announced.status().supersedes(known.database.status());
        AnnouncedDatabase next = current ? announced : announced.withStatus(known.database.status());
        boolean changed = !known.reachable || !known.database.hasSameDescription(next);
        known.database = next;
        known.lastContactAt = clock.instant();
        known.reachable = true;
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

    /** One database and when it was last heard. */
    private static final class Entry {
        private AnnouncedDatabase database;
        private Instant lastContactAt;
        private boolean reachable = true;

        Entry(AnnouncedDatabase database, Instant heardAt) {
            this.database = database;
            this.lastContactAt = heardAt;
        }
    }
}
