package org.hornbeamspread.proxy;

import java.time.Duration;

/**
 * Decides when the holder of a database may start work on its connections.
 *
 * <p>Control assigns a new holder only after the old holder confirmed a view in which it no longer holds the
 * database, or after the old holder's lease expired. Therefore a holder with a valid lease is the only holder. After
 * the lease has expired, control may have assigned another proxy, and this proxy starts no writes. This proxy still
 * starts reads, but only while the database's own report, not older than {@link #MAX_REPORT_AGE}, counts no
 * connections other than this proxy's: then no other proxy can use a slot. As a result, a proxy that is partitioned
 * from control together with a database continues to serve reads, and a replaced holder stops within one report.
 */
final class HolderAdmissionRule {
    /** The maximum age of a report whose connection count is valid. */
    static final Duration MAX_REPORT_AGE = Duration.ofMillis(300);

    private HolderAdmissionRule() {}

    /**
     * Whether work may start now.
     *
     * @param leaseValid whether this proxy's view lease is valid
     * @param readOnly whether the work only reads
     * @param reportAge the age of the database's last report
     * @param reportedConnections the connections that the report counts
     * @param ownConnections the connections that this proxy has open
     */
    static boolean mayStart(
            boolean leaseValid, boolean readOnly, Duration reportAge, int reportedConnections, int ownConnections) {
        if (leaseValid) {
            return true;
        }
        return readOnly && reportAge.compareTo(MAX_REPORT_AGE) <= 0 && reportedConnections <= ownConnections;
    }
}
