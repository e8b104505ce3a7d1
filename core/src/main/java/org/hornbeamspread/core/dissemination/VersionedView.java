package org.hornbeamspread.core.dissemination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.LongFunction;

/**
 * A map with a version that increases by one with each change, so that a reader at version v receives only the changes
 * after v. A tombstone for each removed key is kept until the view is dropped at the end of its leader's term. Confined
 * to one thread.
 *
 * @param <V> the type of the values
 */
public final class VersionedView<V> {
    private final Map<String, Versioned<V>> entries = new HashMap<>();

    /** The key that changed at each version; one entry for each key, at the version of its latest change. */
    private final NavigableMap<Long, String> keysByVersion = new TreeMap<>();

    /** The removed keys, with the version of their removal. */
    private final Map<String, Long> tombstones = new HashMap<>();

    private long version;

    /** The latest version; 0 before the first change. */
    public long version() {
        return version;
    }

    /** The version that the next change will get. */
    public long nextVersion() {
        return version + 1;
    }

    /** Puts a value, which is computed from the version of its change, and returns it. */
    public V put(String key, LongFunction<V> value) {
        discard(key);
        version++;
        V created = value.apply(version);
        entries.put(key, new Versioned<>(version, created));
        keysByVersion.put(version, key);
        return created;
    }

    /** Removes a key; returns whether the key was present. */
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

    /** The value of a key, or null if absent. */
    public V get(String key) {
        Versioned<V> entry = entries.get(key);
        return entry == null ? null : entry.value;
    }

    /** Increments the version for a change outside the map, which {@link #changesSince} does not return. */
    public long incrementVersion() {
        version++;
        return version;
    }

    /** The values that changed after a version, in the order of their changes; all values for version 0. */
    public List<V> changesSince(long sinceVersion) {
        List<V> values = new ArrayList<>();
        for (String key : keysByVersion.tailMap(sinceVersion, false).values()) {
            Versioned<V> entry = entries.get(key);
            if (entry != null) {
                values.add(entry.value);
            }
        }
        return values;
    }

    /** The keys that were removed after a version. */
    public List<String> removedSince(long sinceVersion) {
        return keysByVersion.tailMap(sinceVersion, false).values().stream()
                .filter(tombstones::containsKey)
                .toList();
    }

    private void discard(String key) {
        Versioned<V> previous = entries.remove(key);
        if (previous != null) {
            keysByVersion.remove(previous.version);
        }
        Long removalVersion = tombstones.remove(key);
        if (removalVersion != null) {
            keysByVersion.remove(removalVersion);
        }
    }

    /** A value and the version of its last change. */
    private record Versioned<V>(long version, V value) {}
}
