package org.hornbeamspread.proxy.session;

import org.hornbeamspread.core.sql.SqlError;

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
    READ_ONLY_TRANSACTION,
    /** The route requires a key, and the configuration has no workspace with this key. */
    UNKNOWN_KEY,
    /** This proxy has had no confirmed contact with control for so long that keys may have been revoked. */
    AUTHORIZATION_EXPIRED,
    /** The limit of the workspace's operations is reached. */
    QUOTA_EXCEEDED,
    /** The key has moved to another workspace since the operation began. */
    WORKSPACE_CHANGED,
    /** All clients together hold too much memory, and this one holds the most. */
    CLIENT_MEMORY,
    /** The values and prepared statements of the session are too many or too large. */
    SESSION_STATE;

    /** The error that reports the refusal to the client. */
    SqlError error() {
        return switch (this) {
            case UNKNOWN_KEY -> SqlError.NOT_AUTHORIZED;
            case NO_ROUTE -> SqlError.UNKNOWN_DATABASE;
            case SESSION_STATE -> SqlError.TOO_LARGE;
            default -> SqlError.BUSY;
        };
    }
}
