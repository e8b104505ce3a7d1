package org.hornbeamspread.proxy;

import java.time.Instant;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.transport.PeerConnection;

/** An interactive transaction and the connection that is pinned to it. Owned by the dispatcher's thread. */
final class OpenTransaction {
    private final TransactionId id;
    private final GroupView group;
    private final HeldDatabase database;
    private final PeerConnection connection;
    private final boolean readOnly;
    private final String rank;
    private final String callerId;
    private final int timeoutMs;

    /** A request of it is in progress; no other may use the connection. */
    private boolean busy;

    private Instant lastUsedAt;

    OpenTransaction(
            TransactionId id,
            GroupView group,
            HeldDatabase database,
            PeerConnection connection,
            boolean readOnly,
            WorkOrder order,
            int timeoutMs,
            Instant now) {
        this.id = id;
        this.group = group;
        this.database = database;
        this.connection = connection;
        this.readOnly = readOnly;
        this.rank = order.rank();
        this.callerId = order.callerId();
        this.timeoutMs = timeoutMs;
        this.lastUsedAt = now;
    }

    TransactionId id() {
        return id;
    }

    /** The group as of the view that the transaction began under. */
    GroupView group() {
        return group;
    }

    HeldDatabase database() {
        return database;
    }

    PeerConnection connection() {
        return connection;
    }

    boolean readOnly() {
        return readOnly;
    }

    boolean isBusy() {
        return busy;
    }

    Instant lastUsedAt() {
        return lastUsedAt;
    }

    /** Takes the connection for one request. */
    WorkOrder beginRequest(Instant now, int requestTimeoutMs) {
        busy = true;
        lastUsedAt = now;
        int limitMs = requestTimeoutMs > 0 ? requestTimeoutMs : timeoutMs;
        return new WorkOrder(rank, callerId, now.plusMillis(limitMs));
    }

    /** The request has ended. */
    void endRequest(Instant now) {
        busy = false;
        lastUsedAt = now;
    }
}
