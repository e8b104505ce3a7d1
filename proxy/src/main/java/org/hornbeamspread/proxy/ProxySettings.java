package org.hornbeamspread.proxy;

import java.util.List;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.runtime.EndpointSettings;
import org.hornbeamspread.transport.AddressTranslator;

/**
 * The proxy's validated settings.
 *
 * @param proxyId the id of this proxy, unique among all proxies
 * @param peerEndpoint the endpoint that other proxies connect to
 * @param httpEndpoint the endpoint that callers connect to
 * @param failureDomain the failure domain of this instance
 * @param region the region of this instance
 * @param control peer endpoints of the control members
 * @param translator maps announced addresses to reachable ones
 * @param drainGraceMs how long requests are still accepted after SIGTERM
 * @param idleTransactionMs the idle time after which an interactive transaction is closed
 * @param maxRequests the maximum number of requests in progress
 * @param networkThreads the number of threads of the peer transport
 * @param slotOrder the scheduling policy for a database's slots
 * @param clusterId the cluster that this proxy belongs to
 */
record ProxySettings(
        String proxyId,
        Endpoint peerEndpoint,
        Endpoint httpEndpoint,
        String failureDomain,
        String region,
        List<Endpoint> control,
        AddressTranslator translator,
        long drainGraceMs,
        long idleTransactionMs,
        int maxRequests,
        int networkThreads,
        SlotOrder slotOrder,
        String clusterId) {
    private static final long MAX_MS = 600_000;
    private static final long MIN_IDLE_MS = 100;
    private static final int MAX_REQUESTS = 100_000;
    private static final int MAX_THREADS = 64;

    ProxySettings {
        checkName("--proxy-id", proxyId);
        checkName("--failure-domain", failureDomain);
        checkName("--region", region);
        checkName("--cluster-id", clusterId);
        checkRange("--drain-grace-ms", drainGraceMs, 0, MAX_MS);
        checkRange("--idle-transaction-ms", idleTransactionMs, MIN_IDLE_MS, MAX_MS);
        checkRange("--max-requests", maxRequests, 1, MAX_REQUESTS);
        checkRange("--network-threads", networkThreads, 1, MAX_THREADS);
        control = List.copyOf(control);
        if (control.isEmpty()) {
            throw refused("--control must list at least one endpoint");
        }
    }

    /** Validates command-line options. Fails with INVALID_SETTING. */
    static ProxySettings of(ProxyOptions options) {
        return new ProxySettings(
                options.proxyId,
                AddressTranslator.parse(options.peerEndpoint),
                AddressTranslator.parse(options.httpEndpoint),
                options.failureDomain,
                options.region,
                EndpointSettings.parseList(options.control),
                EndpointSettings.readAddressMap(options.addressMap),
                options.drainGraceMs,
                options.idleTransactionMs,
                options.maxRequests,
                options.networkThreads,
                SlotOrder.parse(options.slotOrder),
                options.clusterId);
    }

    private static void checkName(String flag, String value) {
        if (value.isBlank() || value.indexOf(':') >= 0) {
            throw refused(flag + " is required and must not contain a colon");
        }
    }

    private static void checkRange(String flag, long value, long min, long max) {
        if (value < min || value > max) {
            throw refused(flag + " must be from " + min + " to " + max);
        }
    }

    private static FailureException refused(String detail) {
        return new FailureException(FailureType.INVALID_SETTING, detail);
    }
}
