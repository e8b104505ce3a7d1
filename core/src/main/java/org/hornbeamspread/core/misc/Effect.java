package org.hornbeamspread.core.misc;

/** Whether a request took effect. */
public enum Effect {
    /** The request ran, and its result is acknowledged. */
    DONE,
    /** The request provably did not run. */
    NOT_RUN,
    /** The request may have run. */
    UNKNOWN
}
