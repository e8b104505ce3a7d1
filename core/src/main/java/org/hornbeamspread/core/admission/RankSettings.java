package org.hornbeamspread.core.admission;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * How one rank of work is treated.
 *
 * @param rank its name
 * @param worth the worth of one request; a higher one goes first
 * @param sharePercent the part of the slots' time that it keeps whatever the other ranks do
 * @param queueLimit how many of its requests may wait
 */
public record RankSettings(String rank, int worth, int sharePercent, int queueLimit) {
    /** Checks the ranges. Fails with INVALID_CONFIGURATION. */
    public RankSettings {
        if (rank.isEmpty() || worth < 0 || sharePercent < 0 || sharePercent > 100 || queueLimit < 1) {
            throw new FailureException(FailureType.INVALID_CONFIGURATION, "rank " + rank);
        }
    }

    /** The share as a fraction. */
    double share() {
        return sharePercent / 100.0;
    }
}
