package org.hornbeamspread.core.admission;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * The scheduling settings of one rank of requests.
 *
 * @param rank name of the rank
 * @param worth priority of the rank; requests of a higher worth start first
 * @param sharePercent percentage of the slot time that is guaranteed to the rank under any load of the others
 * @param queueLimit maximum number of waiting requests of the rank
 */
public record RankSettings(String rank, int worth, int sharePercent, int queueLimit) {
    /** Checks the ranges. Fails with INVALID_CONFIGURATION. */
    public RankSettings {
        if (rank.isEmpty() || worth < 0 || sharePercent < 0 || sharePercent > 100 || queueLimit < 1) {
            throw new FailureException(
                    FailureType.INVALID_CONFIGURATION,
                    "name, worth, share or queue limit out of range for rank " + rank);
        }
    }

    /** The share as a fraction. */
    double share() {
        return sharePercent / 100.0;
    }
}
