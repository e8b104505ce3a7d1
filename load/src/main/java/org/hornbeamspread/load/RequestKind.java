package org.hornbeamspread.load;

/** The kind of the requests of a rank. */
enum RequestKind {
    /**
     * A non-repeatable payment with an idempotency key: adds to its own row and to the agent's balance in one
     * transaction.
     */
    PAYMENT,
    /** A read with the session's token, through another proxy than the session's last response. */
    SESSION_READ,
    /** A long read of an agent's payments, as for accounting. */
    LEDGER_SCAN,
    /** A long write with an idempotency key, as sent by agents in the field. */
    SYNC_WRITE
}
