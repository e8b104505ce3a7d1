package org.hornbeamspread.load;

/**
 * The load of one rank.
 *
 * @param name the rank's name in the configuration
 * @param kind what its requests do
 * @param arrivalsPerSecond the mean rate of ordinary arrivals
 * @param floodArrivalsPerSecond the mean rate of the arrivals that a flood of this rank adds
 * @param targetMs the latency, from the intended start, within which a request counts as served in time
 * @param timeoutMs how long one try may take
 * @param tries how often a request is sent at most; a request of a flood at most twice
 */
record RankWorkload(
        String name,
        RequestKind kind,
        double arrivalsPerSecond,
        double floodArrivalsPerSecond,
        int targetMs,
        int timeoutMs,
        int maxAttempts) {
    RankWorkload {
        if (name.isEmpty() || arrivalsPerSecond < 0 || floodArrivalsPerSecond < 0 || targetMs <= 0 || maxAttempts < 1) {
            throw new IllegalArgumentException("rank " + name);
        }
    }
}
