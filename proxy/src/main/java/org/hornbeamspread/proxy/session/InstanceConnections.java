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
final class InstanceConnections {
    /** Four round trips between regions and a connection's set-up at a busy database. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** A hundred times what a connection takes to be set up at a database. */
    private static final long IDLE_TIMEOUT_MS = 1_500;

    private final DatabaseInstance instance;
    private final SqlConnector connector;
    private final Clock clock;
    private final EventLog events;
    private final Runnable onConnectionsAvailable;
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    private final Reachability reachability = new Reachability();
    private final AdaptiveConnectionLimit adaptiveLimit;
    private int configuredLimit;

    /** Open ones and those that are being opened. */
    private int connectionCount;

    private int openingCount;
    private boolean closed;

    /** Whether the last attempt to connect failed for another reason than the database's limit of connections. */
    private boolean connectFailed;

    /**
     * No connections.
     *
     * @param onRoom called when a connection has come that nobody asked for, or room for one
     */
    InstanceConnections(
            DatabaseInstance instance,
            int limit,
            SqlConnector connector,
            Clock clock,
            EventLog events,
            Runnable onRoom) {
        this.instance = instance;
        this.configuredLimit = limit;
        this.adaptiveLimit = new AdaptiveConnectionLimit(limit);
        this.connector = connector;
        this.clock = clock;
        this.events = events;
        this.onConnectionsAvailable = onRoom;
    }

    boolean hasConnectFailed() {
        return connectFailed;
    }

    /** Whether work may be sent there. */
    boolean isUsable() {
        return reachability.isReachable() && adaptiveLimit.effectiveLimit() > 0;
    }

    /** For how long the instance has owed an answer without giving any. */
    long silentMs() {
        return reachability.silentMs(clock.millis());
    }

    /** Connections that work may use at once. */
    int usableConnections() {
        return Math.max(1, adaptiveLimit.effectiveLimit());
    }

    /** Whether {@link #check} has something to look for. */
    boolean needsCheck() {
        return idle.size() > 1 || !isUsable();
    }

    void resize(int newLimit) {
        configuredLimit = newLimit;
        adaptiveLimit.resize(newLimit);
        while (connectionCount > configuredLimit && !idle.isEmpty()) {
            discard(idle.removeLast());
        }
    }

    /** This proxy itself stood still. */
    void onLocalPause() {
        reachability.onLocalPause(clock.millis());
    }

    /** Whether the instance has just become silent for so long that it counts as lost. */
    boolean isSilenceTimeoutExceeded() {
        return reachability.isSilenceTimeoutExceeded(clock.millis());
    }

    /** Nothing idle is trusted any more. */
    void onSilenceTimeout() {
        long nowMs = clock.millis();
        onFailure(nowMs, new FailureException(FailureType.REQUEST_TIMEOUT, "silent"));
        closeIdle();
    }

    /** Closes what has not been needed, and asks for a connection on nobody's behalf where one may be had. */
    void check(boolean workWaits) {
        long nowMs = clock.millis();
        while (idle.size() > 1 && nowMs - idle.peekLast().idleSinceMs() > IDLE_TIMEOUT_MS) {
            discard(idle.removeLast());
        }
        if (closed || connectionCount >= configuredLimit) {
            return;
        }
        boolean lost = reachability.isProbeDue(nowMs);
        boolean full = reachability.isReachable()
                && (workWaits || adaptiveLimit.effectiveLimit() == 0)
                && adaptiveLimit.isProbeDue(nowMs);
        if (lost || full) {
            probe();
        }
    }

    private void probe() {
        reachability.onProbeStarted();
        adaptiveLimit.onProbeStarted();
        open((opened, error) -> {
            reachability.onProbeEnded();
            adaptiveLimit.onProbeEnded();
            if (error == null) {
                putIdle(opened);
                onConnectionsAvailable.run();
            }
        });
    }

    /** Opens a connection. */
    void open(BiConsumer<PooledConnection, Throwable> end) {
        connectionCount++;
        openingCount++;
        long beganMs = clock.millis();
        reachability.onRequestSent(beganMs);
        connector.connect(instance, CONNECT_TIMEOUT).whenComplete((opened, error) -> {
            openingCount--;
            if (error != null) {
                connectionCount--;
                onConnectError(beganMs, FailureException.of(error));
                end.accept(null, error);
                return;
            }
            reachability.onResponse(clock.millis());
            onReached();
            connectFailed = false;
            adaptiveLimit.onOpened(openCount(), clock.millis());
            end.accept(new PooledConnection(opened, reachability, clock), null);
        });
    }

    /** An idle connection, one that holds a session's values before others; null when there is none. */
    PooledConnection takeIdle(Map<String, String> values) {
        List.copyOf(idle).stream().filter(connection -> !connection.isOpen()).forEach(connection -> {
            idle.remove(connection);
            connectionCount--;
        });
        for (PooledConnection connection : idle) {
            if (connection.hasValues(values)) {
                idle.remove(connection);
                return connection;
            }
        }
        return idle.pollFirst();
    }

    /** Keeps a connection that stands outside of any transaction, unless it is one too many. */
    void putIdle(PooledConnection connection) {
        if (connection.isOpen() && !closed && connectionCount <= configuredLimit) {
            connection.onIdle();
            idle.addFirst(connection);
        } else {
            discard(connection);
        }
    }

    /** Closes a connection. */
    void discard(PooledConnection connection) {
        connectionCount--;
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

    private int openCount() {
        return connectionCount - openingCount;
    }

    private void onConnectError(long beganMs, FailureException failure) {
        if (failure.type() != FailureType.CONNECTION_LIMIT) {
            reachability.onRequestAbandoned();
            onFailure(beganMs, failure);
            return;
        }
        reachability.onResponse(clock.millis());
        onReached();
        connectFailed = false;
        if (adaptiveLimit.onRefused(openCount(), beganMs, clock.millis())) {
            record("database_connection_limit", adaptiveLimit.backoffMs(), failure);
        }
    }

    private void onReached() {
        if (reachability.onReached(clock.millis())) {
            events.record("database_regained", "instance", instance.instanceId());
        }
    }

    private void onFailure(long beganMs, FailureException failure) {
        connectFailed = true;
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
                connectionCount,
                "backoff_ms",
                pauseMs,
                "cause",
                failure.getMessage());
    }
}
