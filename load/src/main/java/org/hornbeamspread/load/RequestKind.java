package org.hornbeamspread.load;

/** What a request of a rank does. */
enum RequestKind {
    /** A keyed, non-repeatable payment: its own row and the agent's balance in one transaction. */
    PAYMENT,
    /** A read with the session's token through a proxy other than the one that answered last. */
    SESSION_READ,
    /** A long read of an agent's payments, for the books. */
    LEDGER_SCAN,
    /** A long keyed write, from the field. */
    SYNC_WRITE
}
