package org.hornbeamspread.core.route;

/** The consistency of the reads of a route. */
public enum RouteKind {
    /** Reads include every acknowledged commit. */
    PRIMARY,
    /** Reads include every commit acknowledged longer ago than the route's maximum staleness. */
    BOUNDED_STALENESS,
    /** As bounded staleness, and reads also include the session's own commits. */
    READ_YOUR_WRITES
}
