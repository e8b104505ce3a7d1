package org.hornbeamspread.proxy.session;

/** Why a statement or a session was refused without running. */
enum RefusalReason {
    /** The configuration has no route for the database name. */
    NO_ROUTE,
    /** The proxy has not received a configuration yet. */
    NO_CONFIGURATION,
    /** The proxy is shutting down. */
    SHUTTING_DOWN,
    /** No instance is known to be the primary, or the primary is unreachable. */
    NO_PRIMARY,
    /** No instance is proven to hold a recent enough log position. */
    NO_RECENT_POSITION,
    /** The queue of the rank at the database is full. */
    QUEUE_FULL,
    /** The expected wait is too long for a response within the target time. */
    WAIT_TOO_LONG,
    /** The statement was still queued when its timeout expired. */
    NOT_SENT_IN_TIME,
    /** The limit of attempts on different instances was reached. */
    ATTEMPTS_SPENT,
    /** The statement is a write inside a read-only transaction. */
    READ_ONLY_TRANSACTION
}
