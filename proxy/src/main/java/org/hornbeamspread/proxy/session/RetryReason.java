package org.hornbeamspread.proxy.session;

import org.hornbeamspread.core.sql.SqlError;

/** Why a statement was tried again, here or at another instance. */
enum RetryReason {
    /** The database had no capacity. */
    BUSY,
    /** The replica lacks the position. */
    LAGGING,
    /** The instance does not lead. */
    NOT_PRIMARY,
    /** A read failed at the database. */
    FAILED,
    /** The connection broke. */
    CONNECTION_LOST,
    /** No connection could be opened. */
    CONNECT_FAILED,
    /** The wait there is too long, and another instance may have room. */
    WAIT_TOO_LONG;

    static RetryReason of(SqlError error) {
        return switch (error) {
            case BUSY, TOO_MANY_CONNECTIONS -> BUSY;
            case REPLICA_LAGGING -> LAGGING;
            case READ_ONLY, WRONG_INSTANCE -> NOT_PRIMARY;
            default -> FAILED;
        };
    }
}
