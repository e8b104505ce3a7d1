package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hornbeamspread.core.failover.AcknowledgedCommits;
import org.hornbeamspread.core.failover.Seal;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.placement.ProxyCountEstimate;
import org.hornbeamspread.core.quota.QuotaDemand;
import org.hornbeamspread.core.quota.QuotaShare;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.RouteConfiguration;
import org.hornbeamspread.protocol.schema.CommitReport;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.PrimaryObservation;
import org.hornbeamspread.protocol.schema.PrimaryPosition;
import org.hornbeamspread.protocol.schema.PromotedInstance;
import org.hornbeamspread.protocol.schema.QuotaGrant;
import org.hornbeamspread.protocol.schema.SystemUpdate;
import org.hornbeamspread.protocol.schema.WatchSystem;
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerTransport;
import org.hornbeamspread.transport.QuotaMessages;
import org.hornbeamspread.transport.RouteMessages;

/**
 * Keeps a proxy's view up to date by long polling: one request after the other to the control leader, which responds when
 * something has changed. An older configuration never replaces a newer one, and updates from a leader of an earlier term are
 * ignored. Confined to the engine's thread.
 */
public final class SystemWatch {
    /** Longer than the leader holds a request before it responds. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1_300);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final long INITIAL_BACKOFF_MS = 40;

    /** In a row, each after {@link #QUOTA_TIMEOUT}: half of the time after which an unanswered watch request fails. */
    private static final int MAX_UNANSWERED_QUOTA_REQUESTS = 2;

    /** Longer than a token is valid. */
    private static final Duration QUOTA_TIMEOUT = Duration.ofMillis(300);

    /** The assumed number of proxies until control reports it; a cluster usually has six to eight. */
    private static final int INITIAL_PROXY_COUNT = 8;

    /** Poll interval while reads need positions from control, which requests them from the primaries about as often. */
    private static final long POSITIONS_POLL_INTERVAL_MS = 200;

    /** Longer than the times after which control replaces a primary without proof, or with stalled writes. */
    private static final long MAX_REPORTED_PROOF_AGE_MS = 5_000;

    private static final long MAX_BACKOFF_MS = 400;

    /** A proxy without a configuration cannot serve, and polls more often. */
    private static final long MAX_UNLOADED_BACKOFF_MS = 80;

    private final String proxyId;
    private final String failureDomain;
    private final long incarnation;
    private final SessionEngine engine;
    private final PeerTransport transport;
    private final ScheduledExecutorService executor;
    private final Supplier<List<Endpoint>> seeds;
    private final Clock clock;
    private final EventLog events;
    private RouteConfiguration configuration = RouteConfiguration.NONE;
    private final Map<String, DatabaseInstance> instancesById = new TreeMap<>();
    private List<Endpoint> controlPeers = List.of();
    private long leaderTerm;
    private long systemVersion;
    private Optional<Endpoint> leader = Optional.empty();
    private Optional<PeerConnection> connection = Optional.empty();
    private int nextPeerIndex;
    private long backoffMs = INITIAL_BACKOFF_MS;
    private boolean controlReachable;
    private final ProxyCountEstimate proxyCountEstimate = new ProxyCountEstimate(INITIAL_PROXY_COUNT);
    private long requestedAtMs;
    private int unansweredQuotaRequests;
    private long requestEpoch;
    private boolean leaving;

    /** The seals in the latest view, by service. */
    private Map<String, Seal> seals = Map.of();

    /** The token of the latest promotion in the latest view, by service. */
    private Map<String, Long> promotedTokens = Map.of();

    /** What the current leader has received of this proxy's acknowledged commits, by service. */
    private Map<String, AcknowledgedCommits> reportedCommits = Map.of();

    /** The same once the request in flight is answered. */
    private Map<String, AcknowledgedCommits> sentCommits = Map.of();

    /**
     * Creates a watch that has not started.
     *
     * @param seeds peer endpoints of control members in the current settings
     */
    public SystemWatch(
            String proxyId,
            String failureDomain,
            long incarnation,
            SessionEngine engine,
            PeerTransport transport,
            ScheduledExecutorService executor,
            Supplier<List<Endpoint>> seeds,
            Clock clock,
            EventLog events) {
        this.clock = clock;
        this.proxyId = proxyId;
        this.failureDomain = failureDomain;
        this.incarnation = incarnation;
        this.engine = engine;
        this.transport = transport;
        this.executor = executor;
        this.seeds = seeds;
        this.events = events;
    }

    /** Starts polling. */
    public void start() {
        engine.setQuotaExchange(this::requestQuota);
        executor.execute(this::poll);
    }

    /** Sends demands to the leader; fails if it is not connected. Completes on the engine's thread. */
    private CompletableFuture<List<QuotaShare>> requestQuota(List<QuotaDemand> demands) {
        Optional<PeerConnection> open = connection.filter(PeerConnection::isOpen);
        if (open.isEmpty()) {
            return CompletableFuture.failedFuture(new FailureException(FailureType.NO_LEADER, "not connected"));
        }
        Envelope request = Envelope.newBuilder()
                .setQuotaRequest(QuotaMessages.toRequest(proxyId, incarnation, demands))
                .build();
        return open.get()
                .request(request, QUOTA_TIMEOUT)
                .whenCompleteAsync((response, error) -> onQuotaAnswer(open.get(), error == null), executor)
                .thenApplyAsync(response -> onQuotaGrant(response.getQuotaGrant()), executor);
    }

    /** Closes the connection to a leader that stopped answering, so that its successor is searched before the watch request times out. */
    private void onQuotaAnswer(PeerConnection asked, boolean answered) {
        unansweredQuotaRequests = answered ? 0 : unansweredQuotaRequests + 1;
        if (unansweredQuotaRequests >= MAX_UNANSWERED_QUOTA_REQUESTS) {
            unansweredQuotaRequests = 0;
            asked.close();
        }
    }

    private List<QuotaShare> onQuotaGrant(QuotaGrant grant) {
        if (grant.getLeaderTerm() < leaderTerm) {
            throw new FailureException(FailureType.NOT_LEADER, "");
        }
        return QuotaMessages.shares(grant);
    }

    /** Ends polling with a last report, so that control waits for none. Called when no session is open and none is accepted any more. */
    public void leave() {
        leaving = true;
        connection
                .filter(PeerConnection::isOpen)
                .ifPresent(open -> open.request(buildRequest(), RESPONSE_TIMEOUT)
                        .exceptionally(error -> Envelope.getDefaultInstance()));
    }

    private void poll() {
        if (leaving) {
            return;
        }
        Optional<Endpoint> known = leader.or(this::nextPeer);
        if (known.isEmpty()) {
            executor.schedule(this::poll, MAX_BACKOFF_MS, TimeUnit.MILLISECONDS);
            return;
        }
        Endpoint target = known.get();
        CompletableFuture<PeerConnection> peer = connection
                .filter(PeerConnection::isOpen)
                .map(CompletableFuture::completedFuture)
                .orElseGet(
                        () -> transport.connect(target, CONNECT_TIMEOUT, (from, request, responder) -> from.close()));
        peer.thenComposeAsync(
                        open -> {
                            connection = Optional.of(open);
                            return open.request(buildRequest(), RESPONSE_TIMEOUT);
                        },
                        executor)
                .whenCompleteAsync(
                        (response, error) -> {
                            if (error == null) {
                                onResponse(target, response.getSystemUpdate());
                            } else {
                                onFailure(target, FailureException.of(error));
                            }
                        },
                        executor);
    }

    /** The next control member to request; empty while the settings name none. */
    private Optional<Endpoint> nextPeer() {
        Set<Endpoint> endpoints = new LinkedHashSet<>(controlPeers);
        endpoints.addAll(seeds.get());
        List<Endpoint> all = new ArrayList<>(endpoints);
        return all.isEmpty()
                ? Optional.empty()
                : Optional.of(all.get(Math.floorMod(nextPeerIndex++ + (int) incarnation, all.size())));
    }

    private Envelope buildRequest() {
        WatchSystem.Builder request = WatchSystem.newBuilder()
                .setProxyId(proxyId)
                .setIncarnation(incarnation)
                .setFailureDomain(failureDomain)
                .setLeaderTerm(leaderTerm)
                .setSystemVersion(systemVersion)
                .setConfigurationVersion(configuration.version())
                .setPositionsWanted(engine.needsSharedPositions())
                .setAcceptsDeltas(true)
                .setLeaving(leaving)
                .setAuthorizationWanted(engine.needsConfirmedLeader())
                .setDraining(!engine.isReady() && engine.view().isLoaded());
        engine.primaryHealth().stream()
                .filter(SystemWatch::isInformative)
                .forEach(health -> request.addObservations(PrimaryObservation.newBuilder()
                        .setInstanceId(health.instanceId())
                        .setSinceSuccessMs((int) health.sinceLastProofMs())
                        .setOldestWriteMs((int) health.oldestPendingWriteMs())
                        .setUnreachableMs((int) health.unreachableMs())));
        addCommitReports(request);
        requestedAtMs = clock.millis();
        requestEpoch = engine.clockEpoch();
        return Envelope.newBuilder().setWatchSystem(request).build();
    }

    /** Reports the acknowledged commits that the leader has not received, and those of sealed services in every request. */
    private void addCommitReports(WatchSystem.Builder request) {
        Map<String, AcknowledgedCommits> sent = new TreeMap<>();
        engine.acknowledgedCommits().forEach((service, commits) -> {
            AcknowledgedCommits acknowledged = commits.acknowledged();
            sent.put(service, acknowledged);
            boolean known = reportedCommits
                    .getOrDefault(service, AcknowledgedCommits.NONE)
                    .equals(acknowledged);
            if (!known || commits.sealedToken() > 0) {
                request.addCommits(CommitReport.newBuilder()
                        .setService(service)
                        .setCertain(Envelopes.position(acknowledged.certain()))
                        .setPossible(Envelopes.position(acknowledged.possible()))
                        .setSealedToken(commits.sealedToken()));
            }
        });
        sentCommits = sent;
    }

    /** Whether an observation differs from that of a proxy that has not used the primary lately. */
    private static boolean isInformative(SessionEngine.PrimaryHealth health) {
        return health.sinceLastProofMs() <= MAX_REPORTED_PROOF_AGE_MS
                || health.oldestPendingWriteMs() > 0
                || health.unreachableMs() > 0;
    }

    /** Applies an update. One that cannot be applied must not end the polling: the whole state is requested instead. */
    private void onResponse(Endpoint target, SystemUpdate update) {
        if (update.getLeaderTerm() < leaderTerm) {
            onFailure(target, new FailureException(FailureType.NOT_LEADER, ""));
            return;
        }
        try {
            onUpdate(update);
        } catch (RuntimeException e) {
            FailureException failure = FailureException.of(e);
            events.record(
                    "update_refused",
                    "peer",
                    target.getHost(),
                    "system_version",
                    update.getSystemVersion(),
                    "cause",
                    failure.getMessage());
            systemVersion = 0;
            onFailure(target, failure);
            return;
        }
        backoffMs = INITIAL_BACKOFF_MS;
        boolean waitsForControl = engine.needsSharedPositions() || engine.needsConfirmedLeader();
        if (waitsForControl && update.getSealedCount() == 0) {
            executor.schedule(this::poll, POSITIONS_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else {
            poll();
        }
    }

    private void onUpdate(SystemUpdate update) {
        // Decoded first, so that no part of a malformed update is applied.
        List<LogPosition> positions = update.getPositionsList().stream()
                .map(primaryPosition -> Envelopes.position(primaryPosition.getPosition()))
                .toList();
        // Control sent the update at this time or later: the time on the network is not known.
        long sentAtMs = Math.min(requestedAtMs + update.getHeldMs(), clock.millis());
        engine.setControlReachable(true);
        if (!controlReachable) {
            controlReachable = true;
            events.record("control_regained", "leader_term", update.getLeaderTerm());
        }
        reportedCommits = update.getLeaderTerm() == leaderTerm ? sentCommits : Map.of();
        leaderTerm = update.getLeaderTerm();
        systemVersion = update.getSystemVersion();
        boolean newConfiguration =
                update.hasConfiguration() && update.getConfiguration().getVersion() > configuration.version();
        if (newConfiguration) {
            configuration = RouteMessages.configuration(update.getConfiguration());
            events.record(
                    "configuration_in_force",
                    "version",
                    configuration.version(),
                    "routes",
                    configuration.routes().size(),
                    "leader_term",
                    leaderTerm);
        }
        int proxyCount = update.getProxies() > 0
                ? proxyCountEstimate.observe(update.getProxies(), clock.millis())
                : proxyCountEstimate.current(clock.millis());
        if (update.getChanged()) {
            controlPeers = update.getControlPeersList().stream()
                    .filter(AddressTranslator::isConnectable)
                    .toList();
            onViewChanged(update, proxyCount, sentAtMs);
        } else if (newConfiguration || proxyCount != engine.view().proxyCount()) {
            SystemView view = engine.view();
            engine.onView(SystemView.of(configuration, view.instances(), view.promotedIds(), proxyCount));
        }
        if (!update.getChanged() && !seals.isEmpty()) {
            // The leader's view is unchanged: its seals are still in force.
            engine.onSeals(seals, promotedTokens);
        }
        if (update.hasConfirmedOffsetMs()) {
            // The leader received the request at this time or later, so the confirmation is no older than this.
            long confirmedAtMs = Math.min(clock.millis(), requestedAtMs + update.getConfirmedOffsetMs());
            engine.onLeaderConfirmed(confirmedAtMs, requestEpoch);
        }
        for (int i = 0; i < positions.size(); i++) {
            PrimaryPosition primaryPosition = update.getPositions(i);
            engine.onSharedPosition(
                    primaryPosition.getService(),
                    sentAtMs - primaryPosition.getAgeMs(),
                    requestEpoch,
                    positions.get(i));
        }
    }

    private void onViewChanged(SystemUpdate update, int proxyCount, long sentAtMs) {
        List<DatabaseInstance> received = RouteMessages.usableInstances(update.getInstancesList());
        if (!update.getDelta()) {
            instancesById.clear();
        }
        update.getRemovedInstanceIdsList().forEach(instancesById::remove);
        received.forEach(instance -> instancesById.put(instance.instanceId(), instance));
        List<DatabaseInstance> instances = List.copyOf(instancesById.values());
        Map<String, String> promoted = new TreeMap<>();
        for (PromotedInstance instance : update.getPromotedList()) {
            promoted.put(instance.getService(), instance.getInstanceId());
        }
        events.record(
                "view_changed",
                "leader_term",
                leaderTerm,
                "system_version",
                systemVersion,
                "instances",
                instances.size(),
                "draining",
                instances.stream().filter(DatabaseInstance::draining).count(),
                "proxies",
                proxyCount);
        Map<String, Long> drainingSinceMs = new TreeMap<>();
        update.getDrainingList()
                .forEach(draining -> drainingSinceMs.put(
                        draining.getInstanceId(),
                        draining.getAgeUnknown() ? SystemView.UNKNOWN_TIME : sentAtMs - draining.getAgeMs()));
        engine.onView(SystemView.of(configuration, instances, promoted, proxyCount, drainingSinceMs));
        seals = new TreeMap<>();
        update.getSealedList()
                .forEach(service ->
                        seals.put(service.getService(), new Seal(service.getFencingToken(), service.getLogTerm())));
        promotedTokens = new TreeMap<>();
        update.getPromotedList()
                .forEach(instance -> promotedTokens.put(instance.getService(), instance.getFencingToken()));
        engine.onSeals(seals, promotedTokens);
    }

    private void onFailure(Endpoint target, FailureException failure) {
        Optional<Endpoint> redirect = redirect(failure);
        engine.setControlReachable(false);
        connection.ifPresent(PeerConnection::close);
        connection = Optional.empty();
        reportedCommits = Map.of();
        Optional<Endpoint> previous = leader;
        leader = redirect;
        if (controlReachable && failure.type() != FailureType.NOT_LEADER) {
            controlReachable = false;
            events.record("control_lost", "peer", target.getHost(), "cause", failure.getMessage());
        }
        if (redirect.isPresent() && previous.isEmpty()) {
            poll();
            return;
        }
        executor.schedule(this::poll, backoffMs, TimeUnit.MILLISECONDS);
        long maxBackoffMs = engine.view().isLoaded() ? MAX_BACKOFF_MS : MAX_UNLOADED_BACKOFF_MS;
        backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
    }

    /** The leader that a refusal names; empty when it names none that can be connected to. */
    private static Optional<Endpoint> redirect(FailureException failure) {
        if (failure.type() != FailureType.NOT_LEADER) {
            return Optional.empty();
        }
        try {
            return Optional.of(AddressTranslator.parse(failure.detail())).filter(AddressTranslator::isConnectable);
        } catch (FailureException e) {
            return Optional.empty();
        }
    }
}
