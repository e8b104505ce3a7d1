package org.hornbeamspread.control.operations;

import com.google.protobuf.ByteString;
import java.util.function.Supplier;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.StateMachine;
import org.hornbeamspread.protocol.schema.ControlRecord;
import org.hornbeamspread.protocol.schema.ControlState;

/** Publishes the latest applied state of a state machine to all threads. */
public final class PublishedState implements StateMachine, Supplier<ControlState> {
    private final StateMachine stateMachine;
    private final Supplier<ControlState> snapshot;
    private volatile ControlState latest;

    /**
     * Wraps a state machine.
     *
     * @param snapshot returns the state as an immutable message; called on the consensus thread only
     */
    public PublishedState(StateMachine stateMachine, Supplier<ControlState> snapshot) {
        this.stateMachine = stateMachine;
        this.snapshot = snapshot;
        this.latest = snapshot.get();
    }

    @Override
    public ControlState get() {
        return latest;
    }

    @Override
    public CommandResult apply(ControlRecord record) {
        CommandResult result = stateMachine.apply(record);
        latest = snapshot.get();
        return result;
    }

    @Override
    public ByteString snapshot() {
        return stateMachine.snapshot();
    }

    @Override
    public void restore(ByteString state) {
        stateMachine.restore(state);
        latest = snapshot.get();
    }
}
