package org.hornbeamspread.emulator;

import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** Writes that are not committed yet, seen on top of the rows below. */
final class RowOverlay implements Rows {
    private final Rows base;
    private final RowStore ownRows = new RowStore();
    private final TreeMap<TableKey, String> orderedWrites = new TreeMap<>();

    RowOverlay(Rows below) {
        this.base = below;
    }

    @Override
    public Optional<String> get(String table, String key) {
        Optional<String> own = ownRows.get(table, key);
        return own.isPresent() ? own : base.get(table, key);
    }

    @Override
    public SortedMap<String, String> withPrefix(String table, String prefix) {
        SortedMap<String, String> own = ownRows.withPrefix(table, prefix);
        if (own.isEmpty()) {
            return base.withPrefix(table, prefix);
        }
        SortedMap<String, String> merged = new TreeMap<>(base.withPrefix(table, prefix));
        merged.putAll(own);
        return merged;
    }

    @Override
    public void put(String table, String key, String value) {
        ownRows.put(table, key, value);
        orderedWrites.put(new TableKey(table, key), value);
    }

    /** Writes everything to the rows below. */
    void flush() {
        orderedWrites.forEach((at, value) -> base.put(at.table(), at.key(), value));
    }

    /**
     * Where a row is.
     *
     * @param table the table's name
     * @param key the row's key
     */
    private record TableKey(String table, String key) implements Comparable<TableKey> {
        @Override
        public int compareTo(TableKey other) {
            int byTable = table.compareTo(other.table);
            return byTable != 0 ? byTable : key.compareTo(other.key);
        }
    }
}
