package org.hornbeamspread.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * The session of one accepted connection. Database requests of a session are executed sequentially, in order of
 * arrival. Confined to the decision thread.
 */
final class ClientSession {
    private final Deque<Runnable> pendingRequests = new ArrayDeque<>();
    private boolean requestInProgress;
    private boolean countedAsConnection;
    private boolean connected;
    private boolean closed;

    /** Null while no transaction is open. */
    private DatabaseTransaction transaction;

    /**
     * Runs a request after all earlier requests complete. The request must call {@link #completeRequest} exactly once.
     */
    void submit(Runnable request) {
        if (requestInProgress) {
            pendingRequests.add(request);
        } else {
            requestInProgress = true;
            request.run();
        }
    }

    /** Ends the running request and starts the next pending one. */
    void completeRequest() {
        Runnable next = pendingRequests.poll();
        if (next == null) {
            requestInProgress = false;
        } else {
            next.run();
        }
    }

    /** Marks the session as counted in the number of database connections. */
    void markCounted() {
        countedAsConnection = true;
    }

    boolean isCounted() {
        return countedAsConnection;
    }

    /** Marks the session as connected, once the connect time has elapsed. */
    void markConnected() {
        connected = true;
    }

    /** Fails with INVALID_REQUEST until Connect has been answered. */
    void checkConnected() {
        if (!connected) {
            throw new FailureException(
                    FailureType.INVALID_REQUEST, "Connect must precede other requests on a connection");
        }
    }

    /** Discards the transaction. Pending requests are still started in order, and must check {@link #isClosed}. */
    void close() {
        closed = true;
        transaction = null;
    }

    boolean isClosed() {
        return closed;
    }

    /** Opens a transaction. Fails with INVALID_REQUEST if a transaction is already open. */
    void beginTransaction(DatabaseTransaction opened) {
        if (transaction != null) {
            throw new FailureException(FailureType.INVALID_REQUEST, "a transaction is already open on this connection");
        }
        transaction = opened;
    }

    /** The open transaction, if any. */
    Optional<DatabaseTransaction> transaction() {
        return Optional.ofNullable(transaction);
    }

    /** Removes and returns the open transaction. Fails with UNKNOWN_TRANSACTION if none is open. */
    DatabaseTransaction takeTransaction() {
        if (transaction == null) {
            throw new FailureException(FailureType.UNKNOWN_TRANSACTION, "no transaction is open on this connection");
        }
        DatabaseTransaction ended = transaction;
        transaction = null;
        return ended;
    }
}
