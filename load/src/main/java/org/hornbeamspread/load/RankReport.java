package org.hornbeamspread.load;

import java.util.List;

/**
 * What a rank got.
 *
 * @param name the rank
 * @param offered requests whose start was intended
 * @param served requests that were done
 * @param refusedNotRun requests whose last word was a proved refusal
 * @param unknown requests whose outcome is unknown
 * @param withinTargetShare share of the offered ones that were done within the rank's target
 * @param p50Ms median latency of the served ones, from the intended start
 * @param p99Ms 99th percentile of the same
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
     * @param offered requests whose start was intended in it
     * @param served requests that were done in it
     * @param refused requests that were refused for good in it
     */
    record SecondCounts(long offered, long served, long refused) {}
}
