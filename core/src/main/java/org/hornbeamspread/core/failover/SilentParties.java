package org.hornbeamspread.core.failover;

import java.util.List;

/**
 * Who has not responded during a promotion although it may know what decides the choice.
 *
 * @param proxies proxies that may have acknowledged commits which they have not reported
 * @param controlMembers control members that don't respond, or didn't a moment ago: the first announcement of a database that joins may be
 *     waiting for one of them
 */
public record SilentParties(List<SilentProxy> proxies, List<String> controlMembers) {
    /** Everyone has responded. */
    public static final SilentParties NONE = new SilentParties(List.of(), List.of());

    /** Copies the lists. */
    public SilentParties {
        proxies = List.copyOf(proxies);
        controlMembers = List.copyOf(controlMembers);
    }

    /**
     * A proxy without a report under the seal of the promotion.
     *
     * @param proxyId its id, or what is known of it
     * @param reportAgeMs time since its last report
     * @param endedAgoMs time since it is known to have ended; 0 if it may run, cut off from control
     */
    public record SilentProxy(String proxyId, long reportAgeMs, long endedAgoMs) {}
}
