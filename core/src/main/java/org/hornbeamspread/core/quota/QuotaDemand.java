package org.hornbeamspread.core.quota;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * What a proxy reports and asks for a workspace.
 *
 * @param workspace the name of the workspace
 * @param wantedTokens operations that wait for a token
 * @param arrivedOperations operations that have arrived since the last request, admitted or not
 * @param overdrawnOperations operations that ran without a token since the last request
 * @param heldRatePerS the rate that is lent to the proxy at this moment; 0 for none
 * @param holdsReserve whether the proxy has an unused operation in reserve
 */
public record QuotaDemand(
        String workspace,
        int wantedTokens,
        int arrivedOperations,
        int overdrawnOperations,
        double heldRatePerS,
        boolean holdsReserve) {
    /** Fails with INVALID_REQUEST when a number is negative or not finite. */
    public QuotaDemand {
        boolean countsValid = wantedTokens >= 0 && arrivedOperations >= 0 && overdrawnOperations >= 0;
        if (!countsValid || !(heldRatePerS >= 0) || Double.isInfinite(heldRatePerS)) {
            throw new FailureException(FailureType.INVALID_REQUEST, "a number of a quota demand is out of range");
        }
    }
}
