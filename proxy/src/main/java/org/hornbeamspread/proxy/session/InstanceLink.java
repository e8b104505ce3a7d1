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
final class InstanceLink {
    /** How much of a new measurement goes into the running mean of service times. */
    private static final double SMOOTHING = 0.1;

    private static final double FIRST_SERVICE_MS = 10;

    private final DatabaseInstance instance;
    private final Clock clock;
    private final BiConsumer<ConnectionRequest, RetryReason> replace;
    private final LinkConnections connections;

    /** Units by ticket: each stay of a unit at this link has a ticket of its own. */
    private final Map<Long, ConnectionRequest> waiting = new LinkedHashMap<>();

    /** Units for which a connection is being opened. */
    private final Map<Long, ConnectionRequest> connecting = new LinkedHashMap<>();

    private final Map<Long, SlotRequest> running = new HashMap<>();
    private final Map<Long, ConnectionLease> leases = new HashMap<>();
    private final StatementGate gate;
    private final RankScheduler scheduler;
    private long nextTicket;
    private double serviceMs = FIRST_SERVICE_MS;
    private long laggingUntilMs;

    /**
     * A link without connections.
     *
     * @param limit how many connections this proxy may have there
     * @param proxies how many proxies share the database
     * @param replace takes a unit that must be placed anew
     */
    InstanceLink(
            DatabaseInstance instance,
            int limit,
            int proxies,
            SqlConnector connector,
            Clock clock,
            EventLog events,
            BiConsumer<ConnectionRequest, RetryReason> replace) {
        this.instance = instance;
        this.clock = clock;
        this.replace = replace;
        this.connections = new LinkConnections(instance, limit, connector, clock, events, this::onRoom);
        this.gate = new StatementGate(new AdaptiveConcurrencyLimit(instance.slots(), proxies));
        this.scheduler = new RankScheduler(limit, Ranks.settings(), clock.instant());
    }

    DatabaseInstance instance() {
        return instance;
    }

    StatementGate gate() {
        return gate;
    }

    /** Statements that wait or are in flight, with the units that have no connection yet. */
    int outstanding() {
        return waiting.size() + gate.outstanding();
    }

    double serviceMs() {
        return serviceMs;
    }

    boolean isOutOfReach() {
        return connections.isOutOfReach();
    }

    boolean isReachable() {
        return connections.isUsable();
    }

    /** For how long the instance has owed an answer without giving any. */
    long silentMs() {
        return connections.silentMs();
    }

    /** Whether {@link #check} has something to look for. */
    boolean isWatched() {
        return !waiting.isEmpty() || !running.isEmpty() || connections.isWatched();
    }

    /**
     * Looks whether the instance has fallen silent or may be back, and takes out units that can't start in time any more.
     *
     * @param stoodStill whether this proxy itself did
     */
    void check(boolean stoodStill) {
        if (stoodStill) {
            connections.onOwnPause();
        }
        if (connections.isSilenceOver()) {
            onSilent();
        }
        takeOutLate();
        connections.check(!waiting.isEmpty());
    }

    /** How much longer the instance is expected to lack recent positions. */
    long laggingForMs() {
        return Math.max(0, laggingUntilMs - clock.millis());
    }

    void onLagging(long forMs) {
        laggingUntilMs = Math.max(laggingUntilMs, clock.millis() + forMs);
    }

    /** A statement took this long, with the database's own queue. */
    void onServed(long elapsedMs) {
        serviceMs += SMOOTHING * (elapsedMs - serviceMs);
    }

    /** A question on an open connection had no answer: nothing idle is trusted any more, and reads are run elsewhere. */
    void onSilent() {
        connections.onSilent();
        moveWaiting();
        List.copyOf(leases.values()).stream()
                .filter(ConnectionLease::isRetryable)
                .forEach(ConnectionLease::discard);
    }

    /** Takes new limits over; what runs keeps its connection. */
    void resize(int newLimit, int proxies) {
        gate.share(instance.slots(), proxies);
        connections.resize(newLimit);
        onRoom();
    }

    private void onRoom() {
        scheduler.resize(connections.room());
        startNext();
    }

    /** Queues a unit, or refuses it at once when it can't start in time. */
    void acquire(ConnectionRequest unit) {
        offer(unit);
        startNext();
    }

    void giveBack(long ticket, PooledConnection connection, boolean reusable) {
        leases.remove(ticket);
        freeSlot(ticket, reusable);
        if (reusable) {
            connections.keep(connection);
        } else {
            connections.discard(connection);
        }
        startNext();
    }

    /** Closes what is idle, and has every waiting unit placed elsewhere. What runs goes on. */
    void close() {
        connections.close();
        moveWaiting();
    }

    private void freeSlot(long ticket, boolean served) {
        SlotRequest request = running.remove(ticket);
        if (request == null) {
            return;
        }
        if (served) {
            scheduler.complete(request, clock.instant());
        } else {
            scheduler.abandon(request, clock.instant());
        }
    }

    private void offer(ConnectionRequest unit) {
        long ticket = nextTicket++;
        SlotRequest request = new SlotRequest(
                ticket,
                unit.rank(),
                clock.instant(),
                Instant.ofEpochMilli(Math.max(unit.startDeadlineMs, clock.millis() + 1)));
        Optional<FailureException> refusal = scheduler.offer(request);
        if (refusal.isPresent()) {
            boolean full = refusal.get().type() == FailureType.QUEUE_FULL;
            turnAway(unit, full ? RefusalReason.QUEUE_FULL : RefusalReason.WAIT_TOO_LONG);
            return;
        }
        waiting.put(ticket, unit);
        unit.cancelHandler = cancelled -> {
            waiting.remove(ticket);
            scheduler.cancel(request);
        };
    }

    /** Another instance may have room for a read; what only this one can run is refused at once. */
    private void turnAway(ConnectionRequest unit, RefusalReason reason) {
        if (unit.needsPrimary) {
            unit.refuse(reason);
            return;
        }
        unit.triedInstanceIds.add(instance.instanceId());
        unit.lastQueueRefusal = reason;
        replace.accept(unit, RetryReason.WAIT_TOO_LONG);
    }

    private void takeOutLate() {
        for (SlotRequest late : scheduler.removeExpired(clock.instant())) {
            ConnectionRequest unit = waiting.remove(late.requestId());
            if (unit != null) {
                unit.cancelHandler = null;
                turnAway(unit, RefusalReason.WAIT_TOO_LONG);
            }
        }
    }

    private void startNext() {
        while (isReachable()) {
            Optional<SlotRequest> next = scheduler.poll(clock.instant());
            if (next.isEmpty()) {
                return;
            }
            ConnectionRequest unit = waiting.remove(next.get().requestId());
            if (unit == null || unit.ended) {
                scheduler.complete(next.get(), clock.instant());
                continue;
            }
            unit.cancelHandler = null;
            running.put(next.get().requestId(), next.get());
            start(next.get().requestId(), unit);
        }
    }

    private void start(long ticket, ConnectionRequest unit) {
        PooledConnection connection = connections.takeIdle(unit.values);
        if (connection != null) {
            hand(ticket, unit, connection);
            return;
        }
        connecting.put(ticket, unit);
        connections.open((opened, error) -> onConnected(ticket, opened, error));
    }

    private void hand(long ticket, ConnectionRequest unit, PooledConnection connection) {
        ConnectionLease lease = new ConnectionLease(this, ticket, connection);
        leases.put(ticket, lease);
        if (unit.ended) {
            lease.release();
        } else {
            unit.listener.onLease(lease);
        }
    }

    private void onConnected(long ticket, PooledConnection opened, Throwable error) {
        ConnectionRequest unit = connecting.remove(ticket);
        if (error == null && unit != null) {
            scheduler.resize(connections.room());
            hand(ticket, unit, opened);
            return;
        }
        freeSlot(ticket, false);
        if (error == null) {
            connections.keep(opened);
        }
        scheduler.resize(connections.room());
        if (error != null && unit != null) {
            if (!isReachable()) {
                unit.triedInstanceIds.add(instance.instanceId());
            }
            replace.accept(unit, RetryReason.CONNECT_FAILED);
        }
        if (isReachable()) {
            startNext();
        } else {
            moveWaiting();
        }
    }

    /** Has everything that waits, for its turn or for a connection, placed elsewhere. */
    private void moveWaiting() {
        List<ConnectionRequest> moved = new ArrayList<>(connecting.values());
        connecting.clear();
        List<ConnectionRequest> queued = List.copyOf(waiting.values());
        queued.forEach(unit -> {
            unit.cancelHandler.accept(unit);
            unit.cancelHandler = null;
        });
        moved.addAll(queued);
        moved.forEach(unit -> {
            unit.triedInstanceIds.add(instance.instanceId());
            replace.accept(unit, RetryReason.CONNECT_FAILED);
        });
    }
}
