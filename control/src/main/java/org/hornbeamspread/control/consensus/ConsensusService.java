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
import org.hornbeamspread.control.storage.WriteGuard;
import org.hornbeamspread.core.consensus.ConsensusEvent;
import org.hornbeamspread.core.consensus.Message;
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
 * The replicated log of the control members, on its own threads: one decides, applies and calls back, one writes and
 * syncs. Futures complete and listeners are called on the deciding thread, which must not be blocked.
 */
public final class ConsensusService implements ReplicatedLog, AutoCloseable {
    private static final Logger LOG = System.getLogger(ConsensusService.class.getName());
    private static final int RING_EVENTS = 16_384;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);
    private static final Duration STOP_LIMIT = Duration.ofSeconds(10);
    private static final long REPORT_RETRY_NS = Duration.ofMillis(1).toNanos();

    private final ConsensusLoop loop;
    private final DiskDuty disk;
    private final MemberDirectory directory;
    private final ConsensusMetrics metrics;
    private final EventLoopThread<ConsensusTask> thread;

    /** Opens the data directory; {@link #start} runs it. Fails with LOG_CORRUPTED, INVALID_SETTING or DISK_FAILED. */
    public ConsensusService(
            ConsensusSettings settings,
            StateMachine stateMachine,
            Clock clock,
            PeerTransport transport,
            PrometheusRegistry registry) {
        this(settings, stateMachine, clock, transport, registry, WriteGuard.NONE);
    }

    /** The same, with a guard that is asked before each write. */
    public ConsensusService(
            ConsensusSettings settings,
            StateMachine stateMachine,
            Clock clock,
            PeerTransport transport,
            PrometheusRegistry registry,
            WriteGuard guard) {
        long incarnation = new SplittableRandom().nextLong(1, Long.MAX_VALUE);
        this.metrics = new ConsensusMetrics(registry);
        this.directory = new MemberDirectory(settings.members());
        DiskLog files =
                DiskLog.open(settings.dataDirectory(), settings.memberId(), settings.clusterId(), incarnation, guard);
        try {
            directory.learn(files.snapshotMembers());
            files.stored().records().forEach(record -> learn(RecordCodec.wire(record)));
            this.disk = new DiskDuty("disk-" + settings.memberId(), files, directory, this::report);
            PeerLinks links = new PeerLinks(transport, settings.electionTimeout(), this::onAnswer);
            this.loop =
                    new ConsensusLoop(settings, stateMachine, clock, files.stored(), disk, directory, links, metrics);
        } catch (RuntimeException e) {
            files.close();
            throw e;
        }
        this.thread = new EventLoopThread<>(
                "consensus-" + settings.memberId(), RING_EVENTS, this::handle, TICK_INTERVAL, this::tick);
    }

    /** Starts the threads. */
    public ConsensusService start() {
        disk.start();
        thread.start();
        return this;
    }

    /** Takes a request of the consensus protocol from the shared peer port. False, untouched, when it is another's. */
    public boolean handle(PeerConnection connection, Envelope request, Consumer<Envelope> answer) {
        Optional<Message> message = MessageCodec.message(request);
        request.getAppend().getRecordsList().forEach(this::learn);
        directory.learn(request.getInstallSnapshot().getMembersList());
        message.ifPresent(received -> thread.offer(new ConsensusTask.Request(received, answer)));
        return message.isPresent();
    }

    @Override
    public CompletableFuture<CommandResult> propose(ControlCommand command) {
        CompletableFuture<CommandResult> outcome = new CompletableFuture<>();
        offer(new ConsensusTask.Propose(command, outcome), outcome);
        return outcome;
    }

    @Override
    public CompletableFuture<Void> confirmLeadership() {
        CompletableFuture<Void> outcome = new CompletableFuture<>();
        offer(new ConsensusTask.Confirm(outcome), outcome);
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

    /** Calls back on the consensus thread after records were applied, before their proposals complete. */
    public void onApplied(LongConsumer listener) {
        loop.addAppliedListener(listener);
    }

    /** The last record applied here. */
    public long appliedIndex() {
        return loop.appliedIndex();
    }

    /** The members as the log has them, with what the leader knows of each one's progress. */
    public List<ControlMember> members() {
        return loop.members();
    }

    /** Calls back on the consensus thread when a member, its incarnation or its right to vote changed. */
    public void onMembersChange(Consumer<List<ControlMember>> listener) {
        loop.addMembersListener(listener);
    }

    /** Stops the threads and closes the files. What waits fails: LEADERSHIP_LOST, or NOT_LEADER if it was not appended. */
    @Override
    public void close() {
        thread.close();
        try {
            if (thread.awaitStop(STOP_LIMIT)) {
                loop.close();
            } else {
                LOG.log(Level.WARNING, "the consensus thread does not stop");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        disk.close();
    }

    /** Endpoints of members are needed from the moment that the log names them, committed or not. */
    private void learn(ControlRecord record) {
        directory.learn(record.getCommand().getChangeMembers().getMembersList());
    }

    private void handle(ConsensusTask task) {
        guarded(() -> {
            loop.handle(task);
            if (thread.queuedEvents() == 0 || loop.isBatchFull()) {
                loop.flush();
            }
        });
    }

    private void tick() {
        guarded(loop::tick);
    }

    /** An error in the decision or in applying leaves the state in doubt: this member takes no further part. */
    private void guarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "the control log stops on this member", e);
            loop.halt(FailureException.of(e));
        }
    }

    private void offer(ConsensusTask task, CompletableFuture<?> outcome) {
        if (!thread.offer(task)) {
            metrics.onRefusal(FailureType.RING_FULL);
            outcome.completeExceptionally(new FailureException(FailureType.RING_FULL, "consensus"));
        }
    }

    private void onAnswer(Envelope answer) {
        MessageCodec.message(answer)
                .ifPresent(message -> thread.offer(new ConsensusTask.Event(new ConsensusEvent.Received(message, 0))));
    }

    /** The disk's reports must not be lost: its thread waits until the ring takes them. */
    private void report(ConsensusEvent event) {
        ConsensusTask task = new ConsensusTask.Event(event);
        while (!thread.offer(task) && !thread.isClosed()) {
            LockSupport.parkNanos(this, REPORT_RETRY_NS);
        }
    }
}
