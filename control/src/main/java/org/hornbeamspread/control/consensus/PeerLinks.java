package org.hornbeamspread.control.consensus;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerTransport;

/**
 * The connections to the other members. A message to a member that can't be reached is dropped; the decision sends
 * again in time. Used by the consensus thread; answers come on network threads.
 */
final class PeerLinks {
    private final PeerTransport transport;
    private final Duration connectTimeout;
    private final Consumer<Envelope> onAnswer;
    private final Map<Endpoint, CompletableFuture<PeerConnection>> connections = new HashMap<>();

    PeerLinks(PeerTransport transport, Duration connectTimeout, Consumer<Envelope> onAnswer) {
        this.transport = transport;
        this.connectTimeout = connectTimeout;
        this.onAnswer = onAnswer;
    }

    /** Sends, or opens the connection for a later message. */
    void send(Endpoint endpoint, Envelope request, Duration timeout) {
        CompletableFuture<PeerConnection> connection = connections.get(endpoint);
        if (connection == null || isBroken(connection)) {
            connection = transport.connect(endpoint, connectTimeout, (peer, unexpected, answer) -> peer.close());
            connections.put(endpoint, connection);
        }
        if (connection.isDone() && !isBroken(connection)) {
            connection.join().request(request, timeout).thenAccept(onAnswer);
        }
    }

    void close() {
        connections.values().forEach(connection -> connection.thenAccept(PeerConnection::close));
        connections.clear();
    }

    private static boolean isBroken(CompletableFuture<PeerConnection> connection) {
        return connection.isCompletedExceptionally()
                || (connection.isDone() && !connection.join().isOpen());
    }
}
