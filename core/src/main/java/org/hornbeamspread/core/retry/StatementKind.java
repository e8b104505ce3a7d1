package org.hornbeamspread.core.retry;

/** What a second execution of a statement would do. */
public enum StatementKind {
    /** Changes nothing; may run any number of times. */
    READ,
    /** A write with an idempotency key: a resend returns the first answer. */
    KEYED_WRITE,
    /** A write without a key: a second run is a second effect. */
    UNKEYED_WRITE
}
