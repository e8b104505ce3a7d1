package org.hornbeamspread.core.route;

import org.hornbeamspread.core.membership.Address;

/**
 * The latest announcement of a database.
 *
 * @param instanceId the id of the instance, which a later incarnation may reuse
 * @param service the service that the database belongs to
 * @param address the address at which the database accepts connections
 * @param failureDomain the failure domain that the database runs in
 * @param slots the maximum number of concurrent statements
 * @param draining whether the database is draining before it departs
 * @param primary whether the database reports itself as the primary
 * @param bornMs the start time of the process, in ms since 1970; it identifies the incarnation
 * @param sequence a number that increases with each announcement of an incarnation
 */
public record DatabaseInstance(
        String instanceId,
        String service,
        Address address,
        String failureDomain,
        int slots,
        boolean draining,
        boolean primary,
        long bornMs,
        long sequence) {
    /** Whether this announcement equals another one in everything but the sequence. */
    public boolean equalsIgnoringSequence(DatabaseInstance other) {
        return equals(new DatabaseInstance(
                other.instanceId,
                other.service,
                other.address,
                other.failureDomain,
                other.slots,
                other.draining,
                other.primary,
                other.bornMs,
                sequence));
    }
}
