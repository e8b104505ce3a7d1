package org.hornbeamspread.core.failover;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * The registration of a group's member in the control log.
 *
 * @param databaseId the database's name
 * @param incarnation the incarnation of the process to which {@code trusted} applies
 * @param trusted whether that process counts as a holder of writes and towards a fence quorum
 */
public record Registration(String databaseId, long incarnation, boolean trusted) {
    /** Validates that the name is not empty. */
    public Registration {
        if (databaseId.isEmpty()) {
            throw new FailureException(FailureType.INVALID_REQUEST, "database name is empty");
        }
    }
}
