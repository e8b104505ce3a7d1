package org.hornbeamspread.proxy;

import java.time.Duration;

/**
 * When a holder may start work on its connections.
 *
 * <p>Control names a new holder only after the old one confirmed a view without its holding, or after its lease ran
 * out. So a holder with a fresh lease is the only one. Once the lease has run out another proxy may have been named, and
 * this one starts no write. Reads it still starts, but only while the database's own report, not older than {@link
 * #REPORT_MAX_AGE}, counts no connection besides this proxy's: then nobody else can use a slot. A proxy that is cut off
 * together with a database thus goes on serving reads, and one that was replaced stops within a report.
 */
final class HolderAdmissionRule {
    /** The oldest report that proves who is connected. */
    static final Duration MAX_REPORT_AGE = Duration.ofMillis(300);

    private HolderAdmissionRule() {}

    /**
     * Whether work may start.
     *
     * @param leaseFresh whether this proxy's view lease is fresh
     * @param readOnly whether the work only reads
     * @param reportAge the age of the database's last report
     * @param reportedConnections the connections that the report counts
     * @param ownConnections the connections that this proxy has open
     */
    static boolean mayStart(
            boolean leaseFresh, boolean readOnly, Duration reportAge, int reportedConnections, int ownConnections) {
        if (leaseFresh) {
            return true;
        }
        return readOnly && reportAge.compareTo(MAX_REPORT_AGE) <= 0 && reportedConnections <= ownConnections;
    }
}
