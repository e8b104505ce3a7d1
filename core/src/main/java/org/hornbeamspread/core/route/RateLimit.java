package org.hornbeamspread.core.route;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * The limit of a workspace's operations over all proxies together.
 *
 * @param ratePerS operations per second
 * @param burstOperations operations that may exceed the rate at once
 */
public record RateLimit(double ratePerS, double burstOperations) {
    /** Fails with INVALID_CONFIGURATION when a value is negative or not finite. */
    public RateLimit {
        if (!(ratePerS >= 0 && burstOperations >= 0)
                || Double.isInfinite(ratePerS)
                || Double.isInfinite(burstOperations)) {
            throw new FailureException(
                    FailureType.INVALID_CONFIGURATION, "a rate limit is negative or not a finite number");
        }
    }
}
