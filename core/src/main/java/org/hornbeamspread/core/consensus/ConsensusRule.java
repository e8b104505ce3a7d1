package org.hornbeamspread.core.consensus;

/** The rules that the log's safety and liveness rest on. All are in force; tests leave one out to see what it guards. */
public enum ConsensusRule {
    /** Ask how a vote would go before raising the term. */
    PRE_VOTE,
    /** A leader that hears from no majority steps down. */
    CHECK_QUORUM,
    /** Votes and records are synced before they are answered. */
    SYNC_BEFORE_ANSWER,
    /** A vote goes only to a candidate whose log is at least as complete. */
    VOTE_FOR_COMPLETE_LOG,
    /** Copies are counted only for records of the leader's own term; older ones are committed by those behind them. */
    COMMIT_OWN_TERM_ONLY,
    /** A read waits for a round with a majority. */
    CONFIRM_READS,
    /** A member that lost its disk is another member until the log names its new incarnation. */
    COUNT_INCARNATION,
    /** Members change by one voter at a time, and only once the change before is committed. */
    ONE_CHANGE_AT_A_TIME
}
