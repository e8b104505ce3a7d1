package org.hornbeamspread.core.routing;

/** Network distance of a database from this proxy, nearest first. */
public enum Proximity {
    /** In this proxy's failure domain. */
    SAME_FAILURE_DOMAIN,
    /** In another failure domain of this proxy's region. */
    SAME_REGION,
    /** In another region; traffic between regions is billed by volume. */
    OTHER_REGION;

    /** The proximity of two endpoints, given the failure domain and region of each. */
    public static Proximity of(String failureDomain, String region, String otherFailureDomain, String otherRegion) {
        if (!region.equals(otherRegion)) {
            return OTHER_REGION;
        }
        return failureDomain.equals(otherFailureDomain) ? SAME_FAILURE_DOMAIN : SAME_REGION;
    }
}
