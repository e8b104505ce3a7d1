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

/** Pushes the database's announcement to every control endpoint, and reconnects to it when needed. Decision thread only. */
final class Announcer {
    private static final Duration INTERVAL = Duration.ofMillis(300);

    private final DecisionLoop loop;
    private final PeerTransport transport;
    private final Supplier<Announce> announcement;
    private final Map<Endpoint, PeerConnection> open = new HashMap<>();

    Announcer(DecisionLoop loop, PeerTransport transport, Supplier<Announce> announcement) {
        this.loop = loop;
        this.transport = transport;
        this.announcement = announcement;
    }

    /** Announces to an endpoint from now on. */
    void start(Endpoint endpoint) {
        announce(endpoint);
    }

    /** Announces at once to every open connection. */
    void announceNow() {
        open.values().forEach(this::push);
    }

    private void announce(Endpoint endpoint) {
        PeerConnection connection = open.get(endpoint);
        if (connection != null && connection.isOpen()) {
            push(connection);
            loop.after(INTERVAL, () -> announce(endpoint));
            return;
        }
        open.remove(endpoint);
        transport
                .connect(endpoint, INTERVAL, (peer, request, answer) -> {})
                .whenComplete((opened, error) -> loop.submit(() -> {
                    if (error == null) {
                        open.put(endpoint, opened);
                        push(opened);
                    }
                    loop.after(INTERVAL, () -> announce(endpoint));
                }));
    }

    private void push(PeerConnection connection) {
        connection.push(Envelope.newBuilder().setAnnounce(announcement.get()).build());
    }
}
