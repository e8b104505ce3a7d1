package org.hornbeamspread.core.quota;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * What control grants a proxy for a workspace. Times count from the sending of the request.
 *
 * @param workspace the name of the workspace
 * @param tokens operations that may run
 * @param tokenValidityMs how long the tokens may be used
 * @param retryAfterMs time until another token is expected; 0 if all that were wanted are granted
 * @param lentRatePerS the rate at which the proxy may run operations without asking; replaces the one that it holds
 * @param lentValidityMs how long the rate and the reserve may be used
 * @param reserveOperations operations that may run without asking, held for the next one to arrive; replaces those that the proxy holds
 */
public record QuotaShare(
        String workspace,
        int tokens,
        long tokenValidityMs,
        long retryAfterMs,
        double lentRatePerS,
        long lentValidityMs,
        int reserveOperations) {
    /** Fails with INVALID_REQUEST when a number is negative or not finite. */
    public QuotaShare {
        boolean countsValid = tokens >= 0 && reserveOperations >= 0;
        boolean timesValid = tokenValidityMs >= 0 && retryAfterMs >= 0 && lentValidityMs >= 0;
        if (!countsValid || !timesValid || !(lentRatePerS >= 0) || Double.isInfinite(lentRatePerS)) {
            throw new FailureException(FailureType.INVALID_REQUEST, "a number of a quota share is out of range");
        }
    }
}
