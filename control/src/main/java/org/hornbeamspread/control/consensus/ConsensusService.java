package org.hornbeamspread.control.consensus;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.Leadership;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.control.StateMachine;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerTransport;

/** The replicated log of the control members, on its own threads. */
public final class ConsensusService implements ReplicatedLog, AutoCloseable {
    /** Opens the data directory; {@link #start} runs it. Fails with LOG_CORRUPTED, INVALID_SETTING or DISK_FAILED. */
    public ConsensusService(
            ConsensusSettings settings,
            StateMachine stateMachine,
            Clock clock,
            PeerTransport transport,
            PrometheusRegistry registry) {}

    /** Starts the threads. */
    public ConsensusService start() {
        return this;
    }

    /** Takes a request of the consensus protocol from the shared peer port. False, untouched, when it is another's. */
    public boolean handle(PeerConnection connection, Envelope request, Consumer<Envelope> answer) {
        return false;
    }

    @Override
    public CompletableFuture<CommandResult> propose(ControlCommand command) {
        return CompletableFuture.failedFuture(new FailureException(FailureType.NO_LEADER, "not running"));
    }

    @Override
    public CompletableFuture<Void> confirmLeadership() {
        return CompletableFuture.failedFuture(new FailureException(FailureType.NO_LEADER, "not running"));
    }

    @Override
    public Leadership leadership() {
        return new Leadership(0, java.util.Optional.empty(), false);
    }

    @Override
    public void onLeadershipChange(Consumer<Leadership> listener) {}

    /** The members as the log has them, with what the leader knows of each one's progress. */
    public List<ControlMember> members() {
        return List.of();
    }

    /** Stops the threads and closes the files. */
    @Override
    public void close() {}
}
