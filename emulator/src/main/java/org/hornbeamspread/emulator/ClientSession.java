package org.hornbeamspread.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/** One accepted connection. Its database requests run one after another, in order of arrival. Decision thread only. */
final class ClientSession {
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private boolean busy;
    private boolean counted;
    private boolean connected;
    private boolean closed;

    /** Null while no transaction is open. */
    private DatabaseTransaction transaction;

    /** Runs a request when the earlier ones are done; it must call {@link #done} once. */
    void submit(Runnable request) {
        if (busy) {
            waiting.add(request);
        } else {
            busy = true;
            request.run();
        }
    }

    /** The request at work is answered; the next one starts. */
    void done() {
        Runnable next = waiting.poll();
        if (next == null) {
            busy = false;
        } else {
            next.run();
        }
    }

    /** Counts the session as a database connection. */
    void count() {
        counted = true;
    }

    boolean isCounted() {
        return counted;
    }

    /** The connect time has passed. */
    void connect() {
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
    void begin(DatabaseTransaction opened) {
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
    DatabaseTransaction end() {
        if (transaction == null) {
            throw new FailureException(FailureType.UNKNOWN_TRANSACTION, "none on this connection");
        }
        DatabaseTransaction ended = transaction;
        transaction = null;
        return ended;
    }
}
