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
 * <p>{@link HolderAdmissionRule} says when work may start. Connections of a database that is no longer held are closed when idle
 * at once, and otherwise when what runs on them has ended.
 *
 * <p>Owned by the dispatcher's thread.
 */
final class HeldDatabases {
    private static final Duration NO_REPORT_AGE = Duration.ofDays(1);
    private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(20);

    private final Dispatcher dispatcher;
    private final PeerTransport transport;
    private final ViewPublisher publisher;
    private final ClusterMonitor databases;
    private final SchedulerFactory schedulers;
    private final String proxyId;
    private final Map<String, HeldDatabase> held = new HashMap<>();

    /** The ranks that the schedulers were made for. */
    private List<RankDefinition> ranks = List.of();

    HeldDatabases(
            Dispatcher dispatcher,
            PeerTransport transport,
            ViewPublisher publisher,
            ClusterMonitor databases,
            SchedulerFactory schedulers,
            String proxyId) {
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.publisher = publisher;
        this.databases = databases;
        this.schedulers = schedulers;
        this.proxyId = proxyId;
    }

    void start() {
        dispatcher.schedule(MAINTENANCE_INTERVAL, this::runMaintenance);
    }

    /** Takes up what the view gives this proxy and lets go of the rest. */
    void updateView(ViewSnapshot view) {
        List<RankDefinition> ranksNow = view.configuration().getRanksList();
        boolean sameRanks = ranksNow.equals(ranks);
        ranks = ranksNow;
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

    /** Runs statements at a database that this proxy holds at an epoch. Fails with WRONG_HOLDER, not run. */
    CompletableFuture<StatementsExecuted> execute(
            String databaseId, long holderEpoch, WorkOrder order, ExecuteStatements statements) {
        Optional<HeldDatabase> database = findUsable(databaseId, holderEpoch, statements.getReadOnly());
        if (database.isEmpty()) {
            return CompletableFuture.failedFuture(new FailureException(FailureType.WRONG_HOLDER, databaseId));
        }
        return database.get().execute(order, statements);
    }

    /** A database that this proxy may use now. */
    Optional<HeldDatabase> findUsable(String databaseId, long holderEpoch, boolean readOnly) {
        HeldDatabase database = held.get(databaseId);
        if (database == null || database.holderEpoch() != holderEpoch) {
            return Optional.empty();
        }
        return mayStart(databaseId, database, readOnly) ? Optional.of(database) : Optional.empty();
    }

    /** Whether a read may be sent: to another holder always, to this one while it may use the database. */
    boolean mayRead(DatabaseEntry database) {
        return !database.getHolderProxyId().equals(proxyId)
                || findUsable(database.getDatabaseId(), database.getHolderEpoch(), true)
                        .isPresent();
    }

    /** Statements that wait or run at a held database. */
    int pendingStatements(String databaseId) {
        HeldDatabase database = held.get(databaseId);
        return database == null ? 0 : database.queue().statements();
    }

    Map<String, HeldDatabase> all() {
        return held;
    }

    /** What control is told of the holdings. */
    List<org.hornbeamspread.protocol.schema.HeldDatabase> toProto() {
        return held.entrySet().stream()
                .map(entry -> org.hornbeamspread.protocol.schema.HeldDatabase.newBuilder()
                        .setDatabaseId(entry.getKey())
                        .setHolderEpoch(entry.getValue().holderEpoch())
                        .build())
                .toList();
    }

    private HeldDatabase createHeldDatabase(ViewSnapshot view, DatabaseEntry database) {
        SlotScheduler scheduler = schedulers.create(view.configuration(), database);
        QueueLimits limits = QueueLimits.of(view.configuration());
        return new HeldDatabase(dispatcher, transport, database, scheduler, limits, proxyId);
    }

    private boolean mayStart(String databaseId, HeldDatabase database, boolean readOnly) {
        Optional<DatabaseMonitor> link = databases.monitor(databaseId).filter(DatabaseMonitor::isConnected);
        Optional<PositionReport> report = link.flatMap(DatabaseMonitor::lastReport);
        return HolderAdmissionRule.mayStart(
                publisher.isFresh(),
                readOnly,
                link.map(DatabaseMonitor::timeSinceLastReport).orElse(NO_REPORT_AGE),
                report.map(PositionReport::getConnections).orElse(Integer.MAX_VALUE),
                database.pool().openConnectionCount());
    }

    /** A database that restarted elsewhere needs new connections also when the holder stays. */
    private boolean isStillHeld(DatabaseEntry database, HeldDatabase holding) {
        return database.getHolderProxyId().equals(proxyId)
                && database.getHolderEpoch() == holding.holderEpoch()
                && holding.hasSameEndpointAndLimits(database);
    }

    private void runMaintenance() {
        held.values().forEach(HeldDatabase::runMaintenance);
        dispatcher.schedule(MAINTENANCE_INTERVAL, this::runMaintenance);
    }
}
