package org.hornbeamspread.core.consensus;

/** A voter's decision on a vote or pre-vote request, with the first rule that refused it. */
public enum VoteAnswer {
    /** The candidate receives the vote, or would receive it in a pre-vote. */
    GRANTED,
    /** The voter may have lost its disk, and with it a vote that is still counted. */
    NOT_ALLOWED_TO_VOTE,
    /** The voter leads, or received a message of a leader within the election timeout. */
    LEADER_ACTIVE,
    /** The requested term is not later than the voter's, or older than it in a vote. */
    OUTDATED_TERM,
    /** The voter voted for another candidate in this term. */
    ALREADY_VOTED,
    /** The candidate's log ends before the voter's. */
    LOG_BEHIND
}
