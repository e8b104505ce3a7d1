package org.hornbeamspread.core.failover;

/**
 * The timeouts and intervals of {@link SyncGroupFailover}.
 *
 * @param detectionMs a primary without a proof that it works is replaced after this long
 * @param refusedDetectionMs the same while the primary's address refuses connections, which shows that its process has ended
 *     and is not merely unreachable
 * @param initialDetectionMs the same for a new leader, which may not have requested a proof yet
 * @param promotionTimeoutMs an accepted promotion may take this long until the instance leads
 * @param writeStallTimeoutMs a primary on which writes wait this long without one succeeding is replaced
 * @param commandRetryIntervalMs time between two attempts of one command
 * @param maxStatusAgeMs database statuses older than this do not count in the choice of a candidate
 * @param maxCandidateSilenceMs a database that has not announced itself for this long is not considered as a candidate
 * @param silenceMs a replica that has not announced itself for this long counts as lost, provided that other members hold
 *     every commit that the replica may hold
 * @param coverageCheckIntervalMs interval at which that condition is checked while a replica counts as lost
 */
public record SyncFailoverTimings(
        long detectionMs,
        long refusedDetectionMs,
        long initialDetectionMs,
        long promotionTimeoutMs,
        long writeStallTimeoutMs,
        long commandRetryIntervalMs,
        long maxStatusAgeMs,
        long maxCandidateSilenceMs,
        long silenceMs,
        long coverageCheckIntervalMs) {
    /**
     * The default timings. Detection takes 1 s: three consecutive proof requests of 250 ms and the latency between regions. Half
     * of that is enough when two consecutive requests were refused. A new leader needs time for a first round of connections and
     * requests. Statuses expire sooner than a database can restart. Ten missed announcements cannot be explained by delay.
     */
    public static final SyncFailoverTimings DEFAULT =
            new SyncFailoverTimings(1_000, 500, 600, 3_000, 2_000, 300, 250, 4_000, 12_000, 1_000);
}
