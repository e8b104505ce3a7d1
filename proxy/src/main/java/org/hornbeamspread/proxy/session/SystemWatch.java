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
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.placement.ProxyCountEstimate;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.RouteConfiguration;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.PrimaryObservation;
import org.hornbeamspread.protocol.schema.PrimaryPosition;
import org.hornbeamspread.protocol.schema.PromotedInstance;
import org.hornbeamspread.protocol.schema.SystemUpdate;
import org.hornbeamspread.protocol.schema.WatchSystem;
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerTransport;
import org.hornbeamspread.transport.RouteMessages;

/**
 * Keeps a proxy's view up to date: one question after the other to the leading control member, which answers when there is
 * news. A configuration is never replaced by an older one, nor anything by what an earlier leader says. Used on the engine's
 * thread.
 */
public final class SystemWatch {
    /** Above the time for which the leader holds a question. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_300);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final long FIRST_PAUSE_MS = 40;

    /** Of a proxy that has just started; operators run six to eight today. */
    private static final int ASSUMED_PROXIES = 8;

    /** Between two questions while positions are wanted; control asks primaries about as often. */
    private static final long POSITIONS_PAUSE_MS = 200;

    private static final long LAST_PAUSE_MS = 400;

    /** A proxy that knows nothing yet can't serve, and asks more often. */
    private static final long LAST_PAUSE_UNLOADED_MS = 80;

    private final String proxyId;
    private final String failureDomain;
    private final long incarnation;
    private final SessionEngine engine;
    private final PeerTransport transport;
    private final ScheduledExecutorService loop;
    private final Supplier<List<Endpoint>> seeds;
    private final Clock clock;
    private final EventLog events;
    private RouteConfiguration configuration = RouteConfiguration.NONE;
    private List<Endpoint> controlPeers = List.of();
    private long leaderTerm;
    private long systemVersion;
    private Optional<Endpoint> leader = Optional.empty();
    private Optional<PeerConnection> connection = Optional.empty();
    private int nextPeer;
    private long pauseMs = FIRST_PAUSE_MS;
    private boolean inTouch;
    private final ProxyCountEstimate sharers = new ProxyCountEstimate(ASSUMED_PROXIES);
    private long askedMs;
    private long askedEpoch;

    /**
     * A watch that has not begun.
     *
     * @param seeds peer endpoints of control members, as the settings have them now
     */
    public SystemWatch(
            String proxyId,
            String failureDomain,
            long incarnation,
            SessionEngine engine,
            PeerTransport transport,
            ScheduledExecutorService loop,
            Supplier<List<Endpoint>> seeds,
            Clock clock,
            EventLog events) {
        this.clock = clock;
        this.proxyId = proxyId;
        this.failureDomain = failureDomain;
        this.incarnation = incarnation;
        this.engine = engine;
        this.transport = transport;
        this.loop = loop;
        this.seeds = seeds;
        this.events = events;
    }

    /** Begins. */
    public void start() {
        loop.execute(this::ask);
    }

    private void ask() {
        Endpoint target = leader.orElseGet(this::nextPeer);
        CompletableFuture<PeerConnection> peer = connection
                .filter(PeerConnection::isOpen)
                .map(CompletableFuture::completedFuture)
                .orElseGet(() -> transport.connect(target, CONNECT_TIMEOUT, (from, request, answer) -> from.close()));
        peer.thenComposeAsync(
                        open -> {
                            connection = Optional.of(open);
                            return open.request(question(), ANSWER_TIMEOUT);
                        },
                        loop)
                .whenCompleteAsync(
                        (answer, error) -> {
                            if (error == null) {
                                onUpdate(answer.getSystemUpdate());
                            } else {
                                onFailure(target, FailureException.of(error));
                            }
                        },
                        loop);
    }

    private Endpoint nextPeer() {
        Set<Endpoint> known = new LinkedHashSet<>(controlPeers);
        known.addAll(seeds.get());
        List<Endpoint> all = new ArrayList<>(known);
        return all.get(Math.floorMod(nextPeer++ + (int) incarnation, all.size()));
    }

    private Envelope question() {
        WatchSystem.Builder question = WatchSystem.newBuilder()
                .setProxyId(proxyId)
                .setIncarnation(incarnation)
                .setFailureDomain(failureDomain)
                .setLeaderTerm(leaderTerm)
                .setSystemVersion(systemVersion)
                .setConfigurationVersion(configuration.version())
                .setPositionsWanted(engine.needsSharedPositions())
                .setDraining(!engine.isReady() && engine.view().isLoaded());
        engine.primaryHealth()
                .forEach(seen -> question.addObservations(PrimaryObservation.newBuilder()
                        .setInstanceId(seen.instanceId())
                        .setSinceSuccessMs((int) seen.sinceLastProofMs())
                        .setOldestWriteMs((int) seen.oldestPendingWriteMs())
                        .setUnreachableMs((int) seen.unreachableMs())));
        askedMs = clock.millis();
        askedEpoch = engine.clockEpoch();
        return Envelope.newBuilder().setWatchSystem(question).build();
    }

    private void onUpdate(SystemUpdate update) {
        pauseMs = FIRST_PAUSE_MS;
        if (update.getLeaderTerm() < leaderTerm) {
            onFailure(
                    controlPeers.isEmpty() ? Endpoint.getDefaultInstance() : controlPeers.get(0),
                    new FailureException(FailureType.NOT_LEADER, ""));
            return;
        }
        engine.onControlReachability(true);
        if (!inTouch) {
            inTouch = true;
            events.record("control_regained", "leader_term", update.getLeaderTerm());
        }
        leaderTerm = update.getLeaderTerm();
        systemVersion = update.getSystemVersion();
        boolean newer = update.hasConfiguration() && update.getConfiguration().getVersion() > configuration.version();
        if (newer) {
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
        if (update.getChanged()) {
            controlPeers = update.getControlPeersList();
            onChanged(update);
        } else if (newer || sharers.current(clock.millis()) != engine.view().proxies()) {
            SystemView view = engine.view();
            engine.onView(SystemView.of(
                    configuration, view.instances(), view.promotedIds(), sharers.current(clock.millis())));
        }
        for (PrimaryPosition shared : update.getPositionsList()) {
            engine.onSharedPosition(
                    shared.getService(),
                    askedMs - shared.getAgeMs(),
                    askedEpoch,
                    Envelopes.position(shared.getPosition()));
        }
        if (engine.needsSharedPositions()) {
            loop.schedule(this::ask, POSITIONS_PAUSE_MS, TimeUnit.MILLISECONDS);
        } else {
            ask();
        }
    }

    private void onChanged(SystemUpdate update) {
        List<DatabaseInstance> instances =
                update.getInstancesList().stream().map(RouteMessages::instance).toList();
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
                update.getProxies());
        engine.onView(SystemView.of(
                configuration, instances, promoted, sharers.observe(update.getProxies(), clock.millis())));
    }

    private void onFailure(Endpoint target, FailureException failure) {
        boolean redirected = failure.type() == FailureType.NOT_LEADER
                && !failure.detail().isEmpty()
                && failure.detail().contains(":");
        engine.onControlReachability(false);
        connection.ifPresent(PeerConnection::close);
        connection = Optional.empty();
        Optional<Endpoint> previous = leader;
        leader = redirected ? Optional.of(AddressTranslator.parse(failure.detail())) : Optional.empty();
        if (inTouch && failure.type() != FailureType.NOT_LEADER) {
            inTouch = false;
            events.record("control_lost", "peer", target.getHost(), "cause", failure.getMessage());
        }
        if (redirected && previous.isEmpty()) {
            ask();
            return;
        }
        loop.schedule(this::ask, pauseMs, TimeUnit.MILLISECONDS);
        long longestMs = engine.view().isLoaded() ? LAST_PAUSE_MS : LAST_PAUSE_UNLOADED_MS;
        pauseMs = Math.min(longestMs, pauseMs * 2);
    }
}
