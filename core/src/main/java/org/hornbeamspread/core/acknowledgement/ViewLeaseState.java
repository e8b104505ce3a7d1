package org.hornbeamspread.core.acknowledgement;

import java.time.Duration;
import java.time.Instant;

/**
 * The lease that limits how long a proxy may use its view.
 *
 * <p>Control makes a new term writable only after each proxy has confirmed the new view or the proxy's lease has
 * expired. A proxy that acknowledges writes only under a valid lease therefore never acknowledges a write for a
 * replaced primary. The lease starts when the proxy <em>sent</em> the renewal, because control may start the lease at
 * any later time. The proxy ends the lease a margin early, because two clocks never run at exactly the same rate.
 *
 * @param validUntil the exclusive end of the lease
 */
public record ViewLeaseState(Instant validUntil) {
    /** The state before the first lease. */
    public static final ViewLeaseState NONE = new ViewLeaseState(Instant.EPOCH);

    /** The margin for clock drift is the lease divided by this number. */
    private static final int CLOCK_DRIFT_MARGIN_DIVISOR = 20;

    /** The state after a renewal was granted. An earlier lease that ends later remains in effect. */
    public ViewLeaseState renewed(Instant sentAt, Duration lease) {
        Instant end = sentAt.plus(lease).minus(lease.dividedBy(CLOCK_DRIFT_MARGIN_DIVISOR));
        return end.isAfter(validUntil) ? new ViewLeaseState(end) : this;
    }

    /** Whether the lease is valid at an instant. */
    public boolean isValidAt(Instant instant) {
        return instant.isBefore(validUntil);
    }
}
