package org.hornbeamspread.core.route;

import org.hornbeamspread.core.membership.Address;

/**
 * An ended incarnation of a database, whose copy of the log may be lost with it.
 *
 * @param service the service that the database belonged to
 * @param address the last address of the database
 * @param instanceId the id of the instance, which a later incarnation may reuse
 * @param bornMs the start time of the process, in ms since 1970
 */
public record LostCopy(String service, Address address, String instanceId, long bornMs) {
    /** Returns the lost copy of an ended incarnation. */
    static LostCopy of(DatabaseInstance ended) {
        return new LostCopy(ended.service(), ended.address(), ended.instanceId(), ended.bornMs());
    }
}
