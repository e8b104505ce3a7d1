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

/** Carries events to the decision and its effects out. Used by the consensus thread, but for what is volatile. */
final class ConsensusLoop {
    private static final Logger LOG = System.getLogger(ConsensusLoop.class.getName());
    private static final int BATCH_EVENTS = 256;
    private static final int HELD_REPLIES = 4_096;

    private final ConsensusSettings settings;
    private final StateMachine stateMachine;
    private final Clock clock;
    private final ConsensusNode node;
    private final DiskDuty disk;
    private final MemberDirectory directory;
    private final PeerLinks links;
    private final ConsensusMetrics metrics;
    private final PendingProposals pending;
    private final Map<Long, Consumer<Envelope>> replies = new LinkedHashMap<>();
    private final List<Consumer<Leadership>> leadershipListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<List<ControlMember>>> membersListeners = new CopyOnWriteArrayList<>();
    private final List<LongConsumer> appliedListeners = new CopyOnWriteArrayList<>();
    private List<ControlMember> publishedMembers = List.of();
    private long nextReplyId = 1;
    private int eventsSinceFlush;

    /** Present after an error that leaves the state in doubt. */
    private Optional<FailureException> halted = Optional.empty();

    private long lastSnapshotIndex;
    private volatile long appliedIndex;
    private volatile Leadership leadership;
    private volatile List<ControlMember> members = List.of();

    ConsensusLoop(
            ConsensusSettings settings,
            StateMachine stateMachine,
            Clock clock,
            StoredState stored,
            DiskDuty disk,
            MemberDirectory directory,
            PeerLinks links,
            ConsensusMetrics metrics) {
        this.settings = settings;
        this.stateMachine = stateMachine;
        this.clock = clock;
        this.disk = disk;
        this.directory = directory;
        this.links = links;
        this.metrics = metrics;
        this.pending = new PendingProposals(metrics);
        this.node = new ConsensusNode(
                settings.memberId(),
                settings.members().stream().map(ControlMember::getMemberId).toList(),
                settings.mayForm(),
                stored,
                ConsensusParameters.of(
                        settings.electionTimeout().toMillis(),
                        settings.heartbeatInterval().toMillis()),
                clock,
                new SplittableRandom());
        this.leadership = new Leadership(stored.term(), Optional.empty(), false);
        restore(stored.snapshot());
    }

    Leadership leadership() {
        return leadership;
    }

    List<ControlMember> members() {
        return members;
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
        if (halted.isPresent()) {
            refuse(task, halted.get());
            return;
        }
        eventsSinceFlush++;
        if (task instanceof ConsensusTask.Event event) {
            onEvent(event.event());
        } else if (task instanceof ConsensusTask.Request request) {
            node.step(new ConsensusEvent.Received(request.message(), hold(request.answer())));
        } else if (task instanceof ConsensusTask.Propose propose) {
            ControlCommand command = withIncarnations(withTime(propose.command()));
            long id = pending.add(propose.outcome());
            node.step(new ConsensusEvent.Proposal(id, RecordCodec.payload(command), RecordCodec.membership(command)));
        } else if (task instanceof ConsensusTask.Confirm confirm) {
            node.step(new ConsensusEvent.Read(pending.addRead(confirm.outcome())));
        }
    }

    /** Whether the steps since the last flush are enough for one batch. */
    boolean isBatchFull() {
        return eventsSinceFlush >= BATCH_EVENTS;
    }

    void tick() {
        if (halted.isPresent()) {
            return;
        }
        node.step(new ConsensusEvent.Tick());
        flush();
        publishMembers();
    }

    /** Carries out what the steps since the last flush decided. */
    void flush() {
        if (halted.isPresent()) {
            return;
        }
        eventsSinceFlush = 0;
        List<ConsensusEffect> effects = node.drain();
        while (!effects.isEmpty()) {
            effects.forEach(this::carryOut);
            effects = node.drain();
        }
    }

    /** Takes no further part in the log. */
    void halt(FailureException failure) {
        halted = Optional.of(failure);
        pending.close();
        publish(new Leadership(leadership.term(), Optional.empty(), false));
    }

    void close() {
        pending.close();
        links.close();
    }

    private void onEvent(ConsensusEvent event) {
        node.step(event);
        if (event instanceof ConsensusEvent.Synced) {
            metrics.onSync();
            disk.onSynced();
        }
    }

    private void carryOut(ConsensusEffect effect) {
        if (effect instanceof ConsensusEffect.Send send) {
            send(send.toMemberId(), send.message());
        } else if (effect instanceof ConsensusEffect.Reply reply) {
            Consumer<Envelope> answer = replies.remove(reply.replyId());
            if (answer != null) {
                answer.accept(MessageCodec.envelope(reply.message(), directory.all()));
            }
        } else if (effect instanceof ConsensusEffect.Persist persist) {
            disk.persist(persist);
        } else if (effect instanceof ConsensusEffect.Apply apply) {
            apply(apply.records());
        } else if (effect instanceof ConsensusEffect.Restore restore) {
            restore(restore.snapshot());
        } else if (effect instanceof ConsensusEffect.LeadershipChanged changed) {
            onLeadershipChanged(changed);
        } else if (effect instanceof ConsensusEffect.MembershipChangeNeeded needed) {
            proposeMembers(needed.membership());
        } else {
            carryOutcome(effect);
        }
    }

    private void carryOutcome(ConsensusEffect effect) {
        if (effect instanceof ConsensusEffect.ProposalAppended appended) {
            pending.onAppended(appended.proposalId(), appended.index(), appended.term());
        } else if (effect instanceof ConsensusEffect.ProposalRefused refused) {
            pending.onRefused(refused.proposalId(), refusal(refused.reason()));
        } else if (effect instanceof ConsensusEffect.ReadConfirmed confirmed) {
            pending.onReadConfirmed(confirmed.readId());
        } else if (effect instanceof ConsensusEffect.ReadRefused refused) {
            pending.onReadRefused(refused.readId(), refusal(refused.reason()));
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
                        links.send(member.getPeer(), MessageCodec.envelope(message, directory.all()), timeout));
    }

    private long hold(Consumer<Envelope> answer) {
        if (replies.size() >= HELD_REPLIES) {
            replies.remove(replies.keySet().iterator().next());
        }
        replies.put(nextReplyId, answer);
        return nextReplyId++;
    }

    private void apply(List<LogRecord> records) {
        List<CommandResult> results = records.stream().map(this::applyOne).toList();
        appliedIndex = records.get(records.size() - 1).index();
        metrics.onApplied(records.size());
        publishApplied();
        for (int i = 0; i < records.size(); i++) {
            pending.onApplied(records.get(i).index(), records.get(i).term(), results.get(i));
        }
        if (appliedIndex - lastSnapshotIndex >= settings.snapshotIntervalRecords()) {
            lastSnapshotIndex = appliedIndex;
            metrics.onSnapshot();
            node.step(new ConsensusEvent.SnapshotTaken(
                    appliedIndex, Payload.copyOf(stateMachine.snapshot().toByteArray())));
        }
    }

    private CommandResult applyOne(LogRecord record) {
        ControlRecord wire = RecordCodec.wire(record);
        directory.learn(wire.getCommand().getChangeMembers().getMembersList());
        return stateMachine.apply(wire);
    }

    private void restore(Snapshot snapshot) {
        if (snapshot.lastIndex() > 0) {
            stateMachine.restore(RecordCodec.bytes(snapshot.state()));
            lastSnapshotIndex = snapshot.lastIndex();
            appliedIndex = snapshot.lastIndex();
            publishApplied();
        }
    }

    private void onLeadershipChanged(ConsensusEffect.LeadershipChanged changed) {
        boolean leads = changed.leaderId().equals(Optional.of(settings.memberId()));
        Leadership next = new Leadership(changed.term(), changed.leaderId(), leads && changed.ready());
        pending.onLeadership(leads ? changed.term() : 0);
        metrics.onLeadershipChange(changed.term());
        LOG.log(Level.INFO, "leadership of the control log: {0}", next);
        publish(next);
    }

    private void publish(Leadership next) {
        leadership = next;
        leadershipListeners.forEach(listener -> callBack(() -> listener.accept(next)));
    }

    private void publishApplied() {
        appliedListeners.forEach(listener -> callBack(() -> listener.accept(appliedIndex)));
    }

    /** A listener's error is not the log's. */
    private static void callBack(Runnable listener) {
        try {
            listener.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "a listener of the control log failed", e);
        }
    }

    private void refuse(ConsensusTask task, FailureException failure) {
        if (task instanceof ConsensusTask.Propose propose) {
            pending.onRefused(pending.add(propose.outcome()), failure);
        } else if (task instanceof ConsensusTask.Confirm confirm) {
            pending.onReadRefused(pending.addRead(confirm.outcome()), failure);
        }
    }

    /** Has a membership recorded that the decision asks for. */
    private void proposeMembers(Membership membership) {
        ControlCommand command = ControlCommand.newBuilder()
                .setProposedAtMs(clock.millis())
                .setChangeMembers(
                        ChangeMembers.newBuilder().addAllMembers(DiskLog.withEndpoints(membership, directory.all())))
                .build();
        node.step(new ConsensusEvent.Proposal(0, RecordCodec.payload(command), Optional.of(membership)));
    }

    private ControlCommand withTime(ControlCommand command) {
        return command.getProposedAtMs() > 0
                ? command
                : command.toBuilder().setProposedAtMs(clock.millis()).build();
    }

    /** Fills in what operators don't know: incarnations, and that a new member does not vote at first. */
    private ControlCommand withIncarnations(ControlCommand command) {
        if (!command.hasChangeMembers()) {
            return command;
        }
        Membership present = node.membership();
        ChangeMembers.Builder members = ChangeMembers.newBuilder();
        for (ControlMember member : command.getChangeMembers().getMembersList()) {
            members.addMembers(present.find(member.getMemberId())
                    .map(known -> member.toBuilder()
                            .setIncarnation(known.incarnation())
                            .setVoting(known.voting())
                            .build())
                    .orElseGet(() -> member.toBuilder()
                            .setIncarnation(0)
                            .setVoting(false)
                            .build()));
        }
        directory.learn(members.getMembersList());
        return command.toBuilder().setChangeMembers(members).build();
    }

    private void publishMembers() {
        List<ControlMember> next = DiskLog.withEndpoints(node.membership(), directory.all());
        boolean changed = !next.equals(publishedMembers);
        publishedMembers = next;
        members = next.stream()
                .map(member -> member.toBuilder()
                        .setMatchedIndex(node.matchIndex(member.getMemberId()))
                        .setSilentMs(node.silentMs(member.getMemberId()))
                        .build())
                .toList();
        if (changed) {
            membersListeners.forEach(listener -> callBack(() -> listener.accept(next)));
        }
    }
}
