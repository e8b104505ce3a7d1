package org.hornbeamspread.core.failover;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * What the control log holds of a member of a group.
 *
 * @param databaseId its name
 * @param incarnation the process that {@code trusted} was decided for
 * @param trusted whether that process counts as a holder and for a fence
 */
public record Registration(String databaseId, long incarnation, boolean trusted) {
    /** Checks that the name is set. */
    public Registration {
        if (databaseId.isEmpty()) {
            throw new FailureException(FailureType.INVALID_REQUEST, "a database without a name");
        }
    }
}
