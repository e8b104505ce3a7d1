package org.hornbeamspread.core.lease;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * Hands the leader's lease on to the proxies of one failure domain, so that the leader serves one relay for each domain
 * instead of every proxy.
 *
 * <p><b>The problem.</b> A promotion may open its new term only when no proxy can still act on the old view. The leader
 * knows that when each proxy has either confirmed the new view or seen its lease run out. With 7,500 proxies that
 * renew three times a second, the leader alone would answer 25,000 renewals a second.
 *
 * <p><b>The naive way</b> is a cache: the relay answers renewals from what it last heard, with a full lease each time.
 * That fails: a relay cut off from the leader would prolong old views for ever, and a relay that reports its own
 * version as confirmed would let the leader go on while a proxy behind it has not heard.
 *
 * <p><b>The invariant.</b> At each instant the leader's record for a relay covers every proxy behind it. It is kept by
 * three rules:
 *
 * <ol>
 *   <li>a proxy's lease ends no later than the relay's own, whose end is counted from the moment the relay
 *       <em>sent</em> its renewal, while the leader counts from the moment it received it;
 *   <li>what the relay confirms upstream is the oldest view that any proxy with a running lease may still hold, never
 *       the relay's own;
 *   <li>a proxy is granted only the newest view that the relay holds, so that the oldest one only moves forward.
 * </ol>
 *
 * <p>Corner cases: a proxy that renews with an older view than the relay holds is granted a lease on the newer one, and
 * counts as holding the older until it renews again. A relay that restarts has forgotten its grants: it confirms nothing
 * until the longest lease that it may have handed out is over. A proxy that moves to another relay is counted by both.
 * Not safe for several threads.
 */
public final class LeaseRelay {
    private final Clock clock;
    private final LeaseTable proxies = new LeaseTable();
    private final Instant forgottenUntil;
    private final Duration keep;

    /** What the leader granted; NONE until the first answer. */
    private Lease upstream = Lease.NONE;

    /**
     * A relay that has just started.
     *
     * @param clock monotonic
     * @param longestLease the longest lease that an earlier run may have handed out
     */
    public LeaseRelay(Clock clock, Duration longestLease) {
        this.clock = clock;
        this.keep = longestLease;
        this.forgottenUntil = clock.instant().plus(longestLease);
    }

    /**
     * The leader answered a renewal that was sent at {@code sentAt}. An answer that is older than what is held, by term
     * and version, changes nothing.
     */
    public void onUpstream(Instant sentAt, long leaderTerm, long viewVersion, Duration lease) {
        Lease answered = new Lease(leaderTerm, viewVersion, sentAt.plus(lease));
        if (upstream.isLaterThan(answered)) {
            return;
        }
        boolean sameView = !answered.isLaterThan(upstream);
        if (!sameView || answered.until().isAfter(upstream.until())) {
            upstream = answered;
        }
    }

    /**
     * Grants a proxy a lease on the newest view, to be counted from the moment the proxy sent its renewal. The lease's
     * end is in this relay's time; hand out {@link Lease#remainingAt}. {@link Lease#NONE} when the relay has none left.
     *
     * @param proxyId the proxy
     * @param confirmedLeaderTerm the leader's term of the view that the proxy holds, 0 for none
     * @param confirmedViewVersion the version that the proxy holds, 0 for none
     */
    public Lease renew(String proxyId, long confirmedLeaderTerm, long confirmedViewVersion) {
        Instant now = clock.instant();
        if (!upstream.holdsAt(now)) {
            return Lease.NONE;
        }
        proxies.granted(proxyId, new Lease(confirmedLeaderTerm, confirmedViewVersion, now), upstream.until());
        return upstream;
    }

    /** The view to confirm with the next renewal: the oldest that any proxy behind this relay may still act on. */
    public Lease confirmed() {
        Instant now = clock.instant();
        proxies.expire(now, keep);
        return now.isBefore(forgottenUntil) ? Lease.NONE : proxies.oldestHeld(upstream, now);
    }

    /** Proxies with a running lease. */
    public int leasedProxies() {
        return proxies.size(clock.instant());
    }
}
