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
import org.hornbeamspread.transport.TransportMetrics;

/**
 * Wires up and runs the components of the proxy. Two dispatchers have a thread each: all state of request processing is
 * confined to the "requests" thread, and the "control" thread renews the view lease independently of the load on the
 * "requests" thread.
 */
final class ProxyServer implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ProxyServer.class.getName());
    private static final Duration GAUGE_INTERVAL = Duration.ofMillis(500);
    private static final Duration OBSERVATION_INTERVAL = Duration.ofMillis(100);

    private final ProxySettings settings;
    private final long incarnation;
    private final SingleThreadDispatcher requestDispatcher;
    private final SingleThreadDispatcher controlDispatcher;
    private final PeerTransport transport;
    private final ViewPublisher publisher;
    private final ClusterMonitor clusterMonitor;
    private final HeldDatabases heldDatabases;
    private final InFlightAttempts inFlight;
    private final WritePath writePath;
    private final TransactionManager transactionManager;
    private final StatementsService statements;
    private final ViewLeaseRenewer leaseRenewer;
    private final PeerService peerService;
    private final ProxyMetrics metrics;
    private final PrometheusRegistry registry = new PrometheusRegistry();

    /** The view that the "requests" thread has applied; lease renewals confirm its version. */
    private volatile ViewSnapshot appliedView = ViewSnapshot.NONE;

    private volatile List<DatabaseObservation> observations = List.of();
    private volatile List<HeldDatabase> heldEntries = List.of();
    private volatile int openTransactions;
    private volatile boolean draining;

    /** Null until {@link #start}. */
    private RpcServer http;

    /** Null until {@link #start}. */
    private PeerServer peerServer;

    ProxyServer(ProxySettings settings, Clock clock) {
        this.settings = settings;
        this.incarnation = clock.millis();
        this.requestDispatcher = new SingleThreadDispatcher("requests", clock);
        this.controlDispatcher = new SingleThreadDispatcher("control", clock);
        this.transport = new PeerTransport(settings.networkThreads(), settings.translator());
        this.publisher = new ViewPublisher(clock);
        this.metrics = new ProxyMetrics(registry);
        TransportMetrics.register(registry, transport.counters());
        this.clusterMonitor = new ClusterMonitor(requestDispatcher, transport, publisher, metrics, settings.region());
        this.heldDatabases = new HeldDatabases(
                requestDispatcher,
                transport,
                publisher,
                clusterMonitor,
                (configuration, database) -> settings.slotOrder()
                        .scheduler(configuration, Math.max(1, database.getSlots()), clock.instant()),
                settings.proxyId());
        this.peerService = new PeerService(requestDispatcher, heldDatabases, clusterMonitor);
        clusterMonitor.setReportListener(peerService::forwardReport);
        RelayClient relayClient = new RelayClient(requestDispatcher, transport, RelayClient.refuseRequests(), metrics);
        DatabaseExecutor executor =
                new HolderExecutor(settings.proxyId(), settings.region(), heldDatabases, relayClient);
        this.inFlight = new InFlightAttempts();
        this.writePath = new WritePath(requestDispatcher, publisher, clusterMonitor, executor, inFlight);
        ReadPath readPath = new ReadPath(
                requestDispatcher, publisher, clusterMonitor, heldDatabases, executor, inFlight, metrics, settings);
        this.transactionManager =
                new TransactionManager(requestDispatcher, publisher, heldDatabases, writePath, settings, incarnation);
        this.statements = new StatementsService(
                requestDispatcher,
                publisher,
                writePath,
                readPath,
                new TransactionRouter(requestDispatcher, publisher, transactionManager, settings, incarnation),
                new RetryLoop(requestDispatcher, metrics, publisher::isIsolatedFromControl),
                metrics,
                settings);
        this.leaseRenewer = new ViewLeaseRenewer(
                controlDispatcher, transport, settings.control(), publisher, this::renewalRequest, this::onView);
    }

    /** Opens the endpoints and starts the background tasks. */
    void start() {
        peerServer = transport.listen(settings.peerEndpoint(), peerService).join();
        http = new RpcServer(settings.httpEndpoint(), statements.methods(), this::isReady, registry);
        requestDispatcher.execute(() -> {
            clusterMonitor.start();
            heldDatabases.start();
            transactionManager.start();
            updateObservations();
            updateGauges();
        });
        leaseRenewer.start();
        LOG.log(Level.INFO, "proxy " + settings.proxyId() + " is listening for HTTP on port " + http.port());
    }

    /** The port of the HTTP endpoint. */
    int httpPort() {
        return http.port();
    }

    /** Completes once a position report shows that a database has applied a position. */
    CompletableFuture<Void> awaitApplied(String group, String databaseId, LogPosition position) {
        return CompletableFuture.supplyAsync(() -> clusterMonitor.groupState(group), requestDispatcher)
                .thenCompose(state -> state.awaitApplied(databaseId, position));
    }

    /** Requests the position of a group's primary, from which the staleness of the replicas is bounded. */
    CompletableFuture<LogPosition> requestPrimaryPosition(String group) {
        return CompletableFuture.supplyAsync(() -> clusterMonitor.requestPrimaryPosition(group), requestDispatcher)
                .thenCompose(future -> future);
    }

    /**
     * Shuts down gracefully: reports not ready at once, accepts requests for the grace period, then waits until those in
     * progress have finished or the timeout expires. Meanwhile other proxies take over the databases that this proxy
     * holds. Blocks the calling thread.
     */
    void drain(Duration timeout) throws InterruptedException {
        LOG.log(Level.INFO, "proxy " + settings.proxyId() + " is draining");
        draining = true;
        leaseRenewer.renewNow();
        Thread.sleep(settings.drainGraceMs());
        statements.close();
        Instant drainDeadline = requestDispatcher.clock().instant().plus(timeout);
        while (!isIdle() && requestDispatcher.clock().instant().isBefore(drainDeadline)) {
            Thread.sleep(10);
        }
        close();
    }

    @Override
    public void close() {
        leaseRenewer.close();
        if (http != null) {
            http.close();
        }
        if (peerServer != null) {
            peerServer.close();
        }
        transport.close();
        requestDispatcher.close();
        controlDispatcher.close();
        LOG.log(Level.INFO, "proxy " + settings.proxyId() + " has stopped");
    }

    private boolean isReady() {
        return !draining && publisher.current().view().isConfigured();
    }

    private boolean isIdle() {
        return statements.inProgress() == 0 && peerService.inProgress() == 0 && openTransactions == 0;
    }

    /** The configured endpoint with the port that was bound, which differs when the setting has port 0. */
    private static Endpoint boundEndpoint(Endpoint setting, int port) {
        return setting.toBuilder().setPort(port).build();
    }

    private RenewView renewalRequest() {
        ViewSnapshot view = appliedView;
        return RenewView.newBuilder()
                .setProxy(ProxyEntry.newBuilder()
                        .setProxyId(settings.proxyId())
                        .setFailureDomain(settings.failureDomain())
                        .setRegion(settings.region())
                        .setPeer(boundEndpoint(settings.peerEndpoint(), peerServer.port()))
                        .setHttp(boundEndpoint(settings.httpEndpoint(), http.port()))
                        .setConfigurationVersion(view.configurationVersion())
                        .setDraining(draining)
                        .setIncarnation(incarnation))
                .setLeaderTerm(view.leaderTerm())
                .setViewVersion(view.version())
                .addAllObservations(observations)
                .addAllHeld(heldEntries)
                .setClusterId(settings.clusterId())
                .build();
    }

    /** Called on the "control" thread: applies a new view on the "requests" thread, then confirms it to control. */
    private void onView(ViewSnapshot view) {
        requestDispatcher.execute(() -> {
            clusterMonitor.updateView(view);
            writePath.updateView(view);
            inFlight.updateView(view);
            heldDatabases.updateView(view);
            heldEntries = heldDatabases.toProto();
            appliedView = view;
            leaseRenewer.renewNow();
        });
    }

    private void updateObservations() {
        observations = clusterMonitor.observations(appliedView);
        openTransactions = transactionManager.openTransactionCount();
        requestDispatcher.schedule(OBSERVATION_INTERVAL, this::updateObservations);
    }

    private void updateGauges() {
        heldDatabases
                .all()
                .forEach((id, database) -> metrics.setDatabaseUsage(
                        id,
                        database.queue().outstandingStatements(),
                        database.pool().openConnectionCount()));
        requestDispatcher.schedule(GAUGE_INTERVAL, this::updateGauges);
    }
}
