package org.hornbeamspread.core.routing;

/** How far a database is from this proxy, nearest first. */
public enum Proximity {
    /** In this proxy's failure domain. */
    SAME_FAILURE_DOMAIN,
    /** In another failure domain of this proxy's region. */
    SAME_REGION,
    /** Behind the link between regions, which is billed by volume. */
    OTHER_REGION;

    /** The proximity of a place to another. */
    public static Proximity of(String failureDomain, String region, String otherFailureDomain, String otherRegion) {
        if (!region.equals(otherRegion)) {
            return OTHER_REGION;
        }
        return failureDomain.equals(otherFailureDomain) ? SAME_FAILURE_DOMAIN : SAME_REGION;
    }
}
