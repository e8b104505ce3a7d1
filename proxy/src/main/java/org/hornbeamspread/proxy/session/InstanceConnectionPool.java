package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.hornbeamspread.core.admission.AdaptiveConcurrencyLimit;
import org.hornbeamspread.core.admission.ConnectionShare;
import org.hornbeamspread.core.admission.RankScheduler;
import org.hornbeamspread.core.admission.SlotRequest;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.placement.Reachability;
import org.hornbeamspread.core.route.Caller;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.sql.SqlConnector;

/**
 * The pool of this proxy's connections to one instance, with the queue of requests that wait for a connection. A single
 * statement or a transaction requests one connection, and holds the connection from its first statement to its last.
 * {@link RankScheduler} decides which request gets the next connection. Confined to the engine's thread.
 */
final class InstanceConnectionPool {
    /** Weight of a new measurement in the moving average of service times. */
    private static final double SERVICE_TIME_WEIGHT = 0.1;

    private static final double INITIAL_SERVICE_TIME_MS = 10;

    /** Service times without a response on one connection until it counts as silent. */
    private static final double SILENT_SERVICE_TIMES = 10;

    private final DatabaseInstance instance;
    private final Clock clock;
    private final BiConsumer<ConnectionRequest, RetryReason> reroute;
    private final InstanceConnections connections;

    /** Queued requests by slot request id. A request gets a new id each time that it joins the queue of this pool. */
    private final Map<Long, ConnectionRequest> waitingRequests = new LinkedHashMap<>();

    /** Requests for which a connection is being opened, by slot request id. */
    private final Map<Long, ConnectionRequest> connectingRequests = new LinkedHashMap<>();

    private final Map<Long, SlotRequest> runningSlotRequests = new HashMap<>();
    private final Map<Long, ConnectionLease> leases = new HashMap<>();
    private final StatementLimiter limiter;
    private final RankScheduler scheduler;
    private long nextSlotRequestId;
    private double serviceMs = INITIAL_SERVICE_TIME_MS;
    private long laggingUntilMs;

    /**
     * Creates a pool without connections.
     *
     * @param share this proxy's share of the instance's connections
     * @param proxies number of proxies that share the database
     * @param reroute receives each request that must be routed again
     */
    InstanceConnectionPool(
            DatabaseInstance instance,
            ConnectionShare share,
            int proxies,
            SqlConnector connector,
            Clock clock,
            EventLog events,
            BiConsumer<ConnectionRequest, RetryReason> reroute) {
        this.instance = instance;
        this.clock = clock;
        this.reroute = reroute;
        this.connections =
                new InstanceConnections(instance, share, connector, clock, events, this::onConnectionsAvailable);
        this.limiter = new StatementLimiter(new AdaptiveConcurrencyLimit(instance.slots(), proxies), clock);
        this.scheduler = new RankScheduler(share.limit(), PriorityRanks.rankSettings(), clock.instant());
    }

    DatabaseInstance instance() {
        return instance;
    }

    StatementLimiter limiter() {
        return limiter;
    }

    /** Number of statements that wait or are in flight, plus the queued requests that have no connection yet. */
    int outstanding() {
        return waitingRequests.size() + limiter.outstanding();
    }

    double serviceMs() {
        return serviceMs;
    }

    /** Whether a connection of a caller's workspace is idle. */
    boolean hasIdleConnection(Caller caller) {
        return connections.hasIdle(caller);
    }

    boolean hasConnectFailed() {
        return connections.hasConnectFailed();
    }

    boolean isReachable() {
        return connections.isUsable();
    }

    /** Time without a response while requests to the instance are pending. */
    long silentMs() {
        return connections.silentMs();
    }

    /** Whether {@link #check} must be called again. */
    boolean needsCheck() {
        return !waitingRequests.isEmpty() || !runningSlotRequests.isEmpty() || connections.needsCheck();
    }

    /**
     * Applies the silence timeout, probes an instance that may be reachable again, and removes requests that can no longer
     * start in time.
     *
     * @param localPause whether this proxy itself was paused since the previous check
     */
    void check(boolean localPause) {
        if (localPause) {
            connections.onLocalPause();
            leases.values().forEach(lease -> lease.connection().onLocalPause());
        }
        if (connections.isSilenceTimeoutExceeded()) {
            onSilenceTimeout();
        }
        retryOnSilentConnections();
        removeExpired();
        connections.check(!waitingRequests.isEmpty());
    }

    /** Remaining time during which the instance is expected to lag behind the positions that reads require. */
    long laggingForMs() {
        return Math.max(0, laggingUntilMs - clock.millis());
    }

    void onLagging(long forMs) {
        laggingUntilMs = Math.max(laggingUntilMs, clock.millis() + forMs);
    }

    /** Records the duration of a statement, including the wait in the database's own queue. */
    void recordServiceTime(long elapsedMs) {
        serviceMs += SERVICE_TIME_WEIGHT * (elapsedMs - serviceMs);
    }

    /**
     * Handles a probe that got no response in time; true if the instance has responded on no other connection since, and is
     * therefore treated as unreachable.
     */
    boolean onProbeTimeout(PooledConnection probed) {
        boolean unreachable = connections.silentMs() >= probed.silentMs();
        if (unreachable) {
            onSilenceTimeout();
        } else {
            connections.closeUnproven(probed);
        }
        return unreachable;
    }

    /** Whether a connection is silent; the silence of the whole instance is checked apart. */
    boolean isSilent(PooledConnection connection) {
        return connection.silentMs() > Math.max(Reachability.SILENCE_TIMEOUT_MS, SILENT_SERVICE_TIMES * serviceMs);
    }

    void closeUnproven(PooledConnection silent) {
        connections.closeUnproven(silent);
    }

    /**
     * Discards connections that are silent while the instance responds on others, so that their repeatable statements are retried.
     * A statement that only waits for its turn at the database is told apart by the service times of the others, and one that is slow
     * by itself stays on the connection of its repetition.
     */
    private void retryOnSilentConnections() {
        List.copyOf(leases.values()).stream()
                .filter(lease -> lease.isRetryable() && !lease.isRepeated())
                .filter(lease -> isSilent(lease.connection()))
                .forEach(lease -> {
                    recordServiceTime(lease.connection().silentMs());
                    lease.discardUnanswered();
                });
    }

    /**
     * Handles a request on an open connection that got no response in time: idle connections are closed, waiting requests
     * are rerouted, and connections in use by repeatable statements are discarded, so that these are retried elsewhere.
     */
    void onSilenceTimeout() {
        connections.onSilenceTimeout();
        rerouteWaiting();
        List.copyOf(leases.values()).stream()
                .filter(ConnectionLease::isRetryable)
                .forEach(ConnectionLease::discard);
    }

    /** Applies new limits. Connections in use are kept. */
    void resize(ConnectionShare newShare, int proxies) {
        limiter.resize(instance.slots(), proxies);
        connections.resize(newShare);
        onConnectionsAvailable();
    }

    private void onConnectionsAvailable() {
        scheduler.resize(connections.usableConnections());
        startNext();
    }

    /** Queues a request. A request that cannot start in time is refused or rerouted at once. */
    void acquire(ConnectionRequest request) {
        enqueue(request);
        startNext();
    }

    void release(long slotRequestId, PooledConnection connection, boolean reusable) {
        leases.remove(slotRequestId);
        freeSlot(slotRequestId, reusable);
        if (reusable) {
            connections.putIdle(connection);
        } else {
            connections.discard(connection);
        }
        startNext();
    }

    /** Closes idle connections and reroutes every waiting request. Connections in use stay open. */
    void close() {
        connections.close();
        rerouteWaiting();
    }

    private void freeSlot(long slotRequestId, boolean completed) {
        SlotRequest slotRequest = runningSlotRequests.remove(slotRequestId);
        if (slotRequest == null) {
            return;
        }
        if (completed) {
            scheduler.complete(slotRequest, clock.instant());
        } else {
            scheduler.abandon(slotRequest, clock.instant());
        }
    }

    private void enqueue(ConnectionRequest request) {
        long slotRequestId = nextSlotRequestId++;
        SlotRequest slotRequest = new SlotRequest(
                slotRequestId,
                request.rank(),
                clock.instant(),
                Instant.ofEpochMilli(Math.max(request.startDeadlineMs, clock.millis() + 1)),
                request.share());
        Optional<FailureException> refusal = scheduler.offer(slotRequest);
        if (refusal.isPresent()) {
            refuseOrReroute(request, slotRequest, refusal.get());
            return;
        }
        waitingRequests.put(slotRequestId, request);
        request.cancelHandler = cancelled -> {
            waitingRequests.remove(slotRequestId);
            scheduler.cancel(slotRequest);
        };
        refuseRemoved(scheduler.removeDisplaced(), FailureType.QUEUE_FULL);
    }

    /** Reroutes a read, since another instance may have capacity; refuses a request that only the primary can run. */
    private void refuseOrReroute(ConnectionRequest request, SlotRequest slotRequest, FailureException refusal) {
        RefusalReason reason =
                refusal.type() == FailureType.QUEUE_FULL ? RefusalReason.QUEUE_FULL : RefusalReason.WAIT_TOO_LONG;
        request.onQueueRefusal(
                reason, refusal.retryAfter().orElse(Duration.ZERO), scheduler.serviceInterval(slotRequest));
        if (request.needsPrimary) {
            request.refuse(reason);
            return;
        }
        request.triedInstanceIds.add(instance.instanceId());
        reroute.accept(request, RetryReason.WAIT_TOO_LONG);
    }

    private void removeExpired() {
        refuseRemoved(scheduler.removeExpired(clock.instant()), FailureType.DEADLINE_BEFORE_START);
    }

    /** Refuses or reroutes requests that the scheduler has removed from the queue. */
    private void refuseRemoved(List<SlotRequest> removed, FailureType type) {
        for (SlotRequest slotRequest : removed) {
            ConnectionRequest request = waitingRequests.remove(slotRequest.requestId());
            if (request != null) {
                request.cancelHandler = null;
                refuseOrReroute(request, slotRequest, scheduler.refusal(slotRequest, type));
            }
        }
    }

    private void startNext() {
        while (isReachable()) {
            Optional<SlotRequest> next = scheduler.poll(clock.instant());
            if (next.isEmpty()) {
                return;
            }
            ConnectionRequest request = waitingRequests.remove(next.get().requestId());
            if (request == null || request.ended) {
                scheduler.complete(next.get(), clock.instant());
                continue;
            }
            request.cancelHandler = null;
            runningSlotRequests.put(next.get().requestId(), next.get());
            startRequest(next.get().requestId(), request);
        }
    }

    private void startRequest(long slotRequestId, ConnectionRequest request) {
        PooledConnection connection = connections.takeIdle(
                request.caller, request.values, request.connectionLost ? request.arrivedMs : Long.MIN_VALUE);
        if (connection != null) {
            grant(slotRequestId, request, connection);
            return;
        }
        connectingRequests.put(slotRequestId, request);
        connections.open(
                request.caller.orElse(Caller.ANONYMOUS), (opened, error) -> onConnected(slotRequestId, opened, error));
    }

    private void grant(long slotRequestId, ConnectionRequest request, PooledConnection connection) {
        ConnectionLease lease = new ConnectionLease(this, slotRequestId, connection, request.connectionLost);
        leases.put(slotRequestId, lease);
        if (request.ended) {
            lease.release();
        } else {
            request.listener.onLease(lease);
        }
    }

    private void onConnected(long slotRequestId, PooledConnection opened, Throwable error) {
        ConnectionRequest request = connectingRequests.remove(slotRequestId);
        if (error == null && request != null) {
            scheduler.resize(connections.usableConnections());
            grant(slotRequestId, request, opened);
            return;
        }
        freeSlot(slotRequestId, false);
        if (error == null) {
            connections.putIdle(opened);
        }
        scheduler.resize(connections.usableConnections());
        if (error != null && request != null) {
            if (!isReachable()) {
                request.triedInstanceIds.add(instance.instanceId());
            }
            reroute.accept(request, RetryReason.CONNECT_FAILED);
        }
        if (isReachable()) {
            startNext();
        } else {
            rerouteWaiting();
        }
    }

    /** Reroutes all requests that are queued or for which a connection is being opened. */
    private void rerouteWaiting() {
        List<ConnectionRequest> rerouted = new ArrayList<>(connectingRequests.values());
        connectingRequests.clear();
        List<ConnectionRequest> queued = List.copyOf(waitingRequests.values());
        queued.forEach(request -> {
            request.cancelHandler.accept(request);
            request.cancelHandler = null;
        });
        rerouted.addAll(queued);
        rerouted.forEach(request -> {
            request.triedInstanceIds.add(instance.instanceId());
            reroute.accept(request, RetryReason.CONNECT_FAILED);
        });
    }
}
