package org.hornbeamspread.load;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.hornbeamspread.core.misc.Effect;

/**
 * Counts and latencies of one rank. Latency is the time from the intended start to the final outcome. Used by one
 * thread.
 */
final class RankStatistics {
    private static final long MAX_RECORDED_LATENCY_US = 120_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long US_PER_MS = 1_000;
    private static final long US_PER_SECOND = 1_000_000;

    private final RankWorkload rank;
    private final Histogram served = new Histogram(MAX_RECORDED_LATENCY_US, SIGNIFICANT_DIGITS);
    private final List<SecondCounts> seconds = new ArrayList<>();
    private long offered;
    private long refusedNotRun;
    private long unknown;
    private long withinTarget;

    RankStatistics(RankWorkload rank) {
        this.rank = rank;
    }

    /** Counts a request at its intended start. A request of the warm-up is not counted. */
    void offered(long atUs) {
        if (atUs < 0) {
            return;
        }
        offered++;
        countsOfSecond(atUs).offered++;
    }

    /** Counts the final outcome of a request. A request of the warm-up is not counted. */
    void completed(long intendedStartUs, long nowUs, Effect outcome) {
        if (intendedStartUs < 0) {
            return;
        }
        long latencyUs = Math.max(0, nowUs - intendedStartUs);
        switch (outcome) {
            case DONE -> {
                served.recordValue(Math.min(latencyUs, MAX_RECORDED_LATENCY_US));
                countsOfSecond(nowUs).served++;
                withinTarget += latencyUs <= rank.targetMs() * US_PER_MS ? 1 : 0;
            }
            case NOT_RUN -> {
                refusedNotRun++;
                countsOfSecond(nowUs).refused++;
            }
            case UNKNOWN -> unknown++;
        }
    }

    /** The counts so far. */
    RankReport report() {
        return new RankReport(
                rank.name(),
                offered,
                served.getTotalCount(),
                refusedNotRun,
                unknown,
                offered == 0 ? 1 : (double) withinTarget / offered,
                percentileMs(50),
                percentileMs(99),
                seconds.stream()
                        .map(second -> new RankReport.SecondCounts(second.offered, second.served, second.refused))
                        .toList());
    }

    private double percentileMs(double percentile) {
        return served.getTotalCount() == 0 ? 0 : served.getValueAtPercentile(percentile) / (double) US_PER_MS;
    }

    private SecondCounts countsOfSecond(long atUs) {
        int index = (int) (Math.max(0, atUs) / US_PER_SECOND);
        while (seconds.size() <= index) {
            seconds.add(new SecondCounts());
        }
        return seconds.get(index);
    }

    /** The counts of one second of the run. */
    private static final class SecondCounts {
        private long offered;
        private long served;
        private long refused;
    }
}
