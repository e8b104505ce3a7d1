package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.hornbeamspread.core.admission.AdaptiveConcurrencyLimit;
import org.hornbeamspread.core.admission.RankScheduler;
import org.hornbeamspread.core.admission.SlotRequest;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.sql.SqlConnector;

/**
 * This proxy's connections to one instance, and the units that wait for one. A unit has a connection from its first statement
 * to its last; who gets the next one is decided by {@link RankScheduler}. Used on the engine's thread.
 */
final class InstanceConnectionPool {
    /** How much of a new measurement goes into the running mean of service times. */
    private static final double SERVICE_TIME_WEIGHT = 0.1;

    private static final double INITIAL_SERVICE_TIME_MS = 10;

    private final DatabaseInstance instance;
    private final Clock clock;
    private final BiConsumer<Unit, RetryReason> reroute;
    private final InstanceConnections connections;

    /** Units by ticket: each stay of a unit at this link has a ticket of its own. */
    private final Map<Long, Unit> waitingUnits = new LinkedHashMap<>();

    /** Units for which a connection is being opened. */
    private final Map<Long, Unit> connectingUnits = new LinkedHashMap<>();

    private final Map<Long, SlotRequest> runningRequests = new HashMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final StatementLimiter limiter;
    private final RankScheduler scheduler;
    private long nextTicket;
    private double serviceMs = INITIAL_SERVICE_TIME_MS;
    private long laggingUntilMs;

    /**
     * A link without connections.
     *
     * @param limit how many connections this proxy may have there
     * @param proxies how many proxies share the database
     * @param replace takes a unit that must be placed anew
     */
    InstanceConnectionPool(
            DatabaseInstance instance,
            int limit,
            int proxies,
            SqlConnector connector,
            Clock clock,
            EventLog events,
            BiConsumer<Unit, RetryReason> replace) {
        this.instance = instance;
        this.clock = clock;
        this.reroute = replace;
        this.connections =
                new InstanceConnections(instance, limit, connector, clock, events, this::onConnectionsAvailable);
        this.limiter = new StatementLimiter(new AdaptiveConcurrencyLimit(instance.slots(), proxies));
        this.scheduler = new RankScheduler(limit, PriorityRanks.rankSettings(), clock.instant());
    }

    DatabaseInstance instance() {
        return instance;
    }

    StatementLimiter limiter() {
        return limiter;
    }

    /** Statements that wait or are in flight, with the units that have no connection yet. */
    int outstanding() {
        return waitingUnits.size() + limiter.outstanding();
    }

    double serviceMs() {
        return serviceMs;
    }

    boolean hasConnectFailed() {
        return connections.hasConnectFailed();
    }

    boolean isReachable() {
        return connections.isUsable();
    }

    /** For how long the instance has owed an answer without giving any. */
    long silentMs() {
        return connections.silentMs();
    }

    /** Whether {@link #check} has something to look for. */
    boolean needsCheck() {
        return !waitingUnits.isEmpty() || !runningRequests.isEmpty() || connections.needsCheck();
    }

    /**
     * Looks whether the instance has fallen silent or may be back, and takes out units that can't start in time any more.
     *
     * @param stoodStill whether this proxy itself did
     */
    void check(boolean stoodStill) {
        if (stoodStill) {
            connections.onLocalPause();
        }
        if (connections.isSilenceTimeoutExceeded()) {
            onSilenceTimeout();
        }
        removeExpired();
        connections.check(!waitingUnits.isEmpty());
    }

    /** How much longer the instance is expected to lack recent positions. */
    long laggingForMs() {
        return Math.max(0, laggingUntilMs - clock.millis());
    }

    void onLagging(long forMs) {
        laggingUntilMs = Math.max(laggingUntilMs, clock.millis() + forMs);
    }

    /** A statement took this long, with the database's own queue. */
    void recordServiceTime(long elapsedMs) {
        serviceMs += SERVICE_TIME_WEIGHT * (elapsedMs - serviceMs);
    }

    /** A question on an open connection had no answer: nothing idle is trusted any more, and reads are run elsewhere. */
    void onSilenceTimeout() {
        connections.onSilenceTimeout();
        rerouteWaiting();
        List.copyOf(leases.values()).stream().filter(Lease::isRepeatable).forEach(Lease::discard);
    }

    /** Takes new limits over; what runs keeps its connection. */
    void resize(int newLimit, int proxies) {
        limiter.resize(instance.slots(), proxies);
        connections.resize(newLimit);
        onConnectionsAvailable();
    }

    private void onConnectionsAvailable() {
        scheduler.resize(connections.usableConnections());
        startNext();
    }

    /** Queues a unit, or refuses it at once when it can't start in time. */
    void acquire(Unit unit) {
        enqueue(unit);
        startNext();
    }

    void release(long ticket, PooledConnection connection, boolean reusable) {
        leases.remove(ticket);
        freeSlot(ticket, reusable);
        if (reusable) {
            connections.putIdle(connection);
        } else {
            connections.discard(connection);
        }
        startNext();
    }

    /** Closes what is idle, and has every waiting unit placed elsewhere. What runs goes on. */
    void close() {
        connections.close();
        rerouteWaiting();
    }

    private void freeSlot(long ticket, boolean served) {
        SlotRequest request = runningRequests.remove(ticket);
        if (request == null) {
            return;
        }
        if (served) {
            scheduler.complete(request, clock.instant());
        } else {
            scheduler.abandon(request, clock.instant());
        }
    }

    private void enqueue(Unit unit) {
        long ticket = nextTicket++;
        SlotRequest request = new SlotRequest(
                ticket,
                unit.rank(),
                clock.instant(),
                Instant.ofEpochMilli(Math.max(unit.startByMs, clock.millis() + 1)));
        Optional<FailureException> refusal = scheduler.offer(request);
        if (refusal.isPresent()) {
            boolean full = refusal.get().type() == FailureType.QUEUE_FULL;
            refuseOrReroute(unit, full ? RefusalReason.QUEUE_FULL : RefusalReason.WAIT_TOO_LONG);
            return;
        }
        waitingUnits.put(ticket, unit);
        unit.cancellation = cancelled -> {
            waitingUnits.remove(ticket);
            scheduler.cancel(request);
        };
    }

    /** Another instance may have room for a read; what only this one can run is refused at once. */
    private void refuseOrReroute(Unit unit, RefusalReason reason) {
        if (unit.needsPrimary) {
            unit.refuse(reason);
            return;
        }
        unit.tried.add(instance.instanceId());
        unit.queueRefusal = reason;
        reroute.accept(unit, RetryReason.WAIT_TOO_LONG);
    }

    private void removeExpired() {
        for (SlotRequest late : scheduler.removeExpired(clock.instant())) {
            Unit unit = waitingUnits.remove(late.requestId());
            if (unit != null) {
                unit.cancellation = null;
                refuseOrReroute(unit, RefusalReason.WAIT_TOO_LONG);
            }
        }
    }

    private void startNext() {
        while (isReachable()) {
            Optional<SlotRequest> next = scheduler.poll(clock.instant());
            if (next.isEmpty()) {
                return;
            }
            Unit unit = waitingUnits.remove(next.get().requestId());
            if (unit == null || unit.ended) {
                scheduler.complete(next.get(), clock.instant());
                continue;
            }
            unit.cancellation = null;
            runningRequests.put(next.get().requestId(), next.get());
            startUnit(next.get().requestId(), unit);
        }
    }

    private void startUnit(long ticket, Unit unit) {
        PooledConnection connection = connections.takeIdle(unit.values);
        if (connection != null) {
            grant(ticket, unit, connection);
            return;
        }
        connectingUnits.put(ticket, unit);
        connections.open((opened, error) -> onConnected(ticket, opened, error));
    }

    private void grant(long ticket, Unit unit, PooledConnection connection) {
        Lease lease = new Lease(this, ticket, connection);
        leases.put(ticket, lease);
        if (unit.ended) {
            lease.release();
        } else {
            unit.owner.onLease(lease);
        }
    }

    private void onConnected(long ticket, PooledConnection opened, Throwable error) {
        Unit unit = connectingUnits.remove(ticket);
        if (error == null && unit != null) {
            scheduler.resize(connections.usableConnections());
            grant(ticket, unit, opened);
            return;
        }
        freeSlot(ticket, false);
        if (error == null) {
            connections.putIdle(opened);
        }
        scheduler.resize(connections.usableConnections());
        if (error != null && unit != null) {
            if (!isReachable()) {
                unit.tried.add(instance.instanceId());
            }
            reroute.accept(unit, RetryReason.CONNECT_FAILED);
        }
        if (isReachable()) {
            startNext();
        } else {
            rerouteWaiting();
        }
    }

    /** Has everything that waits, for its turn or for a connection, placed elsewhere. */
    private void rerouteWaiting() {
        List<Unit> moved = new ArrayList<>(connectingUnits.values());
        connectingUnits.clear();
        List<Unit> queued = List.copyOf(waitingUnits.values());
        queued.forEach(unit -> {
            unit.cancellation.accept(unit);
            unit.cancellation = null;
        });
        moved.addAll(queued);
        moved.forEach(unit -> {
            unit.tried.add(instance.instanceId());
            reroute.accept(unit, RetryReason.CONNECT_FAILED);
        });
    }
}
