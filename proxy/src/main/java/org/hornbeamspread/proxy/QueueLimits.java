package org.hornbeamspread.proxy;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.RankDefinition;

/**
 * The longest time that a request of each rank may wait for a slot.
 *
 * <p>Under overload a queue always grows to its limit. With a limit equal to the request's timeout, every request would
 * get a late response. A limit equal to the rank's latency target would also be too long, because the execution of the
 * statement and its acknowledgement take additional time. The limit is therefore half of the target, which leaves the
 * other half for execution and acknowledgement. A request that can't start within the limit is refused without being
 * run, while the caller still has time to use another proxy.
 */
record QueueLimits(Map<String, Duration> maxWaitByRank) {
    private static final int TARGET_DIVISOR = 2;
    private static final Duration MAX_WAIT_WITHOUT_TARGET = Duration.ofDays(1);

    QueueLimits {
        maxWaitByRank = Map.copyOf(maxWaitByRank);
    }

    /** The limits for the ranks of a configuration. */
    static QueueLimits of(Configuration configuration) {
        return new QueueLimits(configuration.getRanksList().stream()
                .filter(rank -> rank.getTargetMs() != 0)
                .collect(Collectors.toMap(
                        RankDefinition::getName,
                        rank -> Duration.ofMillis(Integer.toUnsignedLong(rank.getTargetMs()))
                                .dividedBy(TARGET_DIVISOR))));
    }

    /** The limit for a rank; one day for a rank without a latency target. */
    Duration maxWait(String rank) {
        return maxWaitByRank.getOrDefault(rank, MAX_WAIT_WITHOUT_TARGET);
    }
}
