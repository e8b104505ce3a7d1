package org.hornbeamspread.core.failover;

/**
 * The waits of {@link SyncGroupFailover}.
 *
 * @param detectionMs without a proof of life a primary is replaced after this long
 * @param refusedMs the same, where its address refuses connections: the process is gone, not merely out of reach
 * @param firstDetectionMs the same for a leader that has just taken over and may not have asked yet
 * @param promotionMs an instance that was ordered may take this long until it leads
 * @param writeStallMs a primary on which writes wait this long without one succeeding is replaced
 * @param commandRetryMs between two attempts of one command
 * @param answerAgeMs answers of databases older than this do not count for a choice
 * @param announceLimitMs a database that did not announce itself for this long is not waited for to lead
 * @param silenceMs a replica that did not announce itself for this long is taken for gone, as far as others hold all that it may hold
 * @param coverageMs how often that is checked while a replica is taken for gone
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
     * A second of silence: three questions of 250 ms in a row and the way between regions; half of it where two in a row were
     * refused; a first round of connections and questions for a new leader. Answers count for less time than a
     * database takes to restart. Ten missed announcements are no delay any more.
     */
    public static final SyncFailoverTimings DEFAULT =
            new SyncFailoverTimings(1_000, 500, 600, 3_000, 2_000, 300, 250, 4_000, 12_000, 1_000);
}
