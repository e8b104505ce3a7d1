package org.hornbeamspread.control.routes;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.Leadership;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.control.operations.PublishedState;
import org.hornbeamspread.control.state.ControlStateMachine;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlRecord;
import org.hornbeamspread.protocol.schema.ControlState;

/**
 * The log of a single member that is always the leader, for one proposing thread. A command is applied when it is
 * proposed, except for changes of group terms: these never complete, so that no promotion makes progress.
 */
final class ImmediateLog implements ReplicatedLog {
    private static final Leadership LEADERSHIP = new Leadership(1, Optional.of("c1"), true);

    private final PublishedState state;
    private Runnable onApplied = () -> {};
    private long nextIndex = 1;

    ImmediateLog() {
        ControlStateMachine stateMachine = new ControlStateMachine();
        state = new PublishedState(stateMachine, stateMachine::state);
    }

    ControlState state() {
        return state.get();
    }

    /** Sets the listener that is called after each command; to be set before the first command. */
    void onApplied(Runnable listener) {
        onApplied = listener;
    }

    @Override
    public CompletableFuture<CommandResult> propose(ControlCommand command) {
        if (command.hasSetGroupTerms()) {
            return new CompletableFuture<>();
        }
        CommandResult result = state.apply(ControlRecord.newBuilder()
                .setIndex(nextIndex++)
                .setTerm(1)
                .setCommand(command)
                .build());
        onApplied.run();
        return CompletableFuture.completedFuture(result);
    }

    @Override
    public CompletableFuture<Void> confirmLeadership() {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public Leadership leadership() {
        return LEADERSHIP;
    }

    @Override
    public void onLeadershipChange(Consumer<Leadership> listener) {
        listener.accept(LEADERSHIP);
    }
}
