package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.hornbeamspread.core.admission.AdaptiveConnectionLimit;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.placement.Reachability;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.sql.SqlConnector;

/**
 * This proxy's connections to one instance: how many there may be is decided by {@link AdaptiveConnectionLimit}, whether the instance
 * answers by {@link Reachability}. Connections that were not needed of late are closed: what an instance holds for a machine
 * that loses power takes the room of those that return. Used on the engine's thread.
 */
final class LinkConnections {
    /** Four round trips between regions and a connection's set-up at a busy database. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** A hundred times what a connection takes to be set up at a database. */
    private static final long IDLE_LIMIT_MS = 1_500;

    private final DatabaseInstance instance;
    private final SqlConnector connector;
    private final Clock clock;
    private final EventLog events;
    private final Runnable onRoom;
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    private final Reachability reachability = new Reachability();
    private final AdaptiveConnectionLimit room;
    private int limit;

    /** Open ones and those that are being opened. */
    private int connections;

    private int opening;
    private boolean closed;

    /** Whether the last attempt to connect failed for another reason than the database's limit of connections. */
    private boolean outOfReach;

    /**
     * No connections.
     *
     * @param onRoom called when a connection has come that nobody asked for, or room for one
     */
    LinkConnections(
            DatabaseInstance instance,
            int limit,
            SqlConnector connector,
            Clock clock,
            EventLog events,
            Runnable onRoom) {
        this.instance = instance;
        this.limit = limit;
        this.room = new AdaptiveConnectionLimit(limit);
        this.connector = connector;
        this.clock = clock;
        this.events = events;
        this.onRoom = onRoom;
    }

    boolean isOutOfReach() {
        return outOfReach;
    }

    /** Whether work may be sent there. */
    boolean isUsable() {
        return reachability.isReachable() && room.effectiveLimit() > 0;
    }

    /** For how long the instance has owed an answer without giving any. */
    long silentMs() {
        return reachability.silentMs(clock.millis());
    }

    /** Connections that work may use at once. */
    int room() {
        return Math.max(1, room.effectiveLimit());
    }

    /** Whether {@link #check} has something to look for. */
    boolean isWatched() {
        return idle.size() > 1 || !isUsable();
    }

    void resize(int newLimit) {
        limit = newLimit;
        room.resize(newLimit);
        while (connections > limit && !idle.isEmpty()) {
            discard(idle.removeLast());
        }
    }

    /** This proxy itself stood still. */
    void onOwnPause() {
        reachability.onLocalPause(clock.millis());
    }

    /** Whether the instance has just become silent for so long that it counts as lost. */
    boolean isSilenceOver() {
        return reachability.isSilenceTimeoutExceeded(clock.millis());
    }

    /** Nothing idle is trusted any more. */
    void onSilent() {
        long nowMs = clock.millis();
        onFailed(nowMs, new FailureException(FailureType.REQUEST_TIMEOUT, "silent"));
        closeIdle();
    }

    /** Closes what has not been needed, and asks for a connection on nobody's behalf where one may be had. */
    void check(boolean workWaits) {
        long nowMs = clock.millis();
        while (idle.size() > 1 && nowMs - idle.peekLast().idleSinceMs() > IDLE_LIMIT_MS) {
            discard(idle.removeLast());
        }
        if (closed || connections >= limit) {
            return;
        }
        boolean lost = reachability.isProbeDue(nowMs);
        boolean full =
                reachability.isReachable() && (workWaits || room.effectiveLimit() == 0) && room.isProbeDue(nowMs);
        if (lost || full) {
            ask();
        }
    }

    private void ask() {
        reachability.onProbeStarted();
        room.onProbeStarted();
        open((opened, error) -> {
            reachability.onProbeEnded();
            room.onProbeEnded();
            if (error == null) {
                keep(opened);
                onRoom.run();
            }
        });
    }

    /** Opens a connection. */
    void open(BiConsumer<PooledConnection, Throwable> end) {
        connections++;
        opening++;
        long beganMs = clock.millis();
        reachability.onRequestSent(beganMs);
        connector.connect(instance, CONNECT_TIMEOUT).whenComplete((opened, error) -> {
            opening--;
            if (error != null) {
                connections--;
                onRefused(beganMs, FailureException.of(error));
                end.accept(null, error);
                return;
            }
            reachability.onResponse(clock.millis());
            onReached();
            outOfReach = false;
            room.onOpened(held(), clock.millis());
            end.accept(new PooledConnection(opened, reachability, clock), null);
        });
    }

    /** An idle connection, one that holds a session's values before others; null when there is none. */
    PooledConnection takeIdle(Map<String, String> values) {
        List.copyOf(idle).stream().filter(connection -> !connection.isOpen()).forEach(connection -> {
            idle.remove(connection);
            connections--;
        });
        for (PooledConnection connection : idle) {
            if (connection.holds(values)) {
                idle.remove(connection);
                return connection;
            }
        }
        return idle.pollFirst();
    }

    /** Keeps a connection that stands outside of any transaction, unless it is one too many. */
    void keep(PooledConnection connection) {
        if (connection.isOpen() && !closed && connections <= limit) {
            connection.onIdle();
            idle.addFirst(connection);
        } else {
            discard(connection);
        }
    }

    /** Closes a connection. */
    void discard(PooledConnection connection) {
        connections--;
        connection.close();
    }

    /** Closes what is idle, and keeps nothing from now on. */
    void close() {
        closed = true;
        closeIdle();
    }

    private void closeIdle() {
        while (!idle.isEmpty()) {
            discard(idle.removeLast());
        }
    }

    private int held() {
        return connections - opening;
    }

    private void onRefused(long beganMs, FailureException failure) {
        if (failure.type() != FailureType.CONNECTION_LIMIT) {
            reachability.onRequestAbandoned();
            onFailed(beganMs, failure);
            return;
        }
        reachability.onResponse(clock.millis());
        onReached();
        outOfReach = false;
        if (room.onRefused(held(), beganMs, clock.millis())) {
            record("database_connection_limit", room.backoffMs(), failure);
        }
    }

    private void onReached() {
        if (reachability.onReached(clock.millis())) {
            events.record("database_regained", "instance", instance.instanceId());
        }
    }

    private void onFailed(long beganMs, FailureException failure) {
        outOfReach = true;
        if (reachability.onFailed(beganMs, clock.millis())) {
            record("database_lost", reachability.backoffMs(), failure);
        }
    }

    private void record(String event, long pauseMs, FailureException failure) {
        events.record(
                event,
                "instance",
                instance.instanceId(),
                "address",
                instance.address(),
                "connections",
                connections,
                "backoff_ms",
                pauseMs,
                "cause",
                failure.getMessage());
    }
}
