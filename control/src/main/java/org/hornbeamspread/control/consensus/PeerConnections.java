package org.hornbeamspread.control.consensus;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerTransport;

/**
 * The connections to the other members. A message to an unreachable member is dropped; the consensus node sends again
 * later. A few messages are queued while a connection is being opened, so that the first vote request is not lost. Used
 * by the consensus thread; responses arrive on network threads.
 */
final class PeerConnections {
    private static final int MAX_QUEUED_MESSAGES = 16;

    private final PeerTransport transport;
    private final Duration connectTimeout;
    private final Consumer<Envelope> onResponse;
    private final PeerConnectionTracker tracker;
    private final Map<Endpoint, CompletableFuture<PeerConnection>> connections = new HashMap<>();

    /** The number of messages queued for each connection that is being opened. */
    private final Map<Endpoint, Integer> queuedMessages = new HashMap<>();

    PeerConnections(
            PeerTransport transport,
            Duration connectTimeout,
            Consumer<Envelope> onResponse,
            PeerConnectionTracker tracker) {
        this.transport = transport;
        this.connectTimeout = connectTimeout;
        this.onResponse = onResponse;
        this.tracker = tracker;
    }

    /** Sends a request once the connection is open. */
    void send(Endpoint endpoint, Envelope request, Duration timeout) {
        CompletableFuture<PeerConnection> connection = connections.get(endpoint);
        if (connection == null || isBroken(connection)) {
            connection = connect(endpoint);
            connections.put(endpoint, connection);
            queuedMessages.put(endpoint, 0);
        }
        if (connection.isDone() || queuedMessages.merge(endpoint, 1, Integer::sum) <= MAX_QUEUED_MESSAGES) {
            connection.thenAccept(open -> request(open, endpoint, request, timeout));
        }
    }

    void close() {
        tracker.onShutdown();
        connections.values().forEach(connection -> connection.thenAccept(PeerConnection::close));
        connections.clear();
    }

    private CompletableFuture<PeerConnection> connect(Endpoint endpoint) {
        PeerConnectionTracker.Attempt attempt = tracker.onOpening(endpoint);
        CompletableFuture<PeerConnection> connection =
                transport.connect(endpoint, connectTimeout, new TrackedHandler(attempt));
        connection.whenComplete((open, error) -> {
            if (error != null) {
                attempt.onOpenFailed(FailureException.of(error));
            }
        });
        return connection;
    }

    private void request(PeerConnection connection, Endpoint endpoint, Envelope request, Duration timeout) {
        CompletableFuture<Envelope> response = connection.request(request, timeout);
        response.thenAccept(onResponse);
        response.whenComplete((envelope, error) -> {
            if (error != null) {
                tracker.onUnanswered(endpoint, FailureException.of(error));
            }
        });
    }

    private static boolean isBroken(CompletableFuture<PeerConnection> connection) {
        return connection.isCompletedExceptionally()
                || (connection.isDone() && !connection.join().isOpen());
    }

    /** Reports the life of a connection, and closes one on which the peer sends a request. */
    private record TrackedHandler(PeerConnectionTracker.Attempt attempt) implements PeerHandler {
        @Override
        public void onRequest(PeerConnection connection, Envelope unexpected, Consumer<Envelope> replyCallback) {
            attempt.onClosing(PeerConnectionTracker.ConnectionEnd.UNEXPECTED_REQUEST);
            connection.close();
        }

        @Override
        public void onOpen(PeerConnection connection) {
            attempt.onOpened();
        }

        @Override
        public void onClose(PeerConnection connection) {
            attempt.onClosed();
        }
    }
}
