package org.hornbeamspread.control.consensus;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.Leadership;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.control.StateMachine;
import org.hornbeamspread.control.storage.DiskLog;
import org.hornbeamspread.control.storage.RecordCodec;
import org.hornbeamspread.control.storage.WriteInterceptor;
import org.hornbeamspread.core.consensus.BootstrapMode;
import org.hornbeamspread.core.consensus.ConsensusEvent;
import org.hornbeamspread.core.consensus.Message;
import org.hornbeamspread.core.consensus.StoredState;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.ControlRecord;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.runtime.EventLoopThread;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerTransport;

/**
 * The replicated log of the control members. The consensus thread runs the consensus node, applies records and calls
 * listeners; the disk thread writes and syncs. Futures complete and listeners are called on the consensus thread, which
 * must not be blocked.
 */
public final class ConsensusService implements ReplicatedLog, AutoCloseable {
    private static final Logger LOG = System.getLogger(ConsensusService.class.getName());
    private static final int RING_CAPACITY = 16_384;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);
    private static final long ENQUEUE_RETRY_NS = Duration.ofMillis(1).toNanos();

    private final ConsensusLoop loop;
    private final DiskWriter diskWriter;
    private final MemberDirectory directory;
    private final ConsensusMetrics metrics;
    private final EventLoopThread<ConsensusTask> thread;

    /**
     * Opens the data directory; {@link #start} starts the threads. Fails with LOG_CORRUPTED, INVALID_SETTING or
     * DISK_FAILED.
     */
    public ConsensusService(
            ConsensusSettings settings,
            StateMachine stateMachine,
            Clock clock,
            PeerTransport transport,
            PrometheusRegistry registry,
            EventLog events) {
        this(settings, stateMachine, clock, transport, registry, events, WriteInterceptor.NONE);
    }

    /** The same, with an interceptor that is called before each write to disk. */
    public ConsensusService(
            ConsensusSettings settings,
            StateMachine stateMachine,
            Clock clock,
            PeerTransport transport,
            PrometheusRegistry registry,
            EventLog events,
            WriteInterceptor interceptor) {
        long incarnation = new SplittableRandom().nextLong(1, Long.MAX_VALUE);
        this.metrics = new ConsensusMetrics(registry);
        this.directory = new MemberDirectory(settings.members());
        DiskLog diskLog = DiskLog.open(
                settings.dataDirectory(),
                settings.memberId(),
                settings.clusterId(),
                incarnation,
                settings.bootstrapMode() == BootstrapMode.MAJORITY ? settings.members() : List.of(),
                interceptor);
        try {
            directory.update(diskLog.firstStartMembers());
            directory.update(diskLog.snapshotMembers());
            StoredState stored = diskLog.takeStoredState();
            stored.records().forEach(record -> updateDirectory(RecordCodec.wire(record)));
            this.diskWriter = new DiskWriter("disk-" + settings.memberId(), diskLog, directory, this::enqueueDiskEvent);
            PeerConnectionTracker tracker = new PeerConnectionTracker(clock, directory, events, metrics);
            PeerConnections connections = new PeerConnections(
                    transport, clock, new SplittableRandom(), settings.electionTimeout(), this::onResponse, tracker);
            ElectionTracker elections =
                    new ElectionTracker(settings.memberId(), clock, events, metrics, tracker::describe);
            this.loop = new ConsensusLoop(
                    settings.resumingFirstStart(diskLog.firstStartMembers()),
                    stateMachine,
                    clock,
                    stored,
                    diskWriter,
                    directory,
                    connections,
                    metrics,
                    elections);
        } catch (RuntimeException e) {
            diskLog.close();
            throw e;
        }
        this.thread = new EventLoopThread<>(
                "consensus-" + settings.memberId(), RING_CAPACITY, this::handle, TICK_INTERVAL, this::tick);
    }

    /** Starts the threads. */
    public ConsensusService start() {
        diskWriter.start();
        thread.start();
        return this;
    }

    /** Enqueues a request of the consensus protocol from the shared peer port. Returns false for any other request. */
    public boolean handle(PeerConnection connection, Envelope request, Consumer<Envelope> replyCallback) {
        Optional<Message> message = MessageCodec.message(request);
        request.getAppend().getRecordsList().forEach(this::updateDirectory);
        directory.update(request.getInstallSnapshot().getMembersList());
        message.ifPresent(received -> thread.offer(new ConsensusTask.Request(received, replyCallback)));
        return message.isPresent();
    }

    @Override
    public CompletableFuture<CommandResult> propose(ControlCommand command) {
        CompletableFuture<CommandResult> outcome = new CompletableFuture<>();
        enqueue(new ConsensusTask.Propose(command, outcome), outcome);
        return outcome;
    }

    @Override
    public CompletableFuture<Void> confirmLeadership() {
        CompletableFuture<Void> outcome = new CompletableFuture<>();
        enqueue(new ConsensusTask.ConfirmLeadership(outcome), outcome);
        return outcome;
    }

    @Override
    public Leadership leadership() {
        return loop.leadership();
    }

    @Override
    public void onLeadershipChange(Consumer<Leadership> listener) {
        loop.addLeadershipListener(listener);
    }

    /** Calls the listener on the consensus thread after records were applied, before their proposals complete. */
    public void onApplied(LongConsumer listener) {
        loop.addAppliedListener(listener);
    }

    /** The index of the last record applied on this member. */
    public long appliedIndex() {
        return loop.appliedIndex();
    }

    /** Whether this member has neither voted, nor stored a record, nor taken part in the bootstrap of the log. */
    public boolean isBlank() {
        return loop.isBlank();
    }

    /** Announces that the process of a member ends; a standby takes its vote. Ignored unless this member leads. */
    public void announceDeparture(String memberId) {
        thread.offer(new ConsensusTask.Event(new ConsensusEvent.Departure(memberId)));
    }

    /** The members according to the log; on the leader with the replication progress of each member. */
    public List<ControlMember> members() {
        return loop.members();
    }

    /** Calls the listener on the consensus thread when a member, its incarnation or its right to vote changed. */
    public void onMembersChange(Consumer<List<ControlMember>> listener) {
        loop.addMembersListener(listener);
    }

    /**
     * Stops the threads and closes the files. Pending appended proposals fail with LEADERSHIP_LOST, all other pending
     * proposals and reads with NOT_LEADER.
     */
    @Override
    public void close() {
        thread.close();
        try {
            if (thread.awaitStop(STOP_TIMEOUT)) {
                loop.close();
            } else {
                LOG.log(Level.WARNING, "the consensus thread did not stop in time");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        diskWriter.close();
    }

    /** Takes member endpoints from a record. They are needed as soon as the record is in the log, committed or not. */
    private void updateDirectory(ControlRecord record) {
        directory.update(record.getCommand().getChangeMembers().getMembersList());
    }

    private void handle(ConsensusTask task) {
        runOrHalt(() -> {
            loop.handle(task);
            if (thread.queuedEvents() == 0 || loop.isBatchFull()) {
                loop.flush();
            }
        });
    }

    private void tick() {
        runOrHalt(loop::tick);
    }

    /**
     * Runs a step and halts this member on an exception, which leaves the state of the consensus node or of the state machine
     * undefined, so that the member takes no further part in the log. An Error ends the process, since the event loop would
     * continue after some of them.
     */
    private void runOrHalt(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "an error halts the control log on this member", e);
            loop.halt(FailureException.of(e));
        } catch (Error e) {
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
            throw e;
        }
    }

    private void enqueue(ConsensusTask task, CompletableFuture<?> outcome) {
        if (!thread.offer(task)) {
            metrics.onRefusal(FailureType.RING_FULL);
            outcome.completeExceptionally(new FailureException(FailureType.RING_FULL, "consensus"));
        }
    }

    private void onResponse(Envelope response) {
        MessageCodec.message(response)
                .ifPresent(message -> thread.offer(new ConsensusTask.Event(new ConsensusEvent.Received(message, 0))));
    }

    /** Enqueues a disk event. Disk events must not be lost, so the disk thread retries while the ring is full. */
    private void enqueueDiskEvent(ConsensusEvent event) {
        ConsensusTask task = new ConsensusTask.Event(event);
        while (!thread.offer(task) && !thread.isClosed()) {
            LockSupport.parkNanos(this, ENQUEUE_RETRY_NS);
        }
    }
}
