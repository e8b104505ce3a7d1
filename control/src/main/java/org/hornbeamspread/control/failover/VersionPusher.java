package org.hornbeamspread.control.failover;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.ViewChanged;
import org.hornbeamspread.transport.PeerConnection;

/**
 * Pushes new versions of the view to the proxies that renew their leases at this leader, at most once per interval.
 * Confined to one thread.
 */
final class VersionPusher {
    private static final Duration PUSH_INTERVAL = Duration.ofMillis(10);

    private final Clock clock;
    private final Map<String, PeerConnection> connections = new HashMap<>();

    /** No version is pushed to all proxies before this time. */
    private Instant earliestNextPush = Instant.EPOCH;

    /** The version that was last pushed to all proxies. */
    private long lastPushedVersion;

    VersionPusher(Clock clock) {
        this.clock = clock;
    }

    /** Adds a proxy, or replaces its connection. Pushes use the connection of the proxy's last renewal. */
    void register(String proxyId, PeerConnection connection) {
        connections.put(proxyId, connection);
    }

    /** Must be called for a new leadership, which restarts the version numbers: the next version is pushed to all. */
    void reset() {
        lastPushedVersion = 0;
    }

    /** Removes all proxies. */
    void clear() {
        connections.clear();
    }

    /** Pushes a version to all proxies, unless it was pushed last or less than an interval has passed since a push. */
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

    /** Pushes a version to one proxy. */
    static void push(PeerConnection connection, long version) {
        connection.push(Envelope.newBuilder()
                .setViewChanged(ViewChanged.newBuilder().setViewVersion(version))
                .build());
    }
}
