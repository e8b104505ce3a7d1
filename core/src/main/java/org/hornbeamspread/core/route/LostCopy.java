package org.hornbeamspread.core.route;

import org.hornbeamspread.core.membership.Address;

/**
 * An incarnation of a database that ended, and whose log may have gone with it.
 *
 * @param service that it belonged to
 * @param address where it was reached last
 * @param instanceId its id, which a later incarnation may use again
 * @param bornMs when its process started, in ms since 1970
 */
public record LostCopy(String service, Address address, String instanceId, long bornMs) {
    /** The copy that ends with an incarnation. */
    static LostCopy of(DatabaseInstance ended) {
        return new LostCopy(ended.service(), ended.address(), ended.instanceId(), ended.bornMs());
    }
}
