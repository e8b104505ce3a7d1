package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.hornbeamspread.core.admission.AdaptiveConnectionLimit;
import org.hornbeamspread.core.admission.ConnectionShare;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.placement.Reachability;
import org.hornbeamspread.core.route.Caller;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.sql.SqlConnector;

/**
 * This proxy's connections to one instance. {@link ConnectionShare} and {@link AdaptiveConnectionLimit} limit their number;
 * {@link Reachability} detects whether the instance responds. Connections that have been idle for some time are closed, except
 * for one where the share retains it: other proxies may need them, and when a machine loses power, the instance still holds
 * that machine's connections for a while. Confined to the engine's thread.
 */
final class InstanceConnections {
    /** Four round trips between regions, and the set-up of a connection at a busy database. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final DatabaseInstance instance;
    private final SqlConnector connector;
    private final Clock clock;
    private final EventLog events;
    private final Runnable onConnectionsAvailable;
    private final Deque<PooledConnection> idle = new ArrayDeque<>();
    private final Reachability reachability = new Reachability();
    private final AdaptiveConnectionLimit adaptiveLimit;
    private ConnectionShare share;

    /** Open connections and connections that are being opened. */
    private int connectionCount;

    private int openingCount;
    private boolean closed;

    /**
     * Whether the last connection attempt failed for a reason other than the database's connection limit, or the silence timeout
     * was exceeded since.
     */
    private boolean connectFailed;

    /**
     * Creates an instance without open connections.
     *
     * @param onConnectionsAvailable called after a probe has opened a connection that no statement requested
     */
    InstanceConnections(
            DatabaseInstance instance,
            ConnectionShare share,
            SqlConnector connector,
            Clock clock,
            EventLog events,
            Runnable onConnectionsAvailable) {
        this.instance = instance;
        this.share = share;
        this.adaptiveLimit = new AdaptiveConnectionLimit(share.limit());
        this.connector = connector;
        this.clock = clock;
        this.events = events;
        this.onConnectionsAvailable = onConnectionsAvailable;
    }

    boolean hasConnectFailed() {
        return connectFailed;
    }

    /** Whether connections to the instance may be leased. */
    boolean isUsable() {
        return reachability.isReachable() && adaptiveLimit.effectiveLimit() > 0;
    }

    /** Time without a response while requests to the instance are pending. */
    long silentMs() {
        return reachability.silentMs(clock.millis());
    }

    /** Number of connections that may be in use at once; at least one. */
    int usableConnections() {
        return Math.max(1, adaptiveLimit.effectiveLimit());
    }

    /** Whether {@link #check} must be called again. */
    boolean needsCheck() {
        return idle.size() > retainedConnections() || !isUsable();
    }

    void resize(ConnectionShare newShare) {
        share = newShare;
        adaptiveLimit.resize(newShare.limit());
        while (connectionCount > share.limit() && !idle.isEmpty()) {
            discard(idle.removeLast());
        }
    }

    /** Records a pause of this proxy itself. */
    void onLocalPause() {
        reachability.onLocalPause(clock.millis());
    }

    /** Whether a reachable instance has been silent for so long that it must be treated as unreachable. */
    boolean isSilenceTimeoutExceeded() {
        return reachability.isSilenceTimeoutExceeded(clock.millis());
    }

    /** Marks the instance unreachable and closes the idle connections, which may be broken. */
    void onSilenceTimeout() {
        long nowMs = clock.millis();
        onFailure(nowMs, new FailureException(FailureType.REQUEST_TIMEOUT, "silent"));
        closeIdle();
    }

    /**
     * Closes the idle connections that have responded neither lately nor since a connection went silent: when the network drops the
     * bytes of one open connection, it often drops those of all.
     */
    void closeUnproven(PooledConnection silent) {
        long silentMs = silent.silentMs();
        long silentSinceMs = clock.millis() - silentMs;
        List<PooledConnection> unproven = idle.stream()
                .filter(connection -> !connection.isProven() && connection.lastResponseAtMs() <= silentSinceMs)
                .toList();
        idle.removeAll(unproven);
        unproven.forEach(this::discard);
        events.record(
                "database_connection_silent",
                "instance",
                instance.instanceId(),
                "silent_ms",
                silentMs,
                "idle_closed",
                unproven.size(),
                "connections",
                connectionCount);
    }

    /**
     * Closes connections past the idle timeout, except for a retained one, and probes the instance when a probe is due: a connection attempt
     * that no request waits for.
     *
     * @param requestsWaiting whether requests wait for a connection
     */
    void check(boolean requestsWaiting) {
        long nowMs = clock.millis();
        while (idle.size() > retainedConnections() && nowMs - idle.peekLast().idleSinceMs() > share.idleTimeoutMs()) {
            discard(idle.removeLast());
        }
        if (closed || connectionCount >= share.limit()) {
            return;
        }
        boolean reachabilityProbeDue = reachability.isProbeDue(nowMs);
        boolean limitProbeDue = reachability.isReachable()
                && (requestsWaiting || adaptiveLimit.effectiveLimit() == 0)
                && adaptiveLimit.isProbeDue(nowMs);
        if (reachabilityProbeDue || limitProbeDue) {
            probe();
        }
    }

    private void probe() {
        reachability.onProbeStarted();
        adaptiveLimit.onProbeStarted();
        open(Caller.ANONYMOUS, (opened, error) -> {
            reachability.onProbeEnded();
            adaptiveLimit.onProbeEnded();
            if (error == null) {
                putIdle(opened);
                onConnectionsAvailable.run();
            }
        });
    }

    /**
     * Opens a connection.
     *
     * @param caller on whose behalf all its statements run
     */
    void open(Caller caller, BiConsumer<PooledConnection, Throwable> callback) {
        connectionCount++;
        openingCount++;
        long startedAtMs = clock.millis();
        reachability.onRequestSent(startedAtMs);
        connector.connect(instance, caller, CONNECT_TIMEOUT).whenComplete((opened, error) -> {
            openingCount--;
            if (error != null) {
                connectionCount--;
                onConnectError(startedAtMs, FailureException.of(error));
                callback.accept(null, error);
                return;
            }
            reachability.onResponse(clock.millis());
            onReached();
            connectFailed = false;
            adaptiveLimit.onOpened(openCount(), clock.millis());
            callback.accept(new PooledConnection(opened, caller, reachability, clock), null);
        });
    }

    /**
     * Takes an idle connection, preferably one that already has the session's values; null when none is idle.
     *
     * @param caller the caller whose workspace the connection must belong to; empty if any will do
     * @param responseSinceMs the connection must have responded since this time, so that a request that met a silent connection does
     *     not meet another
     */
    PooledConnection takeIdle(Optional<Caller> caller, Map<String, String> values, long responseSinceMs) {
        List.copyOf(idle).stream().filter(connection -> !connection.isOpen()).forEach(connection -> {
            idle.remove(connection);
            connectionCount--;
        });
        List<PooledConnection> usable = idle.stream()
                .filter(connection -> connection.lastResponseAtMs() >= responseSinceMs)
                .filter(connection -> caller.isEmpty() || connection.serves(caller.get()))
                .toList();
        if (usable.isEmpty()) {
            if (!idle.isEmpty() && connectionCount >= usableConnections()) {
                PooledConnection evicted = IdleConnectionEviction.select(idle);
                idle.remove(evicted);
                discard(evicted);
            }
            return null;
        }
        PooledConnection taken = usable.stream()
                .filter(connection -> connection.hasValues(values))
                .findFirst()
                .orElseGet(() -> usable.get(0));
        idle.remove(taken);
        return taken;
    }

    /** Whether an open connection of a caller's workspace is idle. */
    boolean hasIdle(Caller caller) {
        return idle.stream().anyMatch(connection -> connection.isOpen() && connection.serves(caller));
    }

    /** Adds a connection outside of any transaction to the idle ones, or closes one above the limit or with large session values. */
    void putIdle(PooledConnection connection) {
        boolean keep = connection.isOpen() && !connection.hasLargeValues();
        if (keep && !closed && connectionCount <= share.limit()) {
            connection.onIdle();
            idle.addFirst(connection);
        } else {
            discard(connection);
        }
    }

    void discard(PooledConnection connection) {
        connectionCount--;
        connection.close();
    }

    /** Closes the idle connections; connections returned later are closed at once. */
    void close() {
        closed = true;
        closeIdle();
    }

    private void closeIdle() {
        while (!idle.isEmpty()) {
            discard(idle.removeLast());
        }
    }

    private int retainedConnections() {
        return share.retainsIdle() ? 1 : 0;
    }

    private int openCount() {
        return connectionCount - openingCount;
    }

    private void onConnectError(long startedAtMs, FailureException failure) {
        if (failure.type() != FailureType.CONNECTION_LIMIT) {
            reachability.onRequestAbandoned();
            onFailure(startedAtMs, failure);
            return;
        }
        reachability.onResponse(clock.millis());
        onReached();
        connectFailed = false;
        if (adaptiveLimit.onRefused(openCount(), startedAtMs, clock.millis())) {
            record("database_connection_limit", adaptiveLimit.backoffMs(), failure);
        }
    }

    private void onReached() {
        if (reachability.onReached(clock.millis())) {
            events.record("database_regained", "instance", instance.instanceId());
        }
    }

    private void onFailure(long startedAtMs, FailureException failure) {
        connectFailed = true;
        if (reachability.onFailed(startedAtMs, clock.millis())) {
            record("database_lost", reachability.backoffMs(), failure);
        }
    }

    private void record(String event, long backoffMs, FailureException failure) {
        events.record(
                event,
                "instance",
                instance.instanceId(),
                "address",
                instance.address(),
                "connections",
                connectionCount,
                "backoff_ms",
                backoffMs,
                "cause",
                failure.getMessage());
    }
}
