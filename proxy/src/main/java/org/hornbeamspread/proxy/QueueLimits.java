package org.hornbeamspread.proxy;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.RankDefinition;

/**
 * How long a request of each rank may wait for a slot.
 *
 * <p>In a flood a queue is always as long as its limit allows. A limit at the request's timeout would serve everybody
 * late; a limit at the rank's target as well, since the statement and its acknowledgement come on top. Half of the
 * target leaves them the other half, and who can't start by then is refused, not run, while there is still time to go
 * elsewhere.
 */
record QueueLimits(Map<String, Duration> maxWaitByRank) {
    private static final int TARGET_DIVISOR = 2;
    private static final Duration MAX_WAIT_WITHOUT_TARGET = Duration.ofDays(1);

    QueueLimits {
        maxWaitByRank = Map.copyOf(maxWaitByRank);
    }

    /** The limits of a configuration's ranks. */
    static QueueLimits of(Configuration configuration) {
        return new QueueLimits(configuration.getRanksList().stream()
                .filter(rank -> rank.getTargetMs() != 0)
                .collect(Collectors.toMap(
                        RankDefinition::getName,
                        rank -> Duration.ofMillis(Integer.toUnsignedLong(rank.getTargetMs()))
                                .dividedBy(TARGET_DIVISOR))));
    }

    /** The limit of a rank; a day for one without a target. */
    Duration maxWait(String rank) {
        return maxWaitByRank.getOrDefault(rank, MAX_WAIT_WITHOUT_TARGET);
    }
}
