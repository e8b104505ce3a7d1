package org.hornbeamspread.emulator;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** The committed rows of a database. */
final class RowStore implements Rows {
    private final Map<String, NavigableMap<String, String>> tables = new HashMap<>();

    @Override
    public Optional<String> get(String table, String key) {
        return Optional.ofNullable(table(table).get(key));
    }

    @Override
    public SortedMap<String, String> withPrefix(String table, String prefix) {
        return table(table).subMap(prefix, true, prefix + Character.MAX_VALUE, false);
    }

    @Override
    public void put(String table, String key, String value) {
        table(table).put(key, value);
    }

    /** Removes a row. */
    void remove(String table, String key) {
        table(table).remove(key);
    }

    /** Removes all rows. */
    void clear() {
        tables.clear();
    }

    private NavigableMap<String, String> table(String name) {
        return tables.computeIfAbsent(name, unused -> new TreeMap<>());
    }
}
