package org.hornbeamspread.load;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.hornbeamspread.core.misc.Effect;

/** Counts and latencies of one rank. Latency runs from the intended start to the last word. Used by one thread. */
final class RankStatistics {
    private static final long HIGHEST_US = 120_000_000L;
    private static final int DIGITS = 3;
    private static final long US_PER_MS = 1_000;
    private static final long US_PER_SECOND = 1_000_000;

    private final RankPlan plan;
    private final Histogram served = new Histogram(HIGHEST_US, DIGITS);
    private final List<Second> seconds = new ArrayList<>();
    private long offered;
    private long refusedNotRun;
    private long unknown;
    private long withinTarget;

    RankStatistics(RankPlan plan) {
        this.plan = plan;
    }

    /** Counts a request at its intended start; one of the warm-up is passed over. */
    void offered(long atUs) {
        if (atUs < 0) {
            return;
        }
        offered++;
        second(atUs).offered++;
    }

    /** Counts a request's last word. */
    void ended(long intendedUs, long nowUs, Effect lastWord) {
        if (intendedUs < 0) {
            return;
        }
        long latencyUs = Math.max(0, nowUs - intendedUs);
        switch (lastWord) {
            case DONE -> {
                served.recordValue(Math.min(latencyUs, HIGHEST_US));
                second(nowUs).served++;
                withinTarget += latencyUs <= plan.targetMs() * US_PER_MS ? 1 : 0;
            }
            case NOT_RUN -> {
                refusedNotRun++;
                second(nowUs).refused++;
            }
            case UNKNOWN -> unknown++;
        }
    }

    /** The counts so far. */
    RankReport report() {
        return new RankReport(
                plan.name(),
                offered,
                served.getTotalCount(),
                refusedNotRun,
                unknown,
                offered == 0 ? 1 : (double) withinTarget / offered,
                percentileMs(50),
                percentileMs(99),
                seconds.stream()
                        .map(second -> new RankReport.Second(second.offered, second.served, second.refused))
                        .toList());
    }

    private double percentileMs(double percentile) {
        return served.getTotalCount() == 0 ? 0 : served.getValueAtPercentile(percentile) / (double) US_PER_MS;
    }

    private Second second(long atUs) {
        int index = (int) (Math.max(0, atUs) / US_PER_SECOND);
        while (seconds.size() <= index) {
            seconds.add(new Second());
        }
        return seconds.get(index);
    }

    /** The counts of one second of the run. */
    private static final class Second {
        private long offered;
        private long served;
        private long refused;
    }
}
