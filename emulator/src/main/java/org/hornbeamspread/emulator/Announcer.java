package org.hornbeamspread.emulator;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.hornbeamspread.protocol.schema.Announce;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerTransport;

/**
 * Periodically pushes the database's announcement to every control endpoint and reconnects closed connections. Confined
 * to the decision thread.
 */
final class Announcer {
    private static final Duration INTERVAL = Duration.ofMillis(300);

    private final EventLoop eventLoop;
    private final PeerTransport transport;
    private final Supplier<Announce> announcement;
    private final Map<Endpoint, PeerConnection> connections = new HashMap<>();

    Announcer(EventLoop loop, PeerTransport transport, Supplier<Announce> announcement) {
        this.eventLoop = loop;
        this.transport = transport;
        this.announcement = announcement;
    }

    /** Starts periodic announcements to an endpoint. */
    void addEndpoint(Endpoint endpoint) {
        announce(endpoint);
    }

    /** Pushes an announcement immediately to every open connection. */
    void announceNow() {
        connections.values().forEach(this::push);
    }

    private void announce(Endpoint endpoint) {
        PeerConnection connection = connections.get(endpoint);
        if (connection != null && connection.isOpen()) {
            push(connection);
            eventLoop.schedule(INTERVAL, () -> announce(endpoint));
            return;
        }
        connections.remove(endpoint);
        transport
                .connect(endpoint, INTERVAL, (peer, request, answer) -> {})
                .whenComplete((opened, error) -> eventLoop.submit(() -> {
                    if (error == null) {
                        connections.put(endpoint, opened);
                        push(opened);
                    }
                    eventLoop.schedule(INTERVAL, () -> announce(endpoint));
                }));
    }

    private void push(PeerConnection connection) {
        connection.push(Envelope.newBuilder().setAnnounce(announcement.get()).build());
    }
}
