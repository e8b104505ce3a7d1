package org.hornbeamspread.emulator;

import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** Writes that are not committed yet, seen on top of the rows below. */
final class RowOverlay implements Rows {
    private final Rows below;
    private final RowStore written = new RowStore();
    private final TreeMap<TableKey, String> order = new TreeMap<>();

    RowOverlay(Rows below) {
        this.below = below;
    }

    @Override
    public Optional<String> get(String table, String key) {
        Optional<String> own = written.get(table, key);
        return own.isPresent() ? own : below.get(table, key);
    }

    @Override
    public SortedMap<String, String> withPrefix(String table, String prefix) {
        SortedMap<String, String> own = written.withPrefix(table, prefix);
        if (own.isEmpty()) {
            return below.withPrefix(table, prefix);
        }
        SortedMap<String, String> merged = new TreeMap<>(below.withPrefix(table, prefix));
        merged.putAll(own);
        return merged;
    }

    @Override
    public void put(String table, String key, String value) {
        written.put(table, key, value);
        order.put(new TableKey(table, key), value);
    }

    /** Writes everything to the rows below. */
    void flush() {
        order.forEach((at, value) -> below.put(at.table(), at.key(), value));
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
