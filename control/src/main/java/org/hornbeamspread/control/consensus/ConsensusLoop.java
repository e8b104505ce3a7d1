package org.hornbeamspread.control.consensus;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.Leadership;
import org.hornbeamspread.control.StateMachine;
import org.hornbeamspread.control.storage.DiskLog;
import org.hornbeamspread.control.storage.RecordCodec;
import org.hornbeamspread.core.consensus.ConsensusEffect;
import org.hornbeamspread.core.consensus.ConsensusEvent;
import org.hornbeamspread.core.consensus.ConsensusNode;
import org.hornbeamspread.core.consensus.ConsensusParameters;
import org.hornbeamspread.core.consensus.LogRecord;
import org.hornbeamspread.core.consensus.Membership;
import org.hornbeamspread.core.consensus.Message;
import org.hornbeamspread.core.consensus.Payload;
import org.hornbeamspread.core.consensus.Snapshot;
import org.hornbeamspread.core.consensus.StoredState;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ChangeMembers;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.ControlRecord;
import org.hornbeamspread.protocol.schema.Envelope;

/**
 * Passes events to the {@link ConsensusNode} and executes its effects. Used by the consensus thread, except for the
 * volatile fields and the listener lists, which any thread may use.
 */
final class ConsensusLoop {
    private static final Logger LOG = System.getLogger(ConsensusLoop.class.getName());
    private static final int MAX_BATCH_EVENTS = 256;

    /** Beyond this number the oldest pending reply is dropped. */
    private static final int MAX_PENDING_REPLIES = 4_096;

    private final ConsensusSettings settings;
    private final StateMachine stateMachine;
    private final Clock clock;
    private final ConsensusNode node;
    private final DiskWriter diskWriter;
    private final MemberDirectory directory;
    private final PeerConnections connections;
    private final ConsensusMetrics metrics;
    private final ElectionTracker elections;
    private final StorageTracker storage;
    private final PendingProposals pendingProposals;
    private final Map<Long, Consumer<Envelope>> pendingReplies = new LinkedHashMap<>();
    private final List<Consumer<Leadership>> leadershipListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<List<ControlMember>>> membersListeners = new CopyOnWriteArrayList<>();
    private final List<LongConsumer> appliedListeners = new CopyOnWriteArrayList<>();
    private List<ControlMember> publishedMembers = List.of();
    private long nextReplyId = 1;
    private int eventsSinceFlush;

    /** Present after an error that leaves the state undefined. */
    private Optional<FailureException> haltCause = Optional.empty();

    private long lastSnapshotIndex;

    /** The bytes of the payloads applied since the last snapshot. */
    private long bytesSinceSnapshot;

    private volatile long appliedIndex;
    private volatile Leadership leadership;
    private volatile List<ControlMember> members = List.of();
    private volatile boolean blank;

    ConsensusLoop(
            ConsensusSettings settings,
            StateMachine stateMachine,
            Clock clock,
            StoredState stored,
            DiskWriter diskWriter,
            MemberDirectory directory,
            PeerConnections connections,
            ConsensusMetrics metrics,
            ElectionTracker elections) {
        this.settings = settings;
        this.stateMachine = stateMachine;
        this.clock = clock;
        this.diskWriter = diskWriter;
        this.directory = directory;
        this.connections = connections;
        this.metrics = metrics;
        this.elections = elections;
        this.storage = new StorageTracker(clock);
        this.pendingProposals = new PendingProposals(metrics);
        this.node = new ConsensusNode(
                settings.memberId(),
                settings.members().stream().map(ControlMember::getMemberId).toList(),
                settings.bootstrapMode(),
                stored,
                ConsensusParameters.of(
                        settings.electionTimeout().toMillis(),
                        settings.heartbeatInterval().toMillis(),
                        settings.budgetBytes(),
                        settings.voterPolicy()),
                clock,
                new SplittableRandom());
        this.leadership = new Leadership(stored.term(), Optional.empty(), false);
        this.blank = node.isBlank();
        restore(stored.snapshot());
    }

    Leadership leadership() {
        return leadership;
    }

    List<ControlMember> members() {
        return members;
    }

    boolean isBlank() {
        return blank;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    void addLeadershipListener(Consumer<Leadership> listener) {
        leadershipListeners.add(listener);
    }

    void addAppliedListener(LongConsumer listener) {
        appliedListeners.add(listener);
    }

    void addMembersListener(Consumer<List<ControlMember>> listener) {
        membersListeners.add(listener);
    }

    void handle(ConsensusTask task) {
        if (haltCause.isPresent()) {
            refuse(task, haltCause.get());
            return;
        }
        eventsSinceFlush++;
        if (task instanceof ConsensusTask.Event event) {
            onEvent(event.event());
        } else if (task instanceof ConsensusTask.Request request) {
            elections.onRequest(request.message());
            node.step(new ConsensusEvent.Received(request.message(), addPendingReply(request.replyCallback())));
        } else if (task instanceof ConsensusTask.Propose propose) {
            ControlCommand command = withMemberState(withProposalTime(propose.command()));
            long id = pendingProposals.add(propose.outcome());
            node.step(new ConsensusEvent.Proposal(id, RecordCodec.payload(command), RecordCodec.membership(command)));
        } else if (task instanceof ConsensusTask.ConfirmLeadership confirm) {
            node.step(new ConsensusEvent.Read(pendingProposals.addRead(confirm.outcome())));
        }
    }

    /** Whether the number of steps since the last flush has reached the batch limit. */
    boolean isBatchFull() {
        return eventsSinceFlush >= MAX_BATCH_EVENTS;
    }

    void tick() {
        if (haltCause.isPresent()) {
            return;
        }
        node.step(new ConsensusEvent.Tick());
        flush();
        publishMembers();
        elections.tick(() -> ElectionTracker.MemberState.of(node, settings, storage));
    }

    /** Executes the effects of the steps since the last flush. */
    void flush() {
        if (haltCause.isPresent()) {
            return;
        }
        eventsSinceFlush = 0;
        List<ConsensusEffect> effects = node.drain();
        while (!effects.isEmpty()) {
            effects.forEach(this::execute);
            effects = node.drain();
        }
    }

    /** Fails all pending proposals and reads; from then on this member takes no further part in the log. */
    void halt(FailureException failure) {
        haltCause = Optional.of(failure);
        pendingProposals.close();
        publishLeadership(new Leadership(leadership.term(), Optional.empty(), false));
    }

    void close() {
        pendingProposals.close();
        connections.close();
    }

    private void onEvent(ConsensusEvent event) {
        if (event instanceof ConsensusEvent.Received received) {
            elections.onResponse(received.message());
        }
        storage.onEvent(event);
        node.step(event);
        if (event instanceof ConsensusEvent.Synced) {
            metrics.onSync();
            diskWriter.onSynced();
        }
    }

    private void execute(ConsensusEffect effect) {
        if (effect instanceof ConsensusEffect.Send send) {
            if (send.message() instanceof Message.VoteRequest vote) {
                elections.onVoteRequested(send.toMemberId(), vote);
            }
            send(send.toMemberId(), send.message());
        } else if (effect instanceof ConsensusEffect.Reply reply) {
            Consumer<Envelope> replyCallback = pendingReplies.remove(reply.replyId());
            if (replyCallback != null) {
                replyCallback.accept(MessageCodec.envelope(reply.message(), directory.all()));
            }
        } else if (effect instanceof ConsensusEffect.Persist persist) {
            storage.onPersist(persist.persistId());
            diskWriter.persist(persist);
        } else if (effect instanceof ConsensusEffect.Apply apply) {
            apply(apply.records());
        } else if (effect instanceof ConsensusEffect.Restore restore) {
            restore(restore.snapshot());
        } else if (effect instanceof ConsensusEffect.LeadershipChanged changed) {
            onLeadershipChanged(changed);
        } else if (effect instanceof ConsensusEffect.VoteAnswered vote) {
            elections.onVoteAnswered(vote);
        } else if (effect instanceof ConsensusEffect.MembershipChangeNeeded needed) {
            proposeMembership(needed.membership());
        } else {
            completePending(effect);
        }
    }

    private void completePending(ConsensusEffect effect) {
        if (effect instanceof ConsensusEffect.ProposalAppended appended) {
            pendingProposals.onAppended(appended.proposalId(), appended.index(), appended.term());
        } else if (effect instanceof ConsensusEffect.ProposalRefused refused) {
            pendingProposals.onRefused(refused.proposalId(), refusal(refused.reason()));
        } else if (effect instanceof ConsensusEffect.ReadConfirmed confirmed) {
            pendingProposals.onReadConfirmed(confirmed.readId());
        } else if (effect instanceof ConsensusEffect.ReadRefused refused) {
            pendingProposals.onReadRefused(refused.readId(), refusal(refused.reason()));
        }
    }

    private FailureException refusal(FailureType reason) {
        String detail = reason == FailureType.NOT_LEADER
                ? leadership.leaderId().map(id -> "leader " + id).orElse("no leader known")
                : settings.memberId();
        return new FailureException(reason, detail);
    }

    private void send(String toMemberId, Message message) {
        boolean large = message instanceof Message.SnapshotRequest;
        Duration timeout = settings.electionTimeout().multipliedBy(large ? 10 : 2);
        directory
                .find(toMemberId)
                .ifPresent(member ->
                        connections.send(member.getPeer(), MessageCodec.envelope(message, directory.all()), timeout));
    }

    private long addPendingReply(Consumer<Envelope> replyCallback) {
        if (pendingReplies.size() >= MAX_PENDING_REPLIES) {
            pendingReplies.remove(pendingReplies.keySet().iterator().next());
        }
        pendingReplies.put(nextReplyId, replyCallback);
        return nextReplyId++;
    }

    private void apply(List<LogRecord> records) {
        List<CommandResult> results = records.stream().map(this::applyOne).toList();
        appliedIndex = records.get(records.size() - 1).index();
        metrics.onApplied(records.size());
        publishApplied();
        for (int i = 0; i < records.size(); i++) {
            pendingProposals.onApplied(records.get(i).index(), records.get(i).term(), results.get(i));
        }
        for (LogRecord record : records) {
            bytesSinceSnapshot += record.payload().sizeBytes();
        }
        if (appliedIndex - lastSnapshotIndex >= settings.snapshotIntervalRecords()
                || bytesSinceSnapshot >= settings.budgetBytes()) {
            lastSnapshotIndex = appliedIndex;
            bytesSinceSnapshot = 0;
            metrics.onSnapshot();
            node.step(new ConsensusEvent.SnapshotTaken(
                    appliedIndex, Payload.copyOf(stateMachine.snapshot().toByteArray())));
        }
    }

    private CommandResult applyOne(LogRecord record) {
        ControlRecord wire = RecordCodec.wire(record);
        directory.update(wire.getCommand().getChangeMembers().getMembersList());
        return stateMachine.apply(wire);
    }

    private void restore(Snapshot snapshot) {
        if (snapshot.lastIndex() > 0) {
            stateMachine.restore(RecordCodec.bytes(snapshot.state()));
            lastSnapshotIndex = snapshot.lastIndex();
            bytesSinceSnapshot = 0;
            appliedIndex = snapshot.lastIndex();
            publishApplied();
        }
    }

    private void onLeadershipChanged(ConsensusEffect.LeadershipChanged changed) {
        boolean leads = changed.leaderId().equals(Optional.of(settings.memberId()));
        Leadership next = new Leadership(changed.term(), changed.leaderId(), leads && changed.ready());
        pendingProposals.onLeadershipChange(leads ? changed.term() : 0);
        metrics.onLeadershipChange(changed.term());
        elections.onLeadership(changed.term(), changed.leaderId());
        LOG.log(Level.INFO, "leadership of the control log: {0}", next);
        publishLeadership(next);
    }

    private void publishLeadership(Leadership next) {
        leadership = next;
        leadershipListeners.forEach(listener -> notifyListener(() -> listener.accept(next)));
    }

    private void publishApplied() {
        appliedListeners.forEach(listener -> notifyListener(() -> listener.accept(appliedIndex)));
    }

    /** Calls a listener and logs its error, so that a failing listener does not halt the log. */
    private static void notifyListener(Runnable listener) {
        try {
            listener.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "a listener of the control log threw an exception", e);
        }
    }

    private void refuse(ConsensusTask task, FailureException failure) {
        if (task instanceof ConsensusTask.Propose propose) {
            pendingProposals.onRefused(pendingProposals.add(propose.outcome()), failure);
        } else if (task instanceof ConsensusTask.ConfirmLeadership confirm) {
            pendingProposals.onReadRefused(pendingProposals.addRead(confirm.outcome()), failure);
        }
    }

    /** Proposes a membership change that the consensus node requires. */
    private void proposeMembership(Membership membership) {
        ControlCommand command = ControlCommand.newBuilder()
                .setProposedAtMs(clock.millis())
                .setChangeMembers(
                        ChangeMembers.newBuilder().addAllMembers(DiskLog.withEndpoints(membership, directory.all())))
                .build();
        node.step(new ConsensusEvent.Proposal(0, RecordCodec.payload(command), Optional.of(membership)));
    }

    private ControlCommand withProposalTime(ControlCommand command) {
        return command.getProposedAtMs() > 0
                ? command
                : command.toBuilder().setProposedAtMs(clock.millis()).build();
    }

    /**
     * Sets the incarnation and the right to vote of each member in a membership change, which the operator does not
     * supply: current members keep both, a new member starts without a vote.
     */
    private ControlCommand withMemberState(ControlCommand command) {
        if (!command.hasChangeMembers()) {
            return command;
        }
        Membership currentMembership = node.membership();
        ChangeMembers.Builder members = ChangeMembers.newBuilder();
        for (ControlMember member : command.getChangeMembers().getMembersList()) {
            members.addMembers(currentMembership
                    .find(member.getMemberId())
                    .map(known -> member.toBuilder()
                            .setIncarnation(known.incarnation())
                            .setVoting(known.voting())
                            .build())
                    .orElseGet(() -> member.toBuilder()
                            .setIncarnation(0)
                            .setVoting(false)
                            .build()));
        }
        directory.update(members.getMembersList());
        return command.toBuilder().setChangeMembers(members).build();
    }

    private void publishMembers() {
        List<ControlMember> next = DiskLog.withEndpoints(node.membership(), directory.all());
        blank = node.isBlank();
        boolean changed = !next.equals(publishedMembers);
        publishedMembers = next;
        members = next.stream()
                .map(member -> member.toBuilder()
                        .setMatchedIndex(node.matchIndex(member.getMemberId()))
                        .setSilentMs(node.silentMs(member.getMemberId()))
                        .build())
                .toList();
        if (changed) {
            membersListeners.forEach(listener -> notifyListener(() -> listener.accept(next)));
        }
    }
}
