package org.hornbeamspread.core.consensus;

import java.util.List;

/** What members send to each other. Any of them may be lost, late, repeated or out of order. */
public sealed interface Message {
    /** The sender's term; 0 outside of terms. */
    long term();

    /**
     * Asks for a vote.
     *
     * @param term the term to lead; in a pre-vote one above the candidate's own
     * @param candidateId who asks
     * @param lastIndex the candidate's last record
     * @param lastTerm that record's term
     * @param preVote whether it only asks how a vote would go
     */
    record VoteRequest(long term, String candidateId, long lastIndex, long lastTerm, boolean preVote)
            implements Message {}

    /**
     * Answers a request for a vote.
     *
     * @param term the term voted in when granted, else the voter's own
     * @param granted whether the vote is the candidate's
     * @param preVote whether a pre-vote is answered
     * @param voterId who answers
     * @param incarnation the voter's incarnation
     */
    record VoteResponse(long term, boolean granted, boolean preVote, String voterId, long incarnation)
            implements Message {}

    /**
     * Replicates records, or none as a heartbeat.
     *
     * @param term the leader's term
     * @param leaderId who leads
     * @param previousIndex the index before the first record
     * @param previousTerm the term at that index
     * @param commitIndex the last record the leader knows committed
     * @param records the records, without gaps
     * @param round echoed in the response
     */
    record AppendRequest(
            long term,
            String leaderId,
            long previousIndex,
            long previousTerm,
            long commitIndex,
            List<LogRecord> records,
            long round)
            implements Message {
        /** Copies the list. */
        public AppendRequest {
            records = List.copyOf(records);
        }
    }

    /**
     * Answers an append.
     *
     * @param term the follower's term
     * @param success whether the log matches at the previous index
     * @param matchIndex on success the last record that matches the leader's and is synced, else a place to try next
     * @param round that of the request
     * @param memberId who answers
     * @param incarnation the follower's incarnation
     */
    record AppendResponse(long term, boolean success, long matchIndex, long round, String memberId, long incarnation)
            implements Message {}

    /**
     * Replaces a follower's log that ends before the leader's begins.
     *
     * @param term the leader's term
     * @param leaderId who leads
     * @param snapshot the leader's latest
     */
    record SnapshotRequest(long term, String leaderId, Snapshot snapshot) implements Message {}

    /**
     * Answers a snapshot once it is synced.
     *
     * @param term the follower's term
     * @param matchIndex the last record that the follower holds for certain
     * @param memberId who answers
     * @param incarnation the follower's incarnation
     */
    record SnapshotResponse(long term, long matchIndex, String memberId, long incarnation) implements Message {}

    /**
     * Sent by a member with an empty disk to those it should form the log with.
     *
     * @param memberId who asks
     * @param incarnation the asker's incarnation
     */
    record IntroduceRequest(String memberId, long incarnation) implements Message {
        @Override
        public long term() {
            return 0;
        }
    }

    /**
     * Answers an introduction.
     *
     * @param memberId who answers
     * @param incarnation the answerer's incarnation
     * @param blank whether it has neither voted nor kept anything either
     * @param askedBy the asker's incarnation
     * @param formed the members that the log was formed with; none when the answerer doesn't know
     */
    record IntroduceResponse(
            String memberId, long incarnation, boolean blank, long askedBy, Membership initialMembership)
            implements Message {
        @Override
        public long term() {
            return 0;
        }
    }
}
