package org.hornbeamspread.control.consensus;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.core.consensus.ConsensusEvent;
import org.hornbeamspread.core.consensus.Message;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.Envelope;

/** What the consensus thread is given. */
sealed interface ConsensusTask {
    /** An event of the disk, or a response. */
    record Event(ConsensusEvent event) implements ConsensusTask {}

    /** A request of another member. */
    record Request(Message message, Consumer<Envelope> answer) implements ConsensusTask {}

    /** A proposal. */
    record Propose(ControlCommand command, CompletableFuture<CommandResult> outcome) implements ConsensusTask {}

    /** A read to confirm. */
    record ConfirmLeadership(CompletableFuture<Void> outcome) implements ConsensusTask {}
}
