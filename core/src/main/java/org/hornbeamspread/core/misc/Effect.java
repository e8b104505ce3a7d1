package org.hornbeamspread.core.misc;

/** What is known of a request's effect. */
public enum Effect {
    /** It ran, and its result is acknowledged. */
    DONE,
    /** It did not run, with proof. */
    NOT_RUN,
    /** It may have run. */
    UNKNOWN
}
