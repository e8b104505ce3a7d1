package org.hornbeamspread.core.sql;

/** The reason why a statement did not succeed, and whether the statement may have taken effect. */
public enum SqlError {
    /** No capacity is free; nothing ran. */
    BUSY(true),
    /** The database's log does not reach the required position; nothing ran. */
    REPLICA_LAGGING(true),
    /** The database is not the primary; nothing ran. */
    READ_ONLY(true),
    /** The connection reached a database other than the intended one; nothing ran. */
    WRONG_INSTANCE(true),
    /** The database has no free connection; nothing ran. */
    TOO_MANY_CONNECTIONS(true),
    /** The transaction was rolled back. */
    ABORTED(true),
    /** The session has no prepared statement of this name; nothing ran. */
    UNKNOWN_PREPARED(true),
    /** There is no database of this name; nothing ran. */
    UNKNOWN_DATABASE(true),
    /** The statement can't be parsed, or is not allowed in the current state; nothing ran. */
    MALFORMED(true),
    /** The message exceeds the size limit; nothing ran. */
    TOO_LARGE(true),
    /** The caller is unknown; nothing ran. */
    NOT_AUTHORIZED(true),
    /** The database ran the statement and reported a failure. */
    FAILED(false),
    /** No response arrived in time; the statement may have run. */
    TIMEOUT(false),
    /** It is unknown whether the statement took effect. */
    IN_DOUBT(false);

    private final boolean notRun;

    SqlError(boolean notRun) {
        this.notRun = notRun;
    }

    /** Whether it is certain that no part of the statement took effect. */
    public boolean isNotRun() {
        return notRun;
    }
}
