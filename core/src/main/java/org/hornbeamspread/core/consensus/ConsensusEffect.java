package org.hornbeamspread.core.consensus;

import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureType;

/** What a {@link ConsensusNode} wants done, in this order. */
public sealed interface ConsensusEffect {
    /** Send a request. */
    record Send(String toMemberId, Message message) implements ConsensusEffect {}

    /** Answer a request that was received. */
    record Reply(long replyId, Message message) implements ConsensusEffect {}

    /**
     * Write and sync, then report {@link ConsensusEvent.Synced}. The parts are written in this order.
     *
     * @param persistId rises by one with each
     * @param formed the members that the log is formed with
     * @param vote the term and the vote in it
     * @param rewrite a snapshot, with the whole log that goes with it
     * @param records to append; one whose index is taken replaces that record and all behind it
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
     * A term and the vote in it.
     *
     * @param term the highest term seen
     * @param votedFor whom the vote went to, if to anyone
     */
    record StoredVote(long term, Optional<String> votedFor) {}

    /**
     * A snapshot, with the log that goes with it.
     *
     * @param snapshot the snapshot
     * @param baseIndex the index before the first record
     * @param baseTerm the term at that index
     * @param records all records that are kept
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

    /** Replace the applied state. */
    record Restore(Snapshot snapshot) implements ConsensusEffect {}

    /**
     * Leadership changed, as far as this member knows.
     *
     * @param term the term
     * @param leaderId who leads, if known
     * @param ready whether this member leads and has applied a record of its own term
     */
    record LeadershipChanged(long term, Optional<String> leaderId, boolean ready) implements ConsensusEffect {}

    /** A proposal has its place in the log; its fate is known when that index is applied. */
    record ProposalAppended(long proposalId, long index, long term) implements ConsensusEffect {}

    /** A proposal was not appended. */
    record ProposalRefused(long proposalId, FailureType reason) implements ConsensusEffect {}

    /** A read may go ahead. */
    record ReadConfirmed(long readId) implements ConsensusEffect {}

    /** A read can't be confirmed here. */
    record ReadRefused(long readId, FailureType reason) implements ConsensusEffect {}

    /** This leader wants the members recorded in the log; the owner answers with a proposal. */
    record MembershipChangeNeeded(Membership membership) implements ConsensusEffect {}
}
