package org.hornbeamspread.proxy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.admission.SlotScheduler;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.ExecuteStatements;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.protocol.schema.StatementsExecuted;
import org.hornbeamspread.transport.PeerTransport;

/**
 * The databases whose slots and connections this proxy holds.
 *
 * <p>Control names a new holder only after the old one confirmed a view without its holding, or after its lease ran
 * out. So a holder with a fresh lease is the only one. Once the lease has run out another proxy may have been named, and
 * this one starts no write. Reads it still starts, but only while the database's own reports, none older than {@link
 * #REPORT_MAX_AGE}, count no connection besides this proxy's: then nobody else can use a slot. A proxy that is cut off
 * together with a database thus goes on serving reads, and one that was replaced stops within a report.
 *
 * <p>Owned by the dispatcher's thread.
 */
final class HeldDatabases {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);
    private static final Duration REPORT_MAX_AGE = Duration.ofMillis(300);

    private final Dispatcher dispatcher;
    private final PeerTransport transport;
    private final ViewPublisher publisher;
    private final Databases databases;
    private final SchedulerFactory schedulers;
    private final String proxyId;
    private final Map<String, HeldDatabase> held = new HashMap<>();

    HeldDatabases(
            Dispatcher dispatcher,
            PeerTransport transport,
            ViewPublisher publisher,
            Databases databases,
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
        dispatcher.schedule(CHECK_INTERVAL, this::check);
    }

    /** Takes up what the view gives this proxy and lets go of the rest. */
    void view(ViewSnapshot view) {
        held.entrySet().removeIf(entry -> {
            boolean lost = view.database(entry.getKey())
                    .filter(database -> isSameHolding(database, entry.getValue()))
                    .isEmpty();
            if (lost) {
                entry.getValue().close();
            }
            return lost;
        });
        for (DatabaseEntry database : view.databases()) {
            if (database.getHolderProxyId().equals(proxyId)) {
                held.computeIfAbsent(database.getDatabaseId(), id -> take(view, database));
            }
        }
    }

    /** Runs statements at a database that this proxy holds at an epoch. Fails with WRONG_HOLDER, not run. */
    CompletableFuture<StatementsExecuted> execute(
            String databaseId, long holderEpoch, WorkOrder order, ExecuteStatements statements) {
        Optional<HeldDatabase> database = usable(databaseId, holderEpoch, statements.getReadOnly());
        if (database.isEmpty()) {
            return CompletableFuture.failedFuture(new FailureException(FailureType.WRONG_HOLDER, databaseId));
        }
        return database.get().execute(order, statements);
    }

    /** A database that this proxy may use now. */
    Optional<HeldDatabase> usable(String databaseId, long holderEpoch, boolean readOnly) {
        HeldDatabase database = held.get(databaseId);
        if (database == null || database.holderEpoch() != holderEpoch) {
            return Optional.empty();
        }
        boolean allowed = publisher.isFresh() || (readOnly && isOnlyUser(databaseId, database));
        return allowed ? Optional.of(database) : Optional.empty();
    }

    /** Statements that wait or run at a held database. */
    int waitingStatements(String databaseId) {
        HeldDatabase database = held.get(databaseId);
        return database == null ? 0 : database.queue().statements();
    }

    Map<String, HeldDatabase> all() {
        return held;
    }

    private HeldDatabase take(ViewSnapshot view, DatabaseEntry database) {
        SlotScheduler scheduler = schedulers.create(view.configuration(), database);
        return new HeldDatabase(dispatcher, transport, database, scheduler, proxyId);
    }

    private boolean isOnlyUser(String databaseId, HeldDatabase database) {
        Optional<DatabaseLink> link = databases.link(databaseId);
        Optional<PositionReport> report = link.flatMap(DatabaseLink::lastReport);
        return report.isPresent()
                && link.get().isConnected()
                && link.get().silence().compareTo(REPORT_MAX_AGE) <= 0
                && report.get().getConnections() <= database.pool().openConnections();
    }

    /** A database that restarted elsewhere needs new connections also when the holder stays. */
    private boolean isSameHolding(DatabaseEntry database, HeldDatabase holding) {
        return database.getHolderProxyId().equals(proxyId)
                && database.getHolderEpoch() == holding.holderEpoch()
                && holding.isFor(database);
    }

    private void check() {
        held.values().forEach(HeldDatabase::check);
        dispatcher.schedule(CHECK_INTERVAL, this::check);
    }
}
