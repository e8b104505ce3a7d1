package org.hornbeamspread.control;

import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.protocol.schema.ControlCommand;

/** The control members' replicated log, as the rest of the daemon sees it. Safe for any thread. */
public interface ReplicatedLog {
    /**
     * Appends a command, with the present time as its proposed_at_ms if it has none. Completes with the state machine's result once the record is committed and applied here.
     * Fails with NOT_LEADER before anything was appended, LEADERSHIP_LOST when the outcome is not known.
     */
    CompletableFuture<CommandResult> propose(ControlCommand command);

    /** Completes once a majority confirms that this member still leads and everything committed before is applied here. */
    CompletableFuture<Void> confirmLeadership();

    /** Who leads, as far as this member knows. */
    Leadership leadership();

    /** Calls back on each change of leadership, on the consensus thread. */
    void onLeadershipChange(java.util.function.Consumer<Leadership> listener);
}
