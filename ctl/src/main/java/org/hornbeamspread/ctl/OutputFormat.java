package org.hornbeamspread.ctl;

/** How answers are printed. */
public enum OutputFormat {
    /** Columns for people. */
    TABLE,
    /** The JSON mapping of the answer. */
    JSON
}
