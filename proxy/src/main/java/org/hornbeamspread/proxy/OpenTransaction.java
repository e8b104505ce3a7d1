package org.hornbeamspread.proxy;

import java.time.Instant;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.transport.PeerConnection;

/** An interactive transaction and its pinned connection. Confined to the dispatcher's thread. */
final class OpenTransaction {
    private final TransactionId id;
    private final GroupView group;
    private final HeldDatabase database;
    private final PeerConnection connection;
    private final boolean readOnly;
    private final String rank;
    private final String callerId;
    private final int timeoutMs;

    /** Whether a request of this transaction is in progress; no other request may use the connection meanwhile. */
    private boolean busy;

    private Instant lastUsedAt;

    OpenTransaction(
            TransactionId id,
            GroupView group,
            HeldDatabase database,
            PeerConnection connection,
            boolean readOnly,
            RequestContext context,
            int timeoutMs,
            Instant now) {
        this.id = id;
        this.group = group;
        this.database = database;
        this.connection = connection;
        this.readOnly = readOnly;
        this.rank = context.rank();
        this.callerId = context.callerId();
        this.timeoutMs = timeoutMs;
        this.lastUsedAt = now;
    }

    TransactionId id() {
        return id;
    }

    /** The group in the view that was current when the transaction began. */
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

    /** Reserves the connection for one request; a request without a timeout gets the transaction's timeout. */
    RequestContext beginRequest(Instant now, int requestTimeoutMs) {
        busy = true;
        lastUsedAt = now;
        int effectiveTimeoutMs = requestTimeoutMs > 0 ? requestTimeoutMs : timeoutMs;
        return new RequestContext(rank, callerId, now.plusMillis(effectiveTimeoutMs));
    }

    /** Makes the connection available for the next request of this transaction. */
    void endRequest(Instant now) {
        busy = false;
        lastUsedAt = now;
    }
}
