package org.hornbeamspread.proxy;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.admission.SlotScheduler;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.ExecuteStatements;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.protocol.schema.RankDefinition;
import org.hornbeamspread.protocol.schema.StatementsExecuted;
import org.hornbeamspread.transport.PeerTransport;

/**
 * The databases whose slots and connections this proxy holds.
 *
 * <p>{@link HolderAdmissionRule} decides when work may start. When this proxy no longer holds a database, idle
 * connections are closed at once, and connections in use when their work has ended.
 *
 * <p>Confined to the dispatcher's thread.
 */
final class HeldDatabases {
    /** The report age of a database without an administrative connection; longer than any accepted age. */
    private static final Duration NO_REPORT_AGE = Duration.ofDays(1);

    private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(20);

    private final Dispatcher dispatcher;
    private final PeerTransport transport;
    private final ViewPublisher publisher;
    private final ClusterMonitor clusterMonitor;
    private final SchedulerFactory schedulerFactory;
    private final String proxyId;
    private final Map<String, HeldDatabase> held = new HashMap<>();

    /** The ranks that the schedulers were created with. */
    private List<RankDefinition> ranks = List.of();

    HeldDatabases(
            Dispatcher dispatcher,
            PeerTransport transport,
            ViewPublisher publisher,
            ClusterMonitor clusterMonitor,
            SchedulerFactory schedulerFactory,
            String proxyId) {
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.publisher = publisher;
        this.clusterMonitor = clusterMonitor;
        this.schedulerFactory = schedulerFactory;
        this.proxyId = proxyId;
    }

    void start() {
        dispatcher.schedule(MAINTENANCE_INTERVAL, this::runMaintenance);
    }

    /**
     * Adds the databases that the view assigns to this proxy, and closes the others. A change of the ranks replaces
     * every held database, because the schedulers depend on the ranks.
     */
    void updateView(ViewSnapshot view) {
        List<RankDefinition> newRanks = view.configuration().getRanksList();
        boolean sameRanks = newRanks.equals(ranks);
        ranks = newRanks;
        held.entrySet().removeIf(entry -> {
            boolean lost = !sameRanks
                    || view.database(entry.getKey())
                            .filter(database -> isStillHeld(database, entry.getValue()))
                            .isEmpty();
            if (lost) {
                entry.getValue().close();
            }
            return lost;
        });
        for (GroupView group : view.groups()) {
            for (DatabaseEntry database : group.getDatabasesList()) {
                if (database.getHolderProxyId().equals(proxyId)) {
                    held.computeIfAbsent(database.getDatabaseId(), id -> createHeldDatabase(view, database))
                            .setDraining(database.getDeparting()
                                    && !database.getDatabaseId().equals(group.getPrimaryId()));
                }
            }
        }
    }

    /** Runs statements on a database that this proxy holds at an epoch. Otherwise fails with WRONG_HOLDER, not run. */
    CompletableFuture<StatementsExecuted> execute(
            String databaseId, long holderEpoch, RequestContext context, ExecuteStatements statements) {
        Optional<HeldDatabase> database = findUsable(databaseId, holderEpoch, statements.getReadOnly());
        if (database.isEmpty()) {
            return CompletableFuture.failedFuture(new FailureException(FailureType.WRONG_HOLDER, databaseId));
        }
        return database.get().execute(context, statements);
    }

    /** The database, if this proxy holds it at the epoch and may start work on it now. */
    Optional<HeldDatabase> findUsable(String databaseId, long holderEpoch, boolean readOnly) {
        HeldDatabase database = held.get(databaseId);
        if (database == null || database.holderEpoch() != holderEpoch) {
            return Optional.empty();
        }
        return mayStart(databaseId, database, readOnly) ? Optional.of(database) : Optional.empty();
    }

    /**
     * Whether a read may be sent: always if another proxy is the holder, else only if this proxy may start reads now.
     */
    boolean mayRead(DatabaseEntry database) {
        return !database.getHolderProxyId().equals(proxyId)
                || findUsable(database.getDatabaseId(), database.getHolderEpoch(), true)
                        .isPresent();
    }

    /** The number of waiting and running statements of a held database. */
    int pendingStatements(String databaseId) {
        HeldDatabase database = held.get(databaseId);
        return database == null ? 0 : database.queue().outstandingStatements();
    }

    Map<String, HeldDatabase> all() {
        return held;
    }

    /** The held databases as protocol messages, for lease renewals. */
    List<org.hornbeamspread.protocol.schema.HeldDatabase> toProto() {
        return held.entrySet().stream()
                .map(entry -> org.hornbeamspread.protocol.schema.HeldDatabase.newBuilder()
                        .setDatabaseId(entry.getKey())
                        .setHolderEpoch(entry.getValue().holderEpoch())
                        .build())
                .toList();
    }

    private HeldDatabase createHeldDatabase(ViewSnapshot view, DatabaseEntry database) {
        SlotScheduler scheduler = schedulerFactory.create(view.configuration(), database);
        QueueLimits limits = QueueLimits.of(view.configuration());
        return new HeldDatabase(dispatcher, transport, database, scheduler, limits, proxyId);
    }

    private boolean mayStart(String databaseId, HeldDatabase database, boolean readOnly) {
        Optional<DatabaseMonitor> monitor = clusterMonitor.monitor(databaseId).filter(DatabaseMonitor::isConnected);
        Optional<PositionReport> report = monitor.flatMap(DatabaseMonitor::lastReport);
        return HolderAdmissionRule.mayStart(
                publisher.isLeaseValid(),
                readOnly,
                monitor.map(DatabaseMonitor::timeSinceLastReport).orElse(NO_REPORT_AGE),
                report.map(PositionReport::getConnections).orElse(Integer.MAX_VALUE),
                database.pool().openConnectionCount());
    }

    /**
     * Also compares endpoint and limits: a database restarted elsewhere needs new connections even with the same
     * holder.
     */
    private boolean isStillHeld(DatabaseEntry database, HeldDatabase heldDatabase) {
        return database.getHolderProxyId().equals(proxyId)
                && database.getHolderEpoch() == heldDatabase.holderEpoch()
                && heldDatabase.hasSameEndpointAndLimits(database);
    }

    private void runMaintenance() {
        held.values().forEach(HeldDatabase::runMaintenance);
        dispatcher.schedule(MAINTENANCE_INTERVAL, this::runMaintenance);
    }
}
