package org.hornbeamspread.core.consensus;

import java.util.List;

/** A message between members. Messages may be lost, delayed, duplicated or reordered. */
public sealed interface Message {
    /** The sender's term; 0 in messages that have no term. */
    long term();

    /**
     * Requests a vote.
     *
     * @param term the term of the election; in a pre-vote the candidate's own term plus one
     * @param candidateId the candidate
     * @param lastIndex the index of the candidate's last record
     * @param lastTerm that record's term
     * @param preVote whether this is a pre-vote, which only checks whether a vote would be granted
     */
    record VoteRequest(long term, String candidateId, long lastIndex, long lastTerm, boolean preVote)
            implements Message {}

    /**
     * Answers a vote request.
     *
     * @param term the requested term when granted, else the voter's own
     * @param granted whether the candidate receives the vote
     * @param preVote whether this answers a pre-vote
     * @param voterId the voter
     * @param incarnation the voter's incarnation
     */
    record VoteResponse(long term, boolean granted, boolean preVote, String voterId, long incarnation)
            implements Message {}

    /**
     * Replicates records, or none as a heartbeat.
     *
     * @param term the leader's term
     * @param leaderId the leader
     * @param previousIndex the index before the first record
     * @param previousTerm the term at that index
     * @param commitIndex the index of the leader's last committed record
     * @param records the records, without gaps
     * @param round the leader's round of appends, returned in the response
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
     * @param matchIndex on success the last index that matches the leader's log and is synced, else a hint, the last
     *     index that may match
     * @param round the round of the request
     * @param memberId the follower
     * @param incarnation the follower's incarnation
     */
    record AppendResponse(long term, boolean success, long matchIndex, long round, String memberId, long incarnation)
            implements Message {}

    /**
     * Replaces the log of a follower that ends before the base of the leader's log.
     *
     * @param term the leader's term
     * @param leaderId the leader
     * @param snapshot the leader's latest snapshot
     */
    record SnapshotRequest(long term, String leaderId, Snapshot snapshot) implements Message {}

    /**
     * Answers a snapshot once it is synced.
     *
     * @param term the follower's term
     * @param matchIndex the last index that the follower is certain to hold; 0 for an outdated term
     * @param memberId the follower
     * @param incarnation the follower's incarnation
     */
    record SnapshotResponse(long term, long matchIndex, String memberId, long incarnation) implements Message {}

    /**
     * Sent by a member with an empty disk to the other initial members before the log is bootstrapped.
     *
     * @param memberId the sender
     * @param incarnation the sender's incarnation
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
     * @param memberId the responder
     * @param incarnation the responder's incarnation
     * @param blank whether the responder has neither voted nor stored a record
     * @param askedBy the incarnation in the request
     * @param initialMembership the members that the log was bootstrapped with; empty when the responder has none
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
