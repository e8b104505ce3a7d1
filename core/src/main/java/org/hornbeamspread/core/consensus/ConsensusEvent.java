package org.hornbeamspread.core.consensus;

import java.util.Optional;
import org.hornbeamspread.core.misc.FailureType;

/** An input to a {@link ConsensusNode}. */
public sealed interface ConsensusEvent {
    /**
     * A message was received.
     *
     * @param message the message
     * @param replyId returned with the reply; 0 when the message is itself a reply
     */
    record Received(Message message, long replyId) implements ConsensusEvent {}

    /** A periodic event on which the node checks its timeouts against the clock. */
    record Tick() implements ConsensusEvent {}

    /**
     * A request to append a record.
     *
     * @param proposalId returned with the outcome
     * @param payload the payload of the record
     * @param membership the membership from this record on; empty unless the record changes it
     */
    record Proposal(long proposalId, Payload payload, Optional<Membership> membership) implements ConsensusEvent {}

    /**
     * A linearizable read: it is confirmed once this member is proven to lead still and has applied everything
     * committed before the read.
     *
     * @param readId returned with the outcome
     */
    record Read(long readId) implements ConsensusEvent {}

    /**
     * A {@link ConsensusEffect.Persist} and all earlier ones are synced.
     *
     * @param persistId the id of that effect
     */
    record Synced(long persistId) implements ConsensusEvent {}

    /**
     * A member announces that its process ends, so that a standby takes its vote while it still responds. Ignored unless
     * this member leads.
     *
     * @param memberId the departing member, possibly this one
     */
    record Departure(String memberId) implements ConsensusEvent {}

    /**
     * The disk accepts no writes, for now or permanently.
     *
     * @param reason DISK_FULL or DISK_FAILED
     */
    record StorageStalled(FailureType reason) implements ConsensusEvent {}

    /**
     * The owner took a snapshot of the state at the last applied record.
     *
     * @param lastIndex the index of that record
     * @param state the serialized state
     */
    record SnapshotTaken(long lastIndex, Payload state) implements ConsensusEvent {}
}
