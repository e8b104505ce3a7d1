package org.hornbeamspread.core.membership;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * A database's announcement of itself.
 *
 * @param group the database group that it belongs to
 * @param address where it is reached
 * @param failureDomain its failure domain
 * @param region its region
 * @param slots statements that it runs at once
 * @param connectionLimit connections that it accepts
 * @param departing it asks for no new work
 * @param status what it reports of its log
 */
public record AnnouncedDatabase(
        String group,
        Address address,
        String failureDomain,
        String region,
        int slots,
        int connectionLimit,
        boolean departing,
        DatabaseStatus status) {
    /** Checks that the group is named. */
    public AnnouncedDatabase {
        if (group.isEmpty()) {
            throw new FailureException(FailureType.INVALID_REQUEST, "a database without a group");
        }
    }

    /** The database's name. */
    public String databaseId() {
        return status.databaseId();
    }

    /** The same announcement with another status. */
    public AnnouncedDatabase withStatus(DatabaseStatus other) {
        return new AnnouncedDatabase(group, address, failureDomain, region, slots, connectionLimit, departing, other);
    }

    /** Whether everything but the status equals, and the status is of the same incarnation. */
    public boolean hasSameDescription(AnnouncedDatabase other) {
        return status.incarnation() == other.status.incarnation()
                && withStatus(other.status).equals(other);
    }
}
