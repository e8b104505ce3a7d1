package org.hornbeamspread.control.consensus;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerTransport;

/**
 * The connections to the other members. A message to an unreachable member is dropped; the consensus node sends again
 * later. A few messages are queued while a connection is being opened, so that the first vote request is not lost. The transport
 * closes a connection whose peer is silent; the next message opens another. Used by the consensus thread; responses arrive on
 * network threads.
 */
final class PeerConnections {
    private static final int MAX_QUEUED_MESSAGES = 16;

    /** The shortest time between two attempts to connect to an endpoint, a tenth of the election timeout. */
    private static final long RECONNECT_DELAY_MS = 50;

    /** Spreads the attempts of members that lost their connections at the same moment. */
    private static final long RECONNECT_JITTER_MS = 50;

    private final PeerTransport transport;
    private final Clock clock;
    private final RandomGenerator random;
    private final Duration connectTimeout;
    private final Consumer<Envelope> onResponse;
    private final PeerConnectionTracker tracker;
    private final Map<Link, CompletableFuture<PeerConnection>> connections = new HashMap<>();

    /** The number of messages queued for each connection that is being opened. */
    private final Map<Link, Integer> queuedMessages = new HashMap<>();

    private final Map<Link, Long> nextConnectMs = new HashMap<>();

    PeerConnections(
            PeerTransport transport,
            Clock clock,
            RandomGenerator random,
            Duration connectTimeout,
            Consumer<Envelope> onResponse,
            PeerConnectionTracker tracker) {
        this.transport = transport;
        this.clock = clock;
        this.random = random;
        this.connectTimeout = connectTimeout;
        this.onResponse = onResponse;
        this.tracker = tracker;
    }

    /** Sends a request once the connection is open. */
    void send(Endpoint endpoint, Envelope request, Duration timeout) {
        Link link = new Link(endpoint, request.hasInstallSnapshot());
        CompletableFuture<PeerConnection> connection = connections.get(link);
        if (connection == null || isBroken(connection)) {
            long nowMs = clock.millis();
            if (nowMs < nextConnectMs.getOrDefault(link, nowMs)) {
                return;
            }
            nextConnectMs.put(link, nowMs + RECONNECT_DELAY_MS + random.nextLong(RECONNECT_JITTER_MS));
            connection = connect(link);
            connections.put(link, connection);
            queuedMessages.put(link, 0);
        }
        if (connection.isDone() || queuedMessages.merge(link, 1, Integer::sum) <= MAX_QUEUED_MESSAGES) {
            connection.thenAccept(open -> request(open, endpoint, request, timeout));
        }
    }

    void close() {
        tracker.onShutdown();
        connections.values().forEach(connection -> connection.thenAccept(PeerConnection::close));
        connections.clear();
    }

    private CompletableFuture<PeerConnection> connect(Link link) {
        PeerConnectionTracker.Attempt attempt = link.forSnapshots()
                ? tracker.onOpeningForSnapshots(link.endpoint())
                : tracker.onOpening(link.endpoint());
        CompletableFuture<PeerConnection> connection =
                transport.connect(link.endpoint(), connectTimeout, new TrackedHandler(attempt));
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

    /** A connection to a member. Snapshots have one of their own, so that heartbeats do not wait behind them on a slow link. */
    private record Link(Endpoint endpoint, boolean forSnapshots) {}

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
            if (connection.isSilent()) {
                attempt.onClosing(PeerConnectionTracker.ConnectionEnd.SILENT);
            }
            attempt.onClosed();
        }
    }
}
