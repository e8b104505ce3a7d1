package org.hornbeamspread.core.failover;

import java.time.Duration;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * The times of detection and promotion.
 *
 * @param silenceMs how long a primary is silent before it is suspected
 * @param retryMs how long before an unanswered command is sent again
 * @param promoteTimeoutMs how long a chosen database may take before another promotion starts
 * @param observationMs how long a proxy's observation counts
 * @param ownPauseMs a gap between two steps that means that control itself stood still
 * @param calmMs how long after a promotion a repeated one needs more silence
 */
public record FailoverTimings(
        long heartbeatTimeoutMs,
        long retryMs,
        long promoteTimeoutMs,
        long observationTtlMs,
        long pauseThresholdMs,
        long repeatPromotionWindowMs) {
    /** The times for databases that announce themselves each 300 ms. */
    public static final FailoverTimings DEFAULT = new FailoverTimings(600, 200, 1500, 1000, 250, 30_000);

    /** Checks that all are positive. */
    public FailoverTimings {
        if (Math.min(Math.min(heartbeatTimeoutMs, retryMs), Math.min(promoteTimeoutMs, observationTtlMs)) <= 0
                || Math.min(pauseThresholdMs, repeatPromotionWindowMs) <= 0) {
            throw new FailureException(FailureType.INVALID_SETTING, "failover times must be positive");
        }
    }

    /** {@code retryMs} as a duration. */
    public Duration retry() {
        return Duration.ofMillis(retryMs);
    }
}
