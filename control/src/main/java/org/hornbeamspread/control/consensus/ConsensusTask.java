package org.hornbeamspread.control.consensus;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.core.consensus.ConsensusEvent;
import org.hornbeamspread.core.consensus.Message;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.Envelope;

/** A task in the queue of the consensus thread. */
sealed interface ConsensusTask {
    /** A disk event, or the response of another member. */
    record Event(ConsensusEvent event) implements ConsensusTask {}

    /** A request from another member. */
    record Request(Message message, Consumer<Envelope> replyCallback) implements ConsensusTask {}

    /** A command to append to the log. */
    record Propose(ControlCommand command, CompletableFuture<CommandResult> outcome) implements ConsensusTask {}

    /** A linearizable read that waits for a confirmation of leadership. */
    record ConfirmLeadership(CompletableFuture<Void> outcome) implements ConsensusTask {}
}
