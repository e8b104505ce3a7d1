package org.hornbeamspread.control.failover;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.ViewChanged;
import org.hornbeamspread.transport.PeerConnection;

/** Tells the proxies that renew here of each new version of the view, at most once an interval. Confined to one thread. */
final class VersionPusher {
    private static final Duration PUSH_INTERVAL = Duration.ofMillis(10);

    private final Clock clock;
    private final Map<String, PeerConnection> connections = new HashMap<>();

    /** No push to all before this time. */
    private Instant earliestNextPush = Instant.EPOCH;

    /** The version that all were last told of. */
    private long lastPushedVersion;

    VersionPusher(Clock clock) {
        this.clock = clock;
    }

    /** Tells a proxy from now on, over the connection that it last renewed on. */
    void register(String proxyId, PeerConnection connection) {
        connections.put(proxyId, connection);
    }

    /** Another leader's versions begin anew: all are to be told. */
    void reset() {
        lastPushedVersion = 0;
    }

    /** Forgets the proxies. */
    void clear() {
        connections.clear();
    }

    /** Tells all of a version, unless they know it or were told of another one just now. */
    void push(long version) {
        Instant now = clock.instant();
        if (version == lastPushedVersion || now.isBefore(earliestNextPush)) {
            return;
        }
        lastPushedVersion = version;
        earliestNextPush = now.plus(PUSH_INTERVAL);
        connections.values().removeIf(connection -> !connection.isOpen());
        connections.values().forEach(connection -> push(connection, version));
    }

    /** Tells one proxy of a version. */
    static void push(PeerConnection connection, long version) {
        connection.push(Envelope.newBuilder()
                .setViewChanged(ViewChanged.newBuilder().setViewVersion(version))
                .build());
    }
}
