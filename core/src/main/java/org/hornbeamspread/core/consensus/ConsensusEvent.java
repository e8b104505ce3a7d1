package org.hornbeamspread.core.consensus;

import java.util.Optional;
import org.hornbeamspread.core.misc.FailureType;

/** What a {@link ConsensusNode} is told. */
public sealed interface ConsensusEvent {
    /**
     * A message came.
     *
     * @param message the message
     * @param replyId given back with the reply; 0 when the message is itself a reply
     */
    record Received(Message message, long replyId) implements ConsensusEvent {}

    /** Time may have passed. */
    record Tick() implements ConsensusEvent {}

    /**
     * Something is to be appended.
     *
     * @param proposalId given back with the outcome
     * @param payload what to append
     * @param membership the members it sets, if it changes them
     */
    record Proposal(long proposalId, Payload payload, Optional<Membership> membership) implements ConsensusEvent {}

    /**
     * A read wants to know that this member leads and has applied everything committed before.
     *
     * @param readId given back with the outcome
     */
    record Read(long readId) implements ConsensusEvent {}

    /**
     * A {@link ConsensusEffect.Persist}, and all before it, are synced.
     *
     * @param persistId of that effect
     */
    record Synced(long persistId) implements ConsensusEvent {}

    /**
     * The disk takes nothing for now, or no more.
     *
     * @param reason DISK_FULL or DISK_FAILED
     */
    record StorageStalled(FailureType reason) implements ConsensusEvent {}

    /**
     * The owner took the state at the last record applied.
     *
     * @param lastIndex that record
     * @param state the state
     */
    record SnapshotTaken(long lastIndex, Payload state) implements ConsensusEvent {}
}
