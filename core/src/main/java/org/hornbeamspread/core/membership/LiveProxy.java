package org.hornbeamspread.core.membership;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * A proxy as it describes itself when it renews its view lease.
 *
 * @param proxyId its name
 * @param failureDomain its failure domain
 * @param region its region
 * @param peer where other processes reach it
 * @param http where callers reach it
 * @param configurationVersion the version that it has in force
 * @param draining it is shutting down and takes no new holdings
 * @param incarnation rises with each start of the process
 */
public record LiveProxy(
        String proxyId,
        String failureDomain,
        String region,
        Address peer,
        Address http,
        long configurationVersion,
        boolean draining,
        long incarnation) {
    /** Checks that the name is set. */
    public LiveProxy {
        if (proxyId.isEmpty()) {
            throw new FailureException(FailureType.INVALID_REQUEST, "a proxy without a name");
        }
    }

    /** Whether the other proxies need to learn of the difference. */
    public boolean hasSameDescription(LiveProxy other) {
        return withConfigurationVersion(other.configurationVersion).equals(other);
    }

    private LiveProxy withConfigurationVersion(long version) {
        return new LiveProxy(proxyId, failureDomain, region, peer, http, version, draining, incarnation);
    }
}
