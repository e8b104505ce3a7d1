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
import org.hornbeamspread.control.failover.ControlEvent.LeadershipCheckCompleted;
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
import org.hornbeamspread.runtime.EventLoopThread;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerTransport;

/**
 * The event loop of a control member. Every member receives the databases' announcements, so that a new leader has them
 * immediately; only the leader grants leases and starts promotions.
 *
 * <p>A lease is granted only after a majority has confirmed the leadership since the renewal arrived. No other leader
 * therefore existed when the renewal arrived, and the lease is counted from then. A later leader waits for one full
 * lease before it relies on the end of earlier leases, so this lease has expired by then. Renewals that arrive during a
 * confirmation wait for the next one, which covers all of them.
 */
public final class Coordinator implements PeerHandler, AutoCloseable {
    private static final Logger LOG = System.getLogger(Coordinator.class.getName());

    /** Capacity of the event queue, in events. */
    private static final int RING_CAPACITY = 1 << 16;

    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    /** A database counts as reachable for this time after its last message. */
    private static final Duration REACHABLE_TIMEOUT = Duration.ofSeconds(1);

    /** A database is removed from the registry this time after its last message. */
    private static final Duration REGISTRY_EXPIRY = Duration.ofSeconds(30);

    private final ReplicatedLog log;
    private final Supplier<ControlState> state;
    private final Function<String, String> peerEndpointOf;
    private final Duration lease;
    private final Clock clock;
    private final FailoverTimings timings;
    private final ControlMetrics metrics;
    private final DatabaseRegistry registry;
    private final FailureDetector detector;
    private final DatabaseClients databaseClients;
    private final EffectRunner effectRunner;
    private final RenewalQueue renewals;
    private final EventLoopThread<ControlEvent> eventLoop;
    private final VersionPusher versionPusher;

    /** The session of this member's leadership; null while this member is not the leader. */
    private LeaderSession session;

    private Leadership leadership = new Leadership(0, Optional.empty(), false);

    /**
     * Creates the coordinator; {@link #start} runs it.
     *
     * @param log the control log
     * @param state supplies the latest applied state of the log; thread-safe
     * @param peerEndpointOf the peer endpoint of a member by its id; empty when unknown
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
        this.registry = new DatabaseRegistry(clock, REACHABLE_TIMEOUT, REGISTRY_EXPIRY);
        this.detector = new FailureDetector(clock, timings);
        this.eventLoop = new EventLoopThread<>("coordinator", RING_CAPACITY, this::handle, TICK_INTERVAL, this::tick);
        this.databaseClients = new DatabaseClients(transport, eventLoop::offer, metrics);
        this.versionPusher = new VersionPusher(clock);
        this.renewals = new RenewalQueue(log, clock, eventLoop::offer);
        this.effectRunner =
                new EffectRunner(registry, databaseClients, new ProposalBatcher(log, clock, eventLoop::offer, metrics));
    }

    /** Starts the thread and registers for changes of the log's leadership. */
    public Coordinator start() {
        log.onLeadershipChange(next -> eventLoop.offer(new ControlEvent.LeadershipChanged(next)));
        eventLoop.offer(new ControlEvent.LeadershipChanged(log.leadership()));
        eventLoop.start();
        return this;
    }

    /** Returns the topology that this leader publishes, without the control members. Fails with NOT_LEADER. */
    public CompletableFuture<Topology> topology() {
        CompletableFuture<Topology> result = new CompletableFuture<>();
        offer(new ControlEvent.TopologyRequested(result), result);
        return result;
    }

    /**
     * Requests a handover of a group to the given database, or to the best candidate if none is given. Completes when
     * the request is accepted, before the promotion has ended. Fails with NOT_LEADER or UNKNOWN_GROUP.
     */
    public CompletableFuture<Void> requestHandover(String group, Optional<String> databaseId) {
        CompletableFuture<Void> result = new CompletableFuture<>();
        offer(new ControlEvent.HandoverRequested(group, databaseId, result), result);
        return result;
    }

    @Override
    public void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> replyCallback) {
        if (!request.hasRenewView()) {
            refuse(
                    replyCallback,
                    FailureType.INVALID_REQUEST,
                    request.getBodyCase().name());
            return;
        }
        RenewView renewView = request.getRenewView();
        LiveProxy proxy = ViewMessages.proxy(renewView.getProxy());
        Renewal renewal = new Renewal(renewView, proxy, clock.instant(), connection, replyCallback);
        if (!eventLoop.offer(renewal)) {
            refuse(replyCallback, FailureType.RING_FULL, "coordinator");
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
            if (!eventLoop.offer(new ControlEvent.DatabaseAnnounced(database))) {
                metrics.countFailure(FailureType.RING_FULL);
            }
        } catch (FailureException e) {
            metrics.countFailure(e.type());
        }
    }

    @Override
    public void onClose(PeerConnection connection) {
        if (connection.attachment() instanceof String) {
            eventLoop.offer(new ControlEvent.AnnouncingConnectionClosed((String) connection.attachment()));
        }
    }

    @Override
    public void close() {
        eventLoop.close();
    }

    private void offer(ControlEvent event, CompletableFuture<?> result) {
        if (!eventLoop.offer(event)) {
            result.completeExceptionally(new FailureException(FailureType.RING_FULL, "coordinator"));
        }
    }

    private void handle(ControlEvent event) {
        if (event instanceof ControlEvent.DatabaseAnnounced announced) {
            handleAnnouncement(announced.database());
        } else if (event instanceof Renewal renewal) {
            handleRenewal(renewal);
        } else if (event instanceof LeadershipCheckCompleted check) {
            handleLeadershipCheck(check);
        } else if (event instanceof ControlEvent.LeadershipChanged changed) {
            handleLeadershipChange(changed.leadership());
        } else if (event instanceof ControlEvent.TopologyRequested requested) {
            completeTopology(requested.result());
        } else if (event instanceof ControlEvent.HandoverRequested requested) {
            requestHandover(requested);
        } else {
            handleDatabaseEvent(event);
        }
    }

    private void handleDatabaseEvent(ControlEvent event) {
        if (event instanceof ControlEvent.StatusReported report) {
            recordStatus(report.status());
        } else if (event instanceof ControlEvent.BecamePrimary promoted) {
            handleBecamePrimary(promoted);
        } else if (event instanceof ControlEvent.ConnectionRefused refused) {
            detector.recordConnectionFailure(refused.databaseId());
        } else if (event instanceof ControlEvent.AnnouncingConnectionClosed closed) {
            probe(closed.databaseId());
        } else if (session != null) {
            handleSessionEvent(event);
            step();
        }
    }

    private void handleSessionEvent(ControlEvent event) {
        if (event instanceof ControlEvent.FollowConfirmed confirmed) {
            recordStatus(confirmed.status());
            DatabaseStatus status = confirmed.status();
            session.group(confirmed.group())
                    .ifPresent(group ->
                            group.failover().onFollowing(status.databaseId(), status.incarnation(), confirmed.term()));
        } else if (event instanceof ControlEvent.PromoteRefused refused) {
            session.group(refused.group()).ifPresent(group -> group.failover().onPromoteRefused(refused.term()));
        } else if (event instanceof ControlEvent.ProposalCompleted completed
                && completed.leaderTerm() == leadership.term()) {
            session.update(state.get());
            completed
                    .groups()
                    .forEach(name -> session.group(name)
                            .ifPresent(group -> group.failover().onProposalCompleted()));
        }
    }

    private void handleAnnouncement(AnnouncedDatabase database) {
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

    private void recordStatus(DatabaseStatus status) {
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

    private void handleBecamePrimary(ControlEvent.BecamePrimary event) {
        registry.find(event.databaseId())
                .map(AnnouncedDatabase::status)
                .filter(status -> status.incarnation() == event.incarnation())
                .ifPresent(status -> recordStatus(new DatabaseStatus(
                        status.databaseId(),
                        status.incarnation(),
                        event.term(),
                        DatabaseRole.PRIMARY,
                        event.term(),
                        LogPosition.max(status.synced(), event.marker()),
                        Optional.of(event.marker()),
                        status.trusted())));
    }

    private void handleRenewal(Renewal renewal) {
        if (session == null) {
            refuseNotLeader(renewal.replyCallback());
            return;
        }
        renewals.add(renewal);
        renewals.startCheck(leadership.term());
    }

    private void handleLeadershipCheck(LeadershipCheckCompleted check) {
        renewals.completeCheck();
        boolean stillLeading = session != null && check.leaderTerm() == leadership.term() && check.confirmed();
        if (!stillLeading) {
            check.renewals().forEach(renewal -> refuseNotLeader(renewal.replyCallback()));
            renewals.startCheck(leadership.term());
            return;
        }
        session.update(state.get());
        session.publish();
        check.renewals().forEach(this::grant);
        renewals.startCheck(leadership.term());
        step();
    }

    /**
     * Grants a lease and responds to the renewal. While a promotion is in progress, the version is also pushed to a
     * proxy that has just received a newer view, so that the proxy confirms the view without waiting for its next
     * regular renewal.
     */
    private void grant(Renewal renewal) {
        LiveProxy proxy = renewal.proxy();
        session.recordRenewal(renewal.request(), proxy);
        versionPusher.register(proxy.proxyId(), renewal.connection());
        long held = session.view().heldVersion(renewal.request());
        ViewLease lease = session.grant(renewal.request(), proxy, renewal.arrivedAt());
        renewal.replyCallback().accept(Envelope.newBuilder().setViewLease(lease).build());
        if (lease.getViewVersion() > held && session.hasPromotionInProgress()) {
            VersionPusher.push(renewal.connection(), lease.getViewVersion());
        }
    }

    private void handleLeadershipChange(Leadership newLeadership) {
        boolean becameLeader =
                newLeadership.isLeader() && (session == null || newLeadership.term() != leadership.term());
        leadership = newLeadership;
        if (becameLeader) {
            LOG.log(Level.INFO, "became leader of the control log at term {0}", newLeadership.term());
            session = new LeaderSession(newLeadership.term(), lease, clock, timings, registry, detector, metrics);
            session.update(state.get());
            versionPusher.reset();
            step();
        } else if (!newLeadership.isLeader() && session != null) {
            LOG.log(Level.INFO, "no longer leader of the control log, current term {0}", newLeadership.term());
            session = null;
            versionPusher.clear();
            renewals.takeAll().forEach(renewal -> refuseNotLeader(renewal.replyCallback()));
            metrics.setLeaderState(false, 0, 0);
        }
    }

    private void tick() {
        detector.detectLocalPause();
        Set<String> changed = registry.expire();
        if (session != null) {
            session.markChanged(changed);
            session.update(state.get());
            renewals.startCheck(leadership.term());
            session.silentPrimariesToProbe().forEach(databaseClients::probe);
            step();
        }
    }

    private void step() {
        effectRunner.run(session.step(), leadership.term());
        versionPusher.push(session.view().version());
    }

    private void probe(String databaseId) {
        if (session != null) {
            registry.find(databaseId).filter(session::markProbedIfDue).ifPresent(databaseClients::probe);
        }
    }

    private void completeTopology(CompletableFuture<Topology> result) {
        if (session == null) {
            result.completeExceptionally(notLeader());
            return;
        }
        session.update(state.get());
        session.publish();
        result.complete(Topology.newBuilder()
                .setConfigurationVersion(state.get().getConfiguration().getVersion())
                .addAllGroups(session.view().groups())
                .addAllProxies(session.view().proxies())
                .build());
    }

    private void requestHandover(ControlEvent.HandoverRequested requested) {
        Optional<GroupState> group = session == null ? Optional.empty() : session.group(requested.group());
        if (session == null) {
            requested.result().completeExceptionally(notLeader());
        } else if (group.isEmpty()) {
            requested
                    .result()
                    .completeExceptionally(new FailureException(FailureType.UNKNOWN_GROUP, requested.group()));
        } else {
            group.get().failover().requestHandover(requested.databaseId());
            requested.result().complete(null);
            step();
        }
    }

    private FailureException notLeader() {
        return new FailureException(
                FailureType.NOT_LEADER,
                leadership.leaderId().map(peerEndpointOf).orElse(""));
    }

    private void refuseNotLeader(Consumer<Envelope> replyCallback) {
        metrics.countFailure(FailureType.NOT_LEADER);
        replyCallback.accept(Envelopes.failureEnvelope(notLeader()));
    }

    private void refuse(Consumer<Envelope> replyCallback, FailureType type, String detail) {
        metrics.countFailure(type);
        replyCallback.accept(Envelopes.failureEnvelope(new FailureException(type, detail)));
    }
}
