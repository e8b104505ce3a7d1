package org.hornbeamspread.emulator;

import java.util.Optional;
import java.util.SortedMap;

/** Tables of rows; each row has a key and a value. */
interface Rows {
    /** The value of a key; empty if the row does not exist. */
    Optional<String> get(String table, String key);

    /** All rows whose keys start with the prefix, in key order. */
    SortedMap<String, String> withPrefix(String table, String prefix);

    /** Sets the value of a key. */
    void put(String table, String key, String value);
}
