package org.hornbeamspread.control;

import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.protocol.schema.ControlCommand;

/** The replicated log of the control members, as used by the other parts of the daemon. Thread-safe. */
public interface ReplicatedLog {
    /**
     * Appends a command, with the current time as its proposed_at_ms if that is not set. Completes with the result of
     * the state machine once the record is committed and applied on this member. Fails with NOT_LEADER when nothing was
     * appended, with LEADERSHIP_LOST when the outcome is unknown.
     */
    CompletableFuture<CommandResult> propose(ControlCommand command);

    /**
     * Completes once a majority confirms that this member still leads, and all records committed before are applied
     * here.
     */
    CompletableFuture<Void> confirmLeadership();

    /** The leadership as last observed by this member. */
    Leadership leadership();

    /** Registers a listener that is called on the consensus thread at each change of leadership. */
    void onLeadershipChange(java.util.function.Consumer<Leadership> listener);
}
