package org.hornbeamspread.proxy;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.http.RpcServer;
import org.hornbeamspread.protocol.schema.DatabaseObservation;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.HeldDatabase;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;

/**
 * Puts the proxy's parts together. Two duties have a thread each: "requests" owns everything that a request touches,
 * "control" keeps the view leased however busy the other is.
 */
final class ProxyServer implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ProxyServer.class.getName());
    private static final Duration GAUGE_INTERVAL = Duration.ofMillis(500);
    private static final Duration OBSERVATION_INTERVAL = Duration.ofMillis(100);

    private final ProxySettings settings;
    private final long incarnation;
    private final SingleThreadDispatcher requests;
    private final SingleThreadDispatcher control;
    private final PeerTransport transport;
    private final ViewPublisher publisher;
    private final ClusterMonitor databases;
    private final HeldDatabases held;
    private final InFlightAttempts inFlight;
    private final WritePath writes;
    private final TransactionManager transactions;
    private final StatementsService statements;
    private final ViewLeaseRenewer controlLink;
    private final PeerService peers;
    private final ProxyMetrics metrics;
    private final PrometheusRegistry registry = new PrometheusRegistry();

    /** The view that the requests' thread acts on: what renewals confirm. */
    private volatile ViewSnapshot confirmed = ViewSnapshot.NONE;

    private volatile List<DatabaseObservation> observations = List.of();
    private volatile List<HeldDatabase> holdings = List.of();
    private volatile int openTransactions;
    private volatile boolean draining;

    /** Null until {@link #start}. */
    private RpcServer http;

    /** Null until {@link #start}. */
    private PeerServer peerServer;

    ProxyServer(ProxySettings settings, Clock clock) {
        this.settings = settings;
        this.incarnation = clock.millis();
        this.requests = new SingleThreadDispatcher("requests", clock);
        this.control = new SingleThreadDispatcher("control", clock);
        this.transport = new PeerTransport(settings.networkThreads(), settings.translator());
        this.publisher = new ViewPublisher(clock);
        this.metrics = new ProxyMetrics(registry);
        this.databases = new ClusterMonitor(requests, transport, publisher, metrics, settings.region());
        this.held = new HeldDatabases(
                requests,
                transport,
                publisher,
                databases,
                (configuration, database) -> settings.slotOrder()
                        .scheduler(configuration, Math.max(1, database.getSlots()), clock.instant()),
                settings.proxyId());
        this.peers = new PeerService(requests, held, databases);
        databases.setReportListener(peers::report);
        RelayLinks relays = new RelayLinks(requests, transport, RelayLinks.refuseRequests(), metrics);
        DatabaseExecutor executor = new HolderExecutor(settings.proxyId(), settings.region(), held, relays);
        this.inFlight = new InFlightAttempts();
        this.writes = new WritePath(requests, publisher, databases, executor, inFlight);
        ReadPath reads = new ReadPath(requests, publisher, databases, held, executor, inFlight, metrics, settings);
        this.transactions = new TransactionManager(requests, publisher, held, writes, settings, incarnation);
        this.statements = new StatementsService(
                requests,
                publisher,
                writes,
                reads,
                new TransactionRouter(requests, publisher, transactions, settings, incarnation),
                new RetryLoop(requests, metrics, publisher::isCutOff),
                metrics,
                settings);
        this.controlLink =
                new ViewLeaseRenewer(control, transport, settings.control(), publisher, this::renewal, this::onView);
    }

    /** Starts to serve. */
    void start() {
        peerServer = transport.listen(settings.peerEndpoint(), peers).join();
        http = new RpcServer(settings.httpEndpoint(), statements.methods(), this::isReady, registry);
        requests.execute(() -> {
            databases.start();
            held.start();
            transactions.start();
            observe();
            updateGauges();
        });
        controlLink.start();
        LOG.log(Level.INFO, "proxy " + settings.proxyId() + " serves on port " + http.port());
    }

    /** The port of the HTTP endpoint. */
    int httpPort() {
        return http.port();
    }

    /** Completes once this proxy has seen a database apply a position. */
    CompletableFuture<Void> awaitApplied(String group, String databaseId, LogPosition position) {
        return CompletableFuture.supplyAsync(() -> databases.groupState(group), requests)
                .thenCompose(state -> state.awaitApplied(databaseId, position));
    }

    /** Asks a group's primary for its position, which proves the age of the replicas. */
    CompletableFuture<LogPosition> askPrimary(String group) {
        return CompletableFuture.supplyAsync(() -> databases.requestPrimaryPosition(group), requests)
                .thenCompose(position -> position);
    }

    /**
     * Ends in good order: not ready at once, requests accepted for the grace time, then those in progress finished. Other
     * proxies take over what this one holds meanwhile. Blocks.
     */
    void drain(Duration finishLimit) throws InterruptedException {
        LOG.log(Level.INFO, "proxy " + settings.proxyId() + " drains");
        draining = true;
        controlLink.renewNow();
        Thread.sleep(settings.drainGraceMs());
        statements.close();
        Instant limit = requests.clock().instant().plus(finishLimit);
        while (!isIdle() && requests.clock().instant().isBefore(limit)) {
            Thread.sleep(10);
        }
        close();
    }

    @Override
    public void close() {
        controlLink.close();
        if (http != null) {
            http.close();
        }
        if (peerServer != null) {
            peerServer.close();
        }
        transport.close();
        requests.close();
        control.close();
        LOG.log(Level.INFO, "proxy " + settings.proxyId() + " has ended");
    }

    private boolean isReady() {
        return !draining && publisher.current().view().isConfigured();
    }

    private boolean isIdle() {
        return statements.inProgress() == 0 && peers.inProgress() == 0 && openTransactions == 0;
    }

    /** Port 0 takes a free one. */
    private static Endpoint bound(Endpoint setting, int port) {
        return setting.toBuilder().setPort(port).build();
    }

    private RenewView renewal() {
        ViewSnapshot view = confirmed;
        return RenewView.newBuilder()
                .setProxy(ProxyEntry.newBuilder()
                        .setProxyId(settings.proxyId())
                        .setFailureDomain(settings.failureDomain())
                        .setRegion(settings.region())
                        .setPeer(bound(settings.peerEndpoint(), peerServer.port()))
                        .setHttp(bound(settings.httpEndpoint(), http.port()))
                        .setConfigurationVersion(view.configurationVersion())
                        .setDraining(draining)
                        .setIncarnation(incarnation))
                .setLeaderTerm(view.leaderTerm())
                .setViewVersion(view.version())
                .addAllObservations(observations)
                .addAllHeld(holdings)
                .setClusterId(settings.clusterId())
                .build();
    }

    /** On the control thread: hands a new view to the requests' thread, and confirms it once it is acted on. */
    private void onView(ViewSnapshot view) {
        requests.execute(() -> {
            databases.updateView(view);
            writes.view(view);
            inFlight.updateView(view);
            held.updateView(view);
            holdings = held.toProto();
            confirmed = view;
            controlLink.renewNow();
        });
    }

    private void observe() {
        observations = databases.observations(confirmed);
        openTransactions = transactions.openTransactionCount();
        requests.schedule(OBSERVATION_INTERVAL, this::observe);
    }

    private void updateGauges() {
        held.all()
                .forEach((id, database) -> metrics.held(
                        id, database.queue().statements(), database.pool().openConnectionCount()));
        requests.schedule(GAUGE_INTERVAL, this::updateGauges);
    }
}
