package org.hornbeamspread.proxy;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Connect;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerTransport;

/**
 * A pool of connections from this proxy to one database. The pool never exceeds the database's connection limit.
 *
 * <p>A connection has one user at a time. The user returns the connection by {@link #release} only if every response
 * on it has been read and no transaction is open. Otherwise {@link #discard} closes the connection, because a late
 * response or an open transaction would interfere with the work of the next user. Confined to the dispatcher's thread.
 */
final class ConnectionPool {
    private static final Duration OPEN_TIMEOUT = Duration.ofSeconds(1);

    private final Dispatcher dispatcher;
    private final PeerTransport transport;
    private final Endpoint endpoint;
    private final String clientId;
    private final int maxConnections;

    private final Deque<PeerConnection> idle = new ArrayDeque<>();
    private final Set<PeerConnection> inUse = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Deque<CompletableFuture<PeerConnection>> pendingAcquires = new ArrayDeque<>();
    private int openingCount;
    private boolean closed;

    ConnectionPool(
            Dispatcher dispatcher, PeerTransport transport, Endpoint endpoint, String clientId, int maxConnections) {
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.endpoint = endpoint;
        this.clientId = clientId;
        this.maxConnections = maxConnections;
    }

    /** Opens connections in advance, up to the given number or the connection limit. */
    void warmUp(int connections) {
        idle.removeIf(connection -> !connection.isOpen());
        while (!closed && openConnectionCount() + openingCount < Math.min(connections, maxConnections)) {
            openConnection();
        }
    }

    /**
     * Acquires a connection for one user. Fails with DATABASE_UNREACHABLE, CONNECTION_LIMIT, or WRONG_HOLDER after
     * the pool was closed; no request has been sent then.
     */
    CompletableFuture<PeerConnection> acquire() {
        CompletableFuture<PeerConnection> acquired = new CompletableFuture<>();
        if (closed) {
            acquired.completeExceptionally(
                    new FailureException(FailureType.WRONG_HOLDER, "this proxy no longer holds the database"));
            return acquired;
        }
        pendingAcquires.addLast(acquired);
        servePendingAcquires();
        return acquired;
    }

    /** Returns a connection that has no outstanding response and no open transaction. */
    void release(PeerConnection connection) {
        if (!inUse.remove(connection)) {
            return;
        }
        if (closed || !connection.isOpen()) {
            connection.close();
        } else {
            idle.addFirst(connection);
        }
        servePendingAcquires();
    }

    /** Closes a connection that may still receive a late response or have an open transaction. */
    void discard(PeerConnection connection) {
        connection.close();
        inUse.remove(connection);
        servePendingAcquires();
    }

    /** Closes the idle connections. */
    void closeIdle() {
        idle.forEach(PeerConnection::close);
        idle.clear();
    }

    /** Closes the idle connections and fails pending acquires. A connection in use is closed when it is returned. */
    void close() {
        closed = true;
        closeIdle();
        while (!pendingAcquires.isEmpty()) {
            pendingAcquires
                    .pollFirst()
                    .completeExceptionally(
                            new FailureException(FailureType.WRONG_HOLDER, "this proxy no longer holds the database"));
        }
    }

    /** The number of open connections, in use or idle. */
    int openConnectionCount() {
        return idle.size() + inUse.size();
    }

    private void servePendingAcquires() {
        while (!pendingAcquires.isEmpty() && !idle.isEmpty()) {
            PeerConnection connection = idle.pollFirst();
            if (connection.isOpen()) {
                inUse.add(connection);
                pendingAcquires.pollFirst().complete(connection);
            }
        }
        while (openingCount < pendingAcquires.size() && openConnectionCount() + openingCount < maxConnections) {
            openConnection();
        }
    }

    private void openConnection() {
        openingCount++;
        Futures.start(() -> transport.connect(endpoint, OPEN_TIMEOUT, new RejectingHandler()))
                .thenCompose(this::handshake)
                .whenCompleteAsync(
                        (connection, error) -> {
                            openingCount--;
                            onOpenCompleted(connection, error);
                        },
                        dispatcher);
    }

    private CompletableFuture<PeerConnection> handshake(PeerConnection connection) {
        Envelope connect = Envelope.newBuilder()
                .setConnect(Connect.newBuilder().setClientId(clientId))
                .build();
        return connection.request(connect, OPEN_TIMEOUT).handle((response, error) -> {
            if (error != null) {
                connection.close();
                throw FailureException.of(error);
            }
            return connection;
        });
    }

    private void onOpenCompleted(PeerConnection connection, Throwable error) {
        if (error != null) {
            if (!pendingAcquires.isEmpty()) {
                pendingAcquires.pollFirst().completeExceptionally(openFailure(FailureException.of(error)));
            }
        } else if (closed) {
            connection.close();
        } else {
            idle.addLast(connection);
        }
        servePendingAcquires();
    }

    private static FailureException openFailure(FailureException cause) {
        return cause.type() == FailureType.CONNECTION_LIMIT
                ? cause
                : new FailureException(FailureType.DATABASE_UNREACHABLE, cause.type() + " " + cause.detail());
    }

    /** Rejects requests from the database, which sends none and pushes nothing on these connections. */
    private static final class RejectingHandler implements PeerHandler {
        @Override
        public void onRequest(PeerConnection peer, Envelope request, Consumer<Envelope> answer) {
            answer.accept(Envelopes.failureEnvelope(new FailureException(
                    FailureType.UNKNOWN_METHOD, request.getBodyCase().name())));
        }
    }
}
