package org.hornbeamspread.core.lease;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * What a grantor remembers of the leases it gave out: for each child, the newest view it has confirmed and the latest
 * instant at which any lease it was given can still hold.
 *
 * <p>A child confirms a version by renewing while it holds it. A grantor may go on to act against an old version once
 * every child has confirmed a later one or its leases have run out. A child that confirms never goes back, so a
 * confirmation may be trusted however late it is read. Not safe for several threads.
 */
final class LeaseTable {
    private record Child(Lease confirmed, Instant until) {}

    private final Map<String, Child> children = new HashMap<>();

    /** Records that a child confirmed a view and was then granted a lease until an instant. */
    void granted(String child, Lease confirmed, Instant until) {
        Child before = children.get(child);
        Instant latest = before == null || before.until().isBefore(until) ? until : before.until();
        Lease newest = before == null || confirmed.isLaterThan(before.confirmed()) ? confirmed : before.confirmed();
        children.put(child, new Child(newest, latest));
    }

    /** Forgets children whose leases ran out at least {@code keep} ago. */
    void expire(Instant now, Duration keep) {
        children.values().removeIf(child -> !now.isBefore(child.until().plus(keep)));
    }

    /** The oldest view that any child with a running lease may still act on; {@code newest} when there is none. */
    Lease oldestHeld(Lease newest, Instant now) {
        Lease oldest = newest;
        for (Child child : children.values()) {
            if (now.isBefore(child.until()) && oldest.isLaterThan(child.confirmed())) {
                oldest = child.confirmed();
            }
        }
        return oldest;
    }

    /** Children with a running lease. */
    int size(Instant now) {
        int running = 0;
        for (Child child : children.values()) {
            running += now.isBefore(child.until()) ? 1 : 0;
        }
        return running;
    }
}
