package org.hornbeamspread.proxy.session;

import org.hornbeamspread.core.sql.SqlError;

/** Why a statement was retried, on the same instance or on another one. */
enum RetryReason {
    /** The database had no capacity. */
    BUSY,
    /** The replica's log does not contain the required position. */
    LAGGING,
    /** The instance is not the primary. */
    NOT_PRIMARY,
    /** A read failed on the database. */
    FAILED,
    /** The connection was lost. */
    CONNECTION_LOST,
    /** No connection could be opened. */
    CONNECT_FAILED,
    /** The expected wait at the instance is too long, and another instance may have free capacity. */
    WAIT_TOO_LONG,
    /** The primary may be about to be replaced. */
    SEALED;

    static RetryReason of(SqlError error) {
        return switch (error) {
            case BUSY, TOO_MANY_CONNECTIONS -> BUSY;
            case REPLICA_LAGGING -> LAGGING;
            case READ_ONLY, WRONG_INSTANCE -> NOT_PRIMARY;
            default -> FAILED;
        };
    }
}
