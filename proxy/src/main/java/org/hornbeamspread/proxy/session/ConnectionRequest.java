package org.hornbeamspread.proxy.session;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hornbeamspread.core.admission.WorkspaceShare;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.Caller;
import org.hornbeamspread.core.route.Route;

/** A request of a statement or a transaction for a connection to a database instance. */
final class ConnectionRequest {
    /** Receives the outcome of a connection request. */
    interface Listener {
        /** A connection has been leased. */
        void onLease(ConnectionLease lease);

        /** The request was refused; nothing ran on a database. */
        void onRefused(RefusalReason reason);
    }

    final long id;
    final String requestId;
    final Route route;

    /** On whose behalf the request is; empty for a request of the proxy itself, which may use the connection of any workspace. */
    final Optional<Caller> caller;

    final boolean needsPrimary;
    final LogPosition minPosition;
    final Map<String, String> values;
    final long arrivedMs;
    final long startDeadlineMs;
    final Listener listener;

    /** Instances on which the request has already failed. */
    final Set<String> triedInstanceIds = new HashSet<>();

    /** Position that the database's log must contain; absent if the request runs on a proven primary instead. */
    Optional<LogPosition> requiredPosition = Optional.empty();

    /** Why the last instance with a full queue or too long a wait refused the request; null if none did. */
    RefusalReason lastQueueRefusal;

    /** After what time the first of the instances that refused the request for their queues would accept it. */
    Optional<Duration> earliestReturn = Optional.empty();

    /** How many requests of the workspace those instances serve, together, for each nanosecond. */
    private double servedPerNs;

    /** Whether a connection that the request used was lost, or was closed because it was silent. */
    boolean connectionLost;

    /** Whether the request is for a write, or a transaction that may write. */
    boolean mayWrite;

    int attempts;
    boolean ended;

    /** Removes the request from the queue in which it waits; null while it waits in none. */
    Consumer<ConnectionRequest> cancelHandler;

    ConnectionRequest(
            long id,
            String requestId,
            Route route,
            Optional<Caller> caller,
            boolean needsPrimary,
            LogPosition minPosition,
            Map<String, String> values,
            long arrivedMs,
            long startDeadlineMs,
            Listener listener) {
        this.id = id;
        this.requestId = requestId;
        this.route = route;
        this.caller = caller;
        this.needsPrimary = needsPrimary;
        this.minPosition = minPosition;
        this.values = values;
        this.arrivedMs = arrivedMs;
        this.startDeadlineMs = startDeadlineMs;
        this.listener = listener;
    }

    String rank() {
        return PriorityRanks.rankName(route.priority());
    }

    /** The workspace for which the request competes with others for connections. */
    WorkspaceShare share() {
        return caller.map(known -> WorkspaceShare.of(known.workspace(), known.priority()))
                .orElse(WorkspaceShare.NONE);
    }

    /**
     * Records that an instance refused the request for its queue.
     *
     * @param retryAfter after what time the instance would accept the request
     * @param serviceInterval the time in which the instance serves one request of the workspace
     */
    void onQueueRefusal(RefusalReason reason, Duration retryAfter, Duration serviceInterval) {
        lastQueueRefusal = reason;
        earliestReturn = Optional.of(earliestReturn
                .filter(earliest -> earliest.compareTo(retryAfter) < 0)
                .orElse(retryAfter));
        servedPerNs += 1.0 / Math.max(1, serviceInterval.toNanos());
    }

    /** The time in which the instances that refused the request for their queues serve one of its workspace. */
    Duration serviceInterval() {
        return Duration.ofNanos(Math.round(1 / servedPerNs));
    }

    /** Drops what instances have reported of their queues, before the request is routed anew. */
    void clearQueueRefusals() {
        lastQueueRefusal = null;
        earliestReturn = Optional.empty();
        servedPerNs = 0;
    }

    void refuse(RefusalReason reason) {
        if (!ended) {
            ended = true;
            listener.onRefused(reason);
        }
    }

    /** Cancels the request, and removes it from its queue. */
    void cancel() {
        ended = true;
        if (cancelHandler != null) {
            cancelHandler.accept(this);
        }
    }
}
