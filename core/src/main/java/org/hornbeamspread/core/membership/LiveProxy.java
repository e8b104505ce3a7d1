package org.hornbeamspread.core.membership;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * A proxy's description of itself, sent with each renewal of its view lease.
 *
 * @param proxyId the proxy's name
 * @param failureDomain the proxy's failure domain
 * @param region the proxy's region
 * @param peer the address for connections from other processes of the system
 * @param http the address for HTTP requests from callers
 * @param configurationVersion the version of the configuration that the proxy applies
 * @param draining whether the proxy is shutting down and must not be assigned further databases
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
    /** Validates that the name is not empty. */
    public LiveProxy {
        if (proxyId.isEmpty()) {
            throw new FailureException(FailureType.INVALID_REQUEST, "proxy name is empty");
        }
    }

    /**
     * Whether the two descriptions are equal apart from the configuration version. A change of the version alone is not
     * published to the other proxies.
     */
    public boolean hasSameDescription(LiveProxy other) {
        return withConfigurationVersion(other.configurationVersion).equals(other);
    }

    private LiveProxy withConfigurationVersion(long version) {
        return new LiveProxy(proxyId, failureDomain, region, peer, http, version, draining, incarnation);
    }
}
