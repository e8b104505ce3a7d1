package org.hornbeamspread.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/** One accepted connection. Its database requests run one after another, in order of arrival. Decision thread only. */
final class ClientSession {
    private final Deque<Runnable> pendingRequests = new ArrayDeque<>();
    private boolean requestInProgress;
    private boolean countedAsConnection;
    private boolean connected;
    private boolean closed;

    /** Null while no transaction is open. */
    private DatabaseTransaction transaction;

    /** Runs a request when the earlier ones are done; it must call {@link #completeRequest} once. */
    void submit(Runnable request) {
        if (requestInProgress) {
            pendingRequests.add(request);
        } else {
            requestInProgress = true;
            request.run();
        }
    }

    /** The request at work is answered; the next one starts. */
    void completeRequest() {
        Runnable next = pendingRequests.poll();
        if (next == null) {
            requestInProgress = false;
        } else {
            next.run();
        }
    }

    /** Counts the session as a database connection. */
    void markCounted() {
        countedAsConnection = true;
    }

    boolean isCounted() {
        return countedAsConnection;
    }

    /** The connect time has passed. */
    void markConnected() {
        connected = true;
    }

    /** Fails with INVALID_REQUEST before Connect was answered. */
    void checkConnected() {
        if (!connected) {
            throw new FailureException(FailureType.INVALID_REQUEST, "Connect comes first");
        }
    }

    /** Drops the transaction. What waits is started in turn and finds the session closed. */
    void close() {
        closed = true;
        transaction = null;
    }

    boolean isClosed() {
        return closed;
    }

    /** Opens a transaction. Fails with INVALID_REQUEST when one is open. */
    void beginTransaction(DatabaseTransaction opened) {
        if (transaction != null) {
            throw new FailureException(FailureType.INVALID_REQUEST, "a transaction is open on this connection");
        }
        transaction = opened;
    }

    /** The open transaction. */
    Optional<DatabaseTransaction> transaction() {
        return Optional.ofNullable(transaction);
    }

    /** Takes the open transaction out. Fails with UNKNOWN_TRANSACTION. */
    DatabaseTransaction takeTransaction() {
        if (transaction == null) {
            throw new FailureException(FailureType.UNKNOWN_TRANSACTION, "none on this connection");
        }
        DatabaseTransaction ended = transaction;
        transaction = null;
        return ended;
    }
}
