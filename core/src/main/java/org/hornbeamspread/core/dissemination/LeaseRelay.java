package org.hornbeamspread.core.dissemination;

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
 *   <li>what the relay confirms upstream is the oldest view that any proxy with a running lease may still act on
 *       ({@link ViewLeases}), never the relay's own;
 *   <li>a proxy is granted only the newest view that the relay holds, so that the oldest one only moves forward.
 * </ol>
 *
 * <p>Corner cases: a relay that restarts, or that follows a new leader, has forgotten or no longer counts its grants: it
 * confirms nothing until the longest lease that it may have handed out is over. A proxy that moves to another relay is
 * counted by both. Confined to one thread.
 */
public final class LeaseRelay {
    private final Clock clock;
    private final Duration maxLeaseDuration;

    /** The leases handed out under the present leader. */
    private ViewLeases<String> proxyLeases;

    /** What the leader granted; NONE until the first answer. */
    private Lease leaderLease = Lease.NONE;

    /**
     * A relay that has just started.
     *
     * @param clock monotonic
     * @param longestLease the longest lease that an earlier run may have handed out
     */
    public LeaseRelay(Clock clock, Duration longestLease) {
        this.clock = clock;
        this.maxLeaseDuration = longestLease;
        this.proxyLeases = new ViewLeases<>(clock, longestLease);
    }

    /**
     * The leader answered a renewal that was sent at {@code sentAt}. An answer that is older than what is held, by term
     * and version, changes nothing.
     */
    public void onLeaderResponse(Instant sentAt, long leaderTerm, long viewVersion, Duration lease) {
        Lease answered = new Lease(leaderTerm, viewVersion, sentAt.plus(lease));
        if (leaderLease.isLaterThan(answered)) {
            return;
        }
        if (leaderLease.leaderTerm() != 0 && leaderTerm != leaderLease.leaderTerm()) {
            proxyLeases = new ViewLeases<>(clock, maxLeaseDuration);
        }
        if (answered.isLaterThan(leaderLease) || answered.expiresAt().isAfter(leaderLease.expiresAt())) {
            leaderLease = answered;
        }
    }

    /**
     * Grants a proxy a lease on the newest view, to be counted from the moment the proxy sent its renewal. The lease's
     * end is in this relay's time; hand out {@link Lease#remainingAt}. {@link Lease#NONE} when the relay has none left.
     *
     * @param proxyId the proxy
     * @param heldLeaderTerm the leader's term of the view that the proxy holds, 0 for none
     * @param heldViewVersion the version that the proxy holds, 0 for none
     */
    public Lease renew(String proxyId, long heldLeaderTerm, long heldViewVersion) {
        if (!leaderLease.isValidAt(clock.instant())) {
            return Lease.NONE;
        }
        if (heldLeaderTerm == leaderLease.leaderTerm()) {
            proxyLeases.confirm(proxyId, heldViewVersion);
        }
        proxyLeases.grantUntil(proxyId, proxyId, leaderLease.viewVersion(), leaderLease.expiresAt());
        return leaderLease;
    }

    /** The version to confirm with the next renewal: the oldest that any proxy may still act on; 0 when not known. */
    public long confirmedVersion() {
        proxyLeases.expire();
        return Math.min(leaderLease.viewVersion(), proxyLeases.oldestActiveVersion());
    }
}
