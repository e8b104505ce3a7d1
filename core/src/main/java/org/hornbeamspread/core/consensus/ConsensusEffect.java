package org.hornbeamspread.core.consensus;

import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureType;

/** An effect that the owner of a {@link ConsensusNode} carries out. The order of the drained effects is binding. */
public sealed interface ConsensusEffect {
    /** Send a request. */
    record Send(String toMemberId, Message message) implements ConsensusEffect {}

    /** Reply to a received request. */
    record Reply(long replyId, Message message) implements ConsensusEffect {}

    /**
     * Write to disk and sync, then report {@link ConsensusEvent.Synced}. The parts are written in component order.
     *
     * @param persistId increases by one with each persist
     * @param initialMembership the members that the log is bootstrapped with
     * @param vote the current term and the vote cast in it
     * @param rewrite a snapshot and the whole log that replaces the stored one
     * @param records the records to append; a record whose index is in use replaces that record and all after it
     */
    record Persist(
            long persistId,
            Optional<Membership> initialMembership,
            Optional<StoredVote> vote,
            Optional<Rewrite> rewrite,
            List<LogRecord> records)
            implements ConsensusEffect {
        /** Copies the list. */
        public Persist {
            records = List.copyOf(records);
        }
    }

    /**
     * A term and the vote cast in it.
     *
     * @param term the highest term received
     * @param votedFor the candidate that received the vote, empty if no vote was cast
     */
    record StoredVote(long term, Optional<String> votedFor) {}

    /**
     * A snapshot, and the log from its base on.
     *
     * @param snapshot the snapshot
     * @param baseIndex the index before the first record
     * @param baseTerm the term at that index
     * @param records all retained records after the base
     */
    record Rewrite(Snapshot snapshot, long baseIndex, long baseTerm, List<LogRecord> records) {
        /** Copies the list. */
        public Rewrite {
            records = List.copyOf(records);
        }
    }

    /** Apply committed records. */
    record Apply(List<LogRecord> records) implements ConsensusEffect {
        /** Copies the list. */
        public Apply {
            records = List.copyOf(records);
        }
    }

    /** Replace the applied state by the snapshot. */
    record Restore(Snapshot snapshot) implements ConsensusEffect {}

    /**
     * The leadership that this member observes has changed.
     *
     * @param term the current term
     * @param leaderId the leader of the term, empty while unknown
     * @param ready whether this member leads and has applied a record of its own term
     */
    record LeadershipChanged(long term, Optional<String> leaderId, boolean ready) implements ConsensusEffect {}

    /**
     * A vote request was decided; an observation, which needs no action. The reply may still wait for a sync.
     *
     * @param candidateId the candidate
     * @param term the requested term
     * @param preVote whether the request was a pre-vote
     * @param answer the decision
     */
    record VoteAnswered(String candidateId, long term, boolean preVote, VoteAnswer answer) implements ConsensusEffect {}

    /** A proposal was appended at an index. Its outcome is decided when a record is applied at that index. */
    record ProposalAppended(long proposalId, long index, long term) implements ConsensusEffect {}

    /** A proposal was rejected and not appended. */
    record ProposalRefused(long proposalId, FailureType reason) implements ConsensusEffect {}

    /** A read may be served from the applied state. */
    record ReadConfirmed(long readId) implements ConsensusEffect {}

    /** A read cannot be confirmed by this member. */
    record ReadRefused(long readId, FailureType reason) implements ConsensusEffect {}

    /** The leader requests a membership change; the owner submits the membership as a proposal. */
    record MembershipChangeNeeded(Membership membership) implements ConsensusEffect {}
}
