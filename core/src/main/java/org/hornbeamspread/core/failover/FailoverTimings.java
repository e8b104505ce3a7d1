package org.hornbeamspread.core.failover;

import java.time.Duration;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * Timeouts of failure detection and promotion.
 *
 * @param heartbeatTimeoutMs silence after which a primary is suspected, when proxies confirm the failure
 * @param retryMs interval after which an unanswered command is sent again
 * @param promoteTimeoutMs time that a chosen database has to become primary before another promotion starts
 * @param observationTtlMs time for which a proxy's observation is used
 * @param pauseThresholdMs gap between two steps above which the control process itself is assumed to have been paused
 * @param repeatPromotionWindowMs time after a promotion in which a further promotion requires a longer silence
 */
public record FailoverTimings(
        long heartbeatTimeoutMs,
        long retryMs,
        long promoteTimeoutMs,
        long observationTtlMs,
        long pauseThresholdMs,
        long repeatPromotionWindowMs) {
    /** The timings for databases that announce themselves every 300 ms. */
    public static final FailoverTimings DEFAULT = new FailoverTimings(600, 200, 1500, 1000, 250, 30_000);

    /** Validates that all values are positive. */
    public FailoverTimings {
        if (Math.min(Math.min(heartbeatTimeoutMs, retryMs), Math.min(promoteTimeoutMs, observationTtlMs)) <= 0
                || Math.min(pauseThresholdMs, repeatPromotionWindowMs) <= 0) {
            throw new FailureException(FailureType.INVALID_SETTING, "failover timings must be positive");
        }
    }

    /** {@code retryMs} as a duration. */
    public Duration retry() {
        return Duration.ofMillis(retryMs);
    }
}
