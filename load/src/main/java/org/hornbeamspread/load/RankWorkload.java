package org.hornbeamspread.load;

/**
 * The workload of one rank.
 *
 * @param name the rank's name in the configuration
 * @param kind the kind of the requests
 * @param arrivalsPerSecond the mean rate of ordinary arrivals
 * @param floodArrivalsPerSecond the mean rate of additional arrivals during a flood of this rank
 * @param targetMs the latency, from the intended start, within which a request counts as served in time
 * @param timeoutMs the timeout of one attempt
 * @param maxAttempts the maximum number of attempts of a request; a request of a flood gets two at most
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
            throw new IllegalArgumentException(
                    "empty name, or invalid rate, target or number of attempts of rank " + name);
        }
    }
}
