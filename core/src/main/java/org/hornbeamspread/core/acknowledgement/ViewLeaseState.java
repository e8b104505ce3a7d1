package org.hornbeamspread.core.acknowledgement;

import java.time.Duration;
import java.time.Instant;

/**
 * How long this proxy may trust its view.
 *
 * <p>Control opens a new term for writes only after every proxy has confirmed the new view or its lease has run out. A
 * proxy that acknowledges only under a fresh lease therefore never acknowledges for a primary that was replaced. The
 * lease runs from the moment the proxy <em>sent</em> the renewal, because control may count it from any later moment;
 * and the proxy gives it up a margin early, because two clocks never run at quite the same rate.
 *
 * @param freshUntil exclusive end of the lease
 */
public record ViewLeaseState(Instant validUntil) {
    /** Before the first lease. */
    public static final ViewLeaseState NONE = new ViewLeaseState(Instant.EPOCH);

    private static final int CLOCK_DRIFT_MARGIN_DIVISOR = 20;

    /** The state after a renewal was granted. A lease that was granted earlier but runs longer stays. */
    public ViewLeaseState renewed(Instant sentAt, Duration lease) {
        Instant end = sentAt.plus(lease).minus(lease.dividedBy(CLOCK_DRIFT_MARGIN_DIVISOR));
        return end.isAfter(validUntil) ? new ViewLeaseState(end) : this;
    }

    /** Whether the view may be trusted at a moment. */
    public boolean isValidAt(Instant moment) {
        return moment.isBefore(validUntil);
    }
}
