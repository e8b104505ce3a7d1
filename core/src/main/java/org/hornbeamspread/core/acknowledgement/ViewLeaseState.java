package org.hornbeamspread.core.acknowledgement;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * How long this proxy may trust its view.
 *
 * <p>Control opens a new term for writes only after every proxy has confirmed the new view or its lease has run out. A
 * proxy that acknowledges only under a fresh lease therefore never acknowledges for a primary that was replaced. The
 * lease runs from the moment the proxy <em>sent</em> the renewal, because control may count it from any later moment;
 * and the proxy gives it up a margin early, because two clocks never run at quite the same rate. Safe for any thread.
 */
public final class ViewLeaseState {
    private static final int MARGIN_DIVISOR = 20;

    private final Clock clock;

    /** Exclusive end; the epoch while no lease was granted. */
    private volatile Instant freshUntil = Instant.EPOCH;

    /** No lease yet. */
    public ViewLeaseState(Clock clock) {
        this.clock = clock;
    }

    /** A renewal was granted. A lease that was granted earlier but runs longer stays. */
    public synchronized void granted(Instant sentAt, Duration lease) {
        Instant end = sentAt.plus(lease).minus(lease.dividedBy(MARGIN_DIVISOR));
        if (end.isAfter(freshUntil)) {
            freshUntil = end;
        }
    }

    /** Whether the view may be trusted now. */
    public boolean isFresh() {
        return clock.instant().isBefore(freshUntil);
    }

    /** Whether the view could be trusted at a moment in the past, under a lease that has been granted by now. */
    public boolean wasFreshAt(Instant moment) {
        return moment.isBefore(freshUntil);
    }
}
