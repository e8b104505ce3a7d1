package org.hornbeamspread.core.dissemination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.LongFunction;

/**
 * A map whose changes are numbered, so that a reader that knows version v gets only what changed since. A removed key is
 * remembered until the view is dropped with its leader's term. Confined to one thread.
 *
 * @param <V> the values
 */
public final class VersionedView<V> {
    private final Map<String, Versioned<V>> entries = new HashMap<>();

    /** Which key changed at which version; one entry for each key, at its latest change. */
    private final NavigableMap<Long, String> keysByVersion = new TreeMap<>();

    private final Map<String, Long> tombstones = new HashMap<>();
    private long version;

    /** The latest version; 0 while nothing was ever put. */
    public long version() {
        return version;
    }

    /** The version that the next change will get. */
    public long nextVersion() {
        return version + 1;
    }

    /** Puts a value that may carry the version of its change. */
    public V put(String key, LongFunction<V> value) {
        discard(key);
        version++;
        V made = value.apply(version);
        entries.put(key, new Versioned<>(version, made));
        keysByVersion.put(version, key);
        return made;
    }

    /** Removes a key; returns whether it was there. */
    public boolean remove(String key) {
        if (!entries.containsKey(key)) {
            return false;
        }
        discard(key);
        version++;
        tombstones.put(key, version);
        keysByVersion.put(version, key);
        return true;
    }

    /** The value of a key, or null. */
    public V get(String key) {
        Versioned<V> entry = entries.get(key);
        return entry == null ? null : entry.value;
    }

    /** Raises the version for a change outside the map, which {@link #changesSince} leaves out. */
    public long incrementVersion() {
        version++;
        return version;
    }

    /** The values that changed after a version, in the order of their changes; all of them for 0. */
    public List<V> changesSince(long known) {
        List<V> values = new ArrayList<>();
        for (String key : keysByVersion.tailMap(known, false).values()) {
            Versioned<V> entry = entries.get(key);
            if (entry != null) {
                values.add(entry.value);
            }
        }
        return values;
    }

    /** The keys that were removed after a version. */
    public List<String> removedSince(long known) {
        return keysByVersion.tailMap(known, false).values().stream()
                .filter(tombstones::containsKey)
                .toList();
    }

    private void discard(String key) {
        Versioned<V> old = entries.remove(key);
        if (old != null) {
            keysByVersion.remove(old.version);
        }
        Long removedAt = tombstones.remove(key);
        if (removedAt != null) {
            keysByVersion.remove(removedAt);
        }
    }

    /** A value and the version of its last change. */
    private record Versioned<V>(long version, V value) {}
}
