package org.hornbeamspread.core.admission;

import java.util.function.IntFunction;
import java.util.random.RandomGenerator;

/** Replays requests to one database from many proxies, each of which holds connections by its {@link ConnectionShare}. */
final class ConnectionLoad {
    private static final int DURATION_MS = 30_000;
    private static final int STATEMENT_MS = 30;
    private static final int TRANSACTION_MS = 400;
    private static final double TRANSACTION_FRACTION = 0.3;
    private static final int RETRY_MS = 25;
    private static final int MAX_WAIT_MS = 200;

    private final int proxies;
    private final int connections;
    private final int requestsPerSecond;

    /** The times at which each connection of each proxy becomes idle; 0 for a connection that is not open. */
    private final long[][] busyUntilMs;

    private int open;

    ConnectionLoad(int proxies, int connections, int requestsPerSecond) {
        this.proxies = proxies;
        this.connections = connections;
        this.requestsPerSecond = requestsPerSecond;
        this.busyUntilMs = new long[proxies][];
    }

    /** The fraction of the requests that get no connection within the time that they may wait. */
    double refusedFraction(RandomGenerator random, IntFunction<ConnectionShare> shares) {
        ConnectionShare[] shareByProxy = new ConnectionShare[proxies];
        for (int proxy = 0; proxy < proxies; proxy++) {
            shareByProxy[proxy] = shares.apply(proxy);
            busyUntilMs[proxy] = new long[shareByProxy[proxy].limit()];
        }
        open = 0;
        long requests = 0;
        long refused = 0;
        for (long nowMs = 1; nowMs <= DURATION_MS; nowMs++) {
            closeIdle(shareByProxy, nowMs);
            if (random.nextDouble() < requestsPerSecond / 1_000.0) {
                requests++;
                refused += serve(random, random.nextInt(proxies), nowMs) ? 0 : 1;
            }
        }
        return (double) refused / requests;
    }

    /** Whether a request gets a connection. Others are not closed while it waits, so that refusals are overestimated. */
    private boolean serve(RandomGenerator random, int proxy, long nowMs) {
        long holdMs = random.nextDouble() < TRANSACTION_FRACTION ? TRANSACTION_MS : STATEMENT_MS;
        for (long startMs = nowMs; startMs <= nowMs + MAX_WAIT_MS; startMs += RETRY_MS) {
            long[] slots = busyUntilMs[proxy];
            int free = -1;
            for (int i = 0; i < slots.length; i++) {
                boolean idle = slots[i] > 0 && slots[i] <= startMs;
                if (idle || (slots[i] == 0 && open < connections && free < 0)) {
                    free = i;
                }
            }
            if (free >= 0) {
                open += slots[free] == 0 ? 1 : 0;
                slots[free] = startMs + holdMs;
                return true;
            }
        }
        return false;
    }

    private void closeIdle(ConnectionShare[] shares, long nowMs) {
        for (int proxy = 0; proxy < proxies; proxy++) {
            boolean mayRetain = shares[proxy].retainsIdle();
            for (int i = 0; i < busyUntilMs[proxy].length; i++) {
                boolean expired =
                        busyUntilMs[proxy][i] > 0 && nowMs - busyUntilMs[proxy][i] > shares[proxy].idleTimeoutMs();
                if (expired && mayRetain) {
                    mayRetain = false;
                } else if (expired) {
                    busyUntilMs[proxy][i] = 0;
                    open--;
                }
            }
        }
    }
}
