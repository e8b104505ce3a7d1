package org.hornbeamspread.load;

import java.util.List;

/**
 * The results of one rank.
 *
 * @param name the rank
 * @param offered requests whose intended start was in the run
 * @param served requests that succeeded
 * @param refusedNotRun requests that provably did not run
 * @param unknown requests whose outcome is unknown
 * @param withinTargetShare share of the offered requests that succeeded within the rank's target
 * @param p50Ms median latency of the served requests, from the intended start
 * @param p99Ms 99th percentile of the same latency
 * @param seconds the counts of each second of the run
 */
record RankReport(
        String name,
        long offered,
        long served,
        long refusedNotRun,
        long unknown,
        double withinTargetShare,
        double p50Ms,
        double p99Ms,
        List<SecondCounts> seconds) {
    RankReport {
        seconds = List.copyOf(seconds);
    }

    /**
     * The counts of one second of the run.
     *
     * @param offered requests whose intended start was in this second
     * @param served requests that succeeded in this second
     * @param refused requests that ended in this second and provably did not run
     */
    record SecondCounts(long offered, long served, long refused) {}
}
