package org.hornbeamspread.core.sql;

/** The transaction state of a session. */
public enum TransactionState {
    /** No transaction is open. */
    IDLE,
    /** A transaction is open. */
    OPEN,
    /** A transaction is open and has failed; only commit or rollback is accepted. */
    FAILED
}
