package org.hornbeamspread.emulator;

import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** A view of base rows with uncommitted writes applied on top. */
final class RowOverlay implements Rows {
    private final Rows base;
    private final RowStore ownRows = new RowStore();
    private final TreeMap<TableKey, String> orderedWrites = new TreeMap<>();

    RowOverlay(Rows base) {
        this.base = base;
    }

    @Override
    public Optional<String> get(String table, String key) {
        Optional<String> ownValue = ownRows.get(table, key);
        return ownValue.isPresent() ? ownValue : base.get(table, key);
    }

    @Override
    public SortedMap<String, String> withPrefix(String table, String prefix) {
        SortedMap<String, String> ownMatches = ownRows.withPrefix(table, prefix);
        if (ownMatches.isEmpty()) {
            return base.withPrefix(table, prefix);
        }
        SortedMap<String, String> merged = new TreeMap<>(base.withPrefix(table, prefix));
        merged.putAll(ownMatches);
        return merged;
    }

    @Override
    public void put(String table, String key, String value) {
        ownRows.put(table, key, value);
        orderedWrites.put(new TableKey(table, key), value);
    }

    /** Applies all writes to the base rows. */
    void flush() {
        orderedWrites.forEach((tableKey, value) -> base.put(tableKey.table(), tableKey.key(), value));
    }

    /**
     * Identifies a row.
     *
     * @param table name of the table
     * @param key key of the row
     */
    private record TableKey(String table, String key) implements Comparable<TableKey> {
        @Override
        public int compareTo(TableKey other) {
            int byTable = table.compareTo(other.table);
            return byTable != 0 ? byTable : key.compareTo(other.key);
        }
    }
}
