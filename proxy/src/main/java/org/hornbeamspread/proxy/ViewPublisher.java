package org.hornbeamspread.proxy;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.hornbeamspread.protocol.schema.ViewLease;

/** Publishes the current leased view to all components of the proxy. One thread writes it, any thread may read it. */
final class ViewPublisher {
    /** Longer than a leader change of control takes. */
    private static final Duration ISOLATION_THRESHOLD = Duration.ofSeconds(1);

    private final Clock clock;
    private volatile LeasedView current = LeasedView.NONE;

    ViewPublisher(Clock clock) {
        this.clock = clock;
    }

    LeasedView current() {
        return current;
    }

    /** Whether the lease on the view is valid now. */
    boolean isLeaseValid() {
        return current.isLeaseValidAt(clock.instant());
    }

    /** Whether the lease expired so long ago that a request should fail at once instead of waiting for control. */
    boolean isIsolatedFromControl() {
        return !current.isLeaseValidAt(clock.instant().minus(ISOLATION_THRESHOLD));
    }

    /**
     * Applies a lease granted by control. A lease from an earlier leader term is ignored: it changes neither the view nor
     * the end of the lease.
     *
     * @param sentAt the time when the renewal request was sent
     * @return whether the view has changed
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
