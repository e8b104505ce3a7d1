package org.hornbeamspread.core.membership;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * A database as described by its own announcement.
 *
 * @param group the database group that the database belongs to
 * @param address the address at which the database accepts connections
 * @param failureDomain the database's failure domain
 * @param region the database's region
 * @param slots the number of statements that the database runs concurrently
 * @param connectionLimit the number of connections that the database accepts
 * @param departing whether the database is departing, and must receive no new work
 * @param status the database's term, role and log positions
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
    /** Checks that the group's name is set. */
    public AnnouncedDatabase {
        if (group.isEmpty()) {
            throw new FailureException(FailureType.INVALID_REQUEST, "database group is empty");
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

    /** Whether the two announcements come from the same incarnation and are equal apart from the status. */
    public boolean hasSameDescription(AnnouncedDatabase other) {
        return status.incarnation() == other.status.incarnation()
                && withStatus(other.status).equals(other);
    }
}
