package org.hornbeamspread.ctl;

/** The format of printed answers. */
public enum OutputFormat {
    /** Aligned columns of text. */
    TABLE,
    /** The JSON mapping of the answer. */
    JSON
}
