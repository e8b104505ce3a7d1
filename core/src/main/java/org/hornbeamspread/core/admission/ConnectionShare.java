package org.hornbeamspread.core.admission;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * One proxy's share of the connections that a database accepts from all proxies.
 *
 * <p>Guards against more proxies than connections. If each proxy keeps one connection open, the proxies that come first
 * hold all of them, mostly idle, and every statement of the others is refused for as long as that lasts. Few connections
 * are in use at any moment, however, since each statement takes some milliseconds. Only a fraction of the connections is
 * therefore kept open while idle, by proxies that a hash of the proxy and the database selects, so that each proxy keeps
 * connections to some databases. The others open a connection for a statement or a transaction and close it soon after.
 * No proxy needs to be told which ones are selected: the hash and the number of proxies determine it.
 *
 * @param limit how many connections the proxy may have open at once
 * @param retainsIdle whether the proxy keeps its last connection open while it is idle
 * @param idleTimeoutMs after which an idle connection that is not retained is closed
 */
public record ConnectionShare(int limit, boolean retainsIdle, long idleTimeoutMs) {
    /** Fraction of the connections that may stay open while idle. The others serve the proxies that keep none. */
    private static final double RETAINED_FRACTION = 0.6;

    /** A transaction occupies a connection while its client is idle, so that a proxy with a single one serves nobody else. */
    private static final int MIN_LIMIT = 2;

    /** A hundred times the set-up time of a connection at a database. */
    private static final long IDLE_TIMEOUT_MS = 1_500;

    /** Idle timeout while some proxies retain no connection: long enough for the next of several queued statements. */
    private static final long SCARCE_IDLE_TIMEOUT_MS = 100;

    private static final double HASH_RANGE = Math.pow(2, 64);

    /**
     * The share of a proxy.
     *
     * @param connections how many connections the database accepts from all proxies
     * @param proxies how many proxies share them
     */
    public static ConnectionShare of(int connections, int proxies, String proxyId, String instanceId) {
        double fairShare = (double) Math.max(1, connections) / Math.max(1, proxies);
        int limit = Math.max(Math.min(MIN_LIMIT, Math.max(1, connections)), (int) fairShare);
        double retainedFraction = RETAINED_FRACTION * fairShare;
        return new ConnectionShare(
                limit,
                position(proxyId, instanceId) < retainedFraction,
                retainedFraction < 1 ? SCARCE_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS);
    }

    /** A number in [0, 1), uniformly distributed over the proxies of a database and over the databases of a proxy. */
    private static double position(String proxyId, String instanceId) {
        long hash = Hashing.murmur3_128()
                .hashString(proxyId + '\n' + instanceId, StandardCharsets.UTF_8)
                .asLong();
        return (hash / HASH_RANGE) + 0.5;
    }
}
