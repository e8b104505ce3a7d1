package org.hornbeamspread.proxy.session;

import java.util.List;
import org.hornbeamspread.core.admission.RankSettings;

/** The scheduler ranks at a database, one for each priority of routes. */
final class PriorityRanks {
    private static final int QUEUE_LIMIT_REQUESTS = 512;

    /** Guaranteed shares, the most urgent priority first. The remaining capacity goes to the most urgent requests. */
    private static final int[] GUARANTEED_SHARES_PERCENT = {50, 25, 10, 5};

    private PriorityRanks() {}

    static String rankName(int priority) {
        return "priority-" + Math.max(0, Math.min(GUARANTEED_SHARES_PERCENT.length - 1, priority));
    }

    static List<RankSettings> rankSettings() {
        return java.util.stream.IntStream.range(0, GUARANTEED_SHARES_PERCENT.length)
                .mapToObj(priority -> new RankSettings(
                        rankName(priority),
                        GUARANTEED_SHARES_PERCENT.length - priority,
                        GUARANTEED_SHARES_PERCENT[priority],
                        QUEUE_LIMIT_REQUESTS))
                .toList();
    }
}
