package org.hornbeamspread.proxy;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.hornbeamspread.protocol.schema.ViewLease;

/** Holds the leased view that everything in this proxy acts on. One thread writes it, any thread reads it. */
final class ViewPublisher {
    /** Longer than a change of control's leader takes. */
    private static final Duration CUT_OFF_AFTER = Duration.ofSeconds(1);

    private final Clock clock;
    private volatile LeasedView current = LeasedView.NONE;

    ViewPublisher(Clock clock) {
        this.clock = clock;
    }

    LeasedView current() {
        return current;
    }

    /** Whether the view may be trusted now. */
    boolean isFresh() {
        return current.isLeaseValidAt(clock.instant());
    }

    /** Whether the lease ran out so long ago that waiting for control is not worth a request's time. */
    boolean isCutOff() {
        return !current.isLeaseValidAt(clock.instant().minus(CUT_OFF_AFTER));
    }

    /**
     * Takes an answer of control in. An answer of an earlier leader changes nothing and renews nothing.
     *
     * @param sentAt when the renewal was sent
     * @return whether there is a new snapshot to act on
     */
    boolean apply(ViewLease lease, Instant sentAt) {
        LeasedView before = current;
        if (lease.getLeaderTerm() < before.view().leaderTerm()) {
            return false;
        }
        ViewSnapshot next = before.view().apply(lease);
        current = new LeasedView(next, before.lease().renewed(sentAt, Duration.ofMillis(lease.getLeaseMs())));
        return next != before.view();
    }
}
