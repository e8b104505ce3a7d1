package org.hornbeamspread.core.retry;

/** Kinds of statements, by the effect of a second execution. */
public enum StatementKind {
    /** A statement that changes nothing and may run any number of times. */
    READ,
    /** A write with an idempotency key: a retry returns the first result. */
    KEYED_WRITE,
    /** A write without a key: a second execution applies the change again. */
    UNKEYED_WRITE
}
