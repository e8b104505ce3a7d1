package org.hornbeamspread.core.consensus;

/**
 * The rules that the safety and the liveness of the log depend on. All are enabled in production; tests disable one to
 * show the failure that it prevents.
 */
public enum ConsensusRule {
    /** A candidate runs a pre-vote before it raises its term. */
    PRE_VOTE,
    /** A leader that receives no responses from a majority steps down. */
    CHECK_QUORUM,
    /** Votes and records are synced to disk before they are acknowledged. */
    SYNC_BEFORE_ANSWER,
    /** A member votes only for a candidate whose log is at least as up to date as its own. */
    VOTE_FOR_COMPLETE_LOG,
    /**
     * Only records of the leader's own term are committed by counting copies; a record of an older term is committed by
     * a later record of the leader's term.
     */
    COMMIT_OWN_TERM_ONLY,
    /** A read waits until a majority has answered a round of appends that began after it. */
    CONFIRM_READS,
    /** A member that lost its disk counts as a different member until the log records its new incarnation. */
    COUNT_INCARNATION,
    /** A membership change adds or removes at most one voter, and only after the previous change is committed. */
    ONE_CHANGE_AT_A_TIME
}
