package org.hornbeamspread.control.failover;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hornbeamspread.control.Leadership;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.control.failover.ControlEvent.LeadershipChecked;
import org.hornbeamspread.control.failover.ControlEvent.Renewal;
import org.hornbeamspread.control.view.ViewMessages;
import org.hornbeamspread.core.failover.FailoverTimings;
import org.hornbeamspread.core.failover.FailureDetector;
import org.hornbeamspread.core.membership.AnnouncedDatabase;
import org.hornbeamspread.core.membership.DatabaseRegistry;
import org.hornbeamspread.core.membership.DatabaseRole;
import org.hornbeamspread.core.membership.DatabaseStatus;
import org.hornbeamspread.core.membership.LiveProxy;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.protocol.schema.Topology;
import org.hornbeamspread.protocol.schema.ViewLease;
import org.hornbeamspread.runtime.DutyThread;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerTransport;

/**
 * The thread that decides for this control member. Every member listens to the databases' announcements, so that a new
 * leader knows them at once; only the leader grants leases and promotes.
 *
 * <p>A lease is granted only after a majority confirmed the leadership since the renewal arrived. So at that moment no
 * other leader existed, and a later one, which waits a whole lease before it counts on anything, outlasts this lease.
 * Renewals that arrive while a confirmation runs wait for the next one together.
 */
public final class Coordinator implements PeerHandler, AutoCloseable {
    private static final Logger LOG = System.getLogger(Coordinator.class.getName());
    private static final int RING_EVENTS = 1 << 16;
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration REACHABLE_FOR = Duration.ofSeconds(1);
    private static final Duration EXPIRY = Duration.ofSeconds(30);

    private final ReplicatedLog log;
    private final Supplier<ControlState> state;
    private final Function<String, String> peerEndpointOf;
    private final Duration lease;
    private final Clock clock;
    private final FailoverTimings timings;
    private final ControlMetrics metrics;
    private final DatabaseRegistry registry;
    private final FailureDetector detector;
    private final DatabaseClients databases;
    private final EffectRunner effects;
    private final RenewalQueue renewals;
    private final DutyThread<ControlEvent> duty;
    private final VersionPusher pusher;

    /** This member's leadership; null while another leads. */
    private LeaderSession session;

    private Leadership leadership = new Leadership(0, Optional.empty(), false);

    /**
     * Makes the coordinator; {@link #start} runs it.
     *
     * @param log the control log
     * @param state the log's latest applied state, safe for any thread
     * @param peerEndpointOf the peer endpoint of a member by its name, empty when unknown
     * @param lease how long a proxy may act on a view
     */
    public Coordinator(
            ReplicatedLog log,
            Supplier<ControlState> state,
            Function<String, String> peerEndpointOf,
            Duration lease,
            Clock clock,
            PeerTransport transport,
            ControlMetrics metrics) {
        this.log = log;
        this.state = state;
        this.peerEndpointOf = peerEndpointOf;
        this.lease = lease;
        this.clock = clock;
        this.timings = FailoverTimings.DEFAULT;
        this.metrics = metrics;
        this.registry = new DatabaseRegistry(clock, REACHABLE_FOR, EXPIRY);
        this.detector = new FailureDetector(clock, timings);
        this.duty = new DutyThread<>("coordinator", RING_EVENTS, this::handle, TICK, this::tick);
        this.databases = new DatabaseClients(transport, duty::offer, metrics);
        this.pusher = new VersionPusher(clock);
        this.renewals = new RenewalQueue(log, clock, duty::offer);
        this.effects = new EffectRunner(registry, databases, new ProposalSender(log, clock, duty::offer, metrics));
    }

    /** Starts the thread and follows the log's leadership. */
    public Coordinator start() {
        log.onLeadershipChange(next -> duty.offer(new ControlEvent.LeadershipChanged(next)));
        duty.offer(new ControlEvent.LeadershipChanged(log.leadership()));
        duty.start();
        return this;
    }

    /** The topology as this leader publishes it, without control's own members. Fails with NOT_LEADER. */
    public CompletableFuture<Topology> topology() {
        CompletableFuture<Topology> answer = new CompletableFuture<>();
        offer(new ControlEvent.TopologyAsked(answer), answer);
        return answer;
    }

    /** Asks for another primary. Completes when the promotion is under way. Fails with NOT_LEADER, UNKNOWN_GROUP. */
    public CompletableFuture<Void> handOver(String group, Optional<String> databaseId) {
        CompletableFuture<Void> answer = new CompletableFuture<>();
        offer(new ControlEvent.HandoverAsked(group, databaseId, answer), answer);
        return answer;
    }

    @Override
    public void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> answer) {
        if (!request.hasRenewView()) {
            refuse(answer, FailureType.INVALID_REQUEST, request.getBodyCase().name());
            return;
        }
        RenewView renew = request.getRenewView();
        LiveProxy proxy = ViewMessages.proxy(renew.getProxy());
        Renewal renewal = new Renewal(renew, proxy, clock.instant(), connection, answer);
        if (!duty.offer(renewal)) {
            refuse(answer, FailureType.RING_FULL, "coordinator");
        }
    }

    @Override
    public void onPush(PeerConnection connection, Envelope push) {
        if (!push.hasAnnounce()) {
            return;
        }
        try {
            AnnouncedDatabase database = ViewMessages.announced(push.getAnnounce());
            connection.attach(database.databaseId());
            if (!duty.offer(new ControlEvent.Announced(database))) {
                metrics.refused(FailureType.RING_FULL);
            }
        } catch (FailureException e) {
            metrics.refused(e.type());
        }
    }

    @Override
    public void onClose(PeerConnection connection) {
        if (connection.attachment() instanceof String) {
            duty.offer(new ControlEvent.AnnouncerClosed((String) connection.attachment()));
        }
    }

    @Override
    public void close() {
        duty.close();
    }

    private void offer(ControlEvent event, CompletableFuture<?> answer) {
        if (!duty.offer(event)) {
            answer.completeExceptionally(new FailureException(FailureType.RING_FULL, "coordinator"));
        }
    }

    private void handle(ControlEvent event) {
        if (event instanceof ControlEvent.Announced announced) {
            announced(announced.database());
        } else if (event instanceof Renewal renewal) {
            renew(renewal);
        } else if (event instanceof LeadershipChecked check) {
            checked(check);
        } else if (event instanceof ControlEvent.LeadershipChanged changed) {
            leadershipChanged(changed.leadership());
        } else if (event instanceof ControlEvent.TopologyAsked asked) {
            answerTopology(asked.answer());
        } else if (event instanceof ControlEvent.HandoverAsked asked) {
            handOver(asked);
        } else {
            databaseEvent(event);
        }
    }

    private void databaseEvent(ControlEvent event) {
        if (event instanceof ControlEvent.Reported reported) {
            reported(reported.status());
        } else if (event instanceof ControlEvent.BecamePrimary promoted) {
            becamePrimary(promoted);
        } else if (event instanceof ControlEvent.Refused refused) {
            detector.recordConnectionFailure(refused.databaseId());
        } else if (event instanceof ControlEvent.AnnouncerClosed closed) {
            probe(closed.databaseId());
        } else if (session != null) {
            sessionEvent(event);
            step();
        }
    }

    private void sessionEvent(ControlEvent event) {
        if (event instanceof ControlEvent.Followed followed) {
            reported(followed.status());
            DatabaseStatus status = followed.status();
            session.group(followed.group())
                    .ifPresent(group ->
                            group.failover().onFollowing(status.databaseId(), status.incarnation(), followed.term()));
        } else if (event instanceof ControlEvent.PromoteRefused refused) {
            session.group(refused.group()).ifPresent(group -> group.failover().onPromoteRefused(refused.term()));
        } else if (event instanceof ControlEvent.ProposalEnded ended && ended.leaderTerm() == leadership.term()) {
            session.update(state.get());
            ended.groups()
                    .forEach(name -> session.group(name)
                            .ifPresent(group -> group.failover().onProposalCompleted()));
        }
    }

    private void announced(AnnouncedDatabase database) {
        Set<String> changed = registry.announce(database);
        if (!registry.isCurrentIncarnation(database.status())) {
            return;
        }
        detector.recordContact(database.databaseId());
        if (session != null && !changed.isEmpty()) {
            session.markChanged(changed);
            step();
        }
    }

    private void reported(DatabaseStatus status) {
        registry.updateStatus(status);
        if (registry.isCurrentIncarnation(status)) {
            detector.recordContact(status.databaseId());
        }
        registry.find(status.databaseId()).ifPresent(database -> {
            if (session != null) {
                session.markChanged(List.of(database.group()));
                step();
            }
        });
    }

    private void becamePrimary(ControlEvent.BecamePrimary event) {
        registry.find(event.databaseId())
                .map(AnnouncedDatabase::status)
                .filter(status -> status.incarnation() == event.incarnation())
                .ifPresent(status -> reported(new DatabaseStatus(
                        status.databaseId(),
                        status.incarnation(),
                        event.term(),
                        DatabaseRole.PRIMARY,
                        event.term(),
                        LogPosition.max(status.synced(), event.marker()),
                        Optional.of(event.marker()),
                        status.trusted())));
    }

    private void renew(Renewal renewal) {
        if (session == null) {
            refuseNotLeader(renewal.answer());
            return;
        }
        renewals.add(renewal);
        renewals.check(leadership.term());
    }

    private void checked(LeadershipChecked check) {
        renewals.checkEnded();
        boolean stillLeading = session != null && check.leaderTerm() == leadership.term() && check.confirmed();
        if (!stillLeading) {
            check.renewals().forEach(renewal -> refuseNotLeader(renewal.answer()));
            renewals.check(leadership.term());
            return;
        }
        session.update(state.get());
        session.publish();
        check.renewals().forEach(this::grant);
        renewals.check(leadership.term());
        step();
    }

    /** A proxy that just learned of a promotion is called again at once, so that it confirms without waiting. */
    private void grant(Renewal renewal) {
        LiveProxy proxy = renewal.proxy();
        session.observe(renewal.request(), proxy);
        pusher.add(proxy.proxyId(), renewal.connection());
        long held = session.view().heldVersion(renewal.request());
        ViewLease lease = session.grant(renewal.request(), proxy, renewal.arrivedAt());
        renewal.answer().accept(Envelope.newBuilder().setViewLease(lease).build());
        if (lease.getViewVersion() > held && session.awaitsConfirmation()) {
            VersionPusher.push(renewal.connection(), lease.getViewVersion());
        }
    }

    private void leadershipChanged(Leadership next) {
        boolean gained = next.isLeader() && (session == null || next.term() != leadership.term());
        leadership = next;
        if (gained) {
            LOG.log(Level.INFO, "leading the control log at term {0}", next.term());
            session = new LeaderSession(next.term(), lease, clock, timings, registry, detector, metrics);
            session.update(state.get());
            pusher.restart();
            step();
        } else if (!next.isLeader() && session != null) {
            LOG.log(Level.INFO, "no longer leading the control log, term {0}", next.term());
            session = null;
            pusher.clear();
            renewals.takeAll().forEach(renewal -> refuseNotLeader(renewal.answer()));
            metrics.state(false, 0, 0);
        }
    }

    private void tick() {
        detector.detectLocalPause();
        Set<String> changed = registry.expire();
        if (session != null) {
            session.markChanged(changed);
            session.update(state.get());
            renewals.check(leadership.term());
            session.silentPrimaries().forEach(databases::probe);
            step();
        }
    }

    private void step() {
        effects.run(session.step(), leadership.term());
        pusher.push(session.view().version());
    }

    private void probe(String databaseId) {
        if (session != null) {
            registry.find(databaseId).filter(session::isProbeDue).ifPresent(databases::probe);
        }
    }

    private void answerTopology(CompletableFuture<Topology> answer) {
        if (session == null) {
            answer.completeExceptionally(notLeader());
            return;
        }
        session.update(state.get());
        session.publish();
        answer.complete(Topology.newBuilder()
                .setConfigurationVersion(state.get().getConfiguration().getVersion())
                .addAllGroups(session.view().groups())
                .addAllProxies(session.view().proxies())
                .build());
    }

    private void handOver(ControlEvent.HandoverAsked asked) {
        Optional<GroupState> group = session == null ? Optional.empty() : session.group(asked.group());
        if (session == null) {
            asked.answer().completeExceptionally(notLeader());
        } else if (group.isEmpty()) {
            asked.answer().completeExceptionally(new FailureException(FailureType.UNKNOWN_GROUP, asked.group()));
        } else {
            group.get().failover().requestHandover(asked.databaseId());
            asked.answer().complete(null);
            step();
        }
    }

    private FailureException notLeader() {
        return new FailureException(
                FailureType.NOT_LEADER,
                leadership.leaderId().map(peerEndpointOf).orElse(""));
    }

    private void refuseNotLeader(Consumer<Envelope> answer) {
        metrics.refused(FailureType.NOT_LEADER);
        answer.accept(Envelopes.failureEnvelope(notLeader()));
    }

    private void refuse(Consumer<Envelope> answer, FailureType type, String detail) {
        metrics.refused(type);
        answer.accept(Envelopes.failureEnvelope(new FailureException(type, detail)));
    }
}
