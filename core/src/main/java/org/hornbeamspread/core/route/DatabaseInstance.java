package org.hornbeamspread.core.route;

import org.hornbeamspread.core.membership.Address;

/**
 * A database as it announced itself last.
 *
 * @param instanceId its id, which a later incarnation may use again
 * @param service that it belongs to
 * @param address where it is reached
 * @param failureDomain that it runs in
 * @param slots how many statements it runs at once
 * @param draining whether it is about to leave
 * @param primary whether it sees itself as the primary
 * @param bornMs when its process started, in ms since 1970
 * @param sequence rises with each announcement of an incarnation
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
    /** Whether this announcement tells the same, but for its sequence. */
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
