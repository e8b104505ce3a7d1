package org.hornbeamspread.core.dissemination;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * Grants leases to the proxies of one failure domain under the lease that the leader granted to the relay, so that the
 * leader serves one relay for each domain instead of every proxy.
 *
 * <p><b>Problem.</b> A promotion may start its new term only when no proxy can still act on the old view. The leader
 * can prove this once each proxy has either confirmed the new view or let its lease expire. With 7,500 proxies that
 * renew three times a second, the leader alone would answer 25,000 renewals a second.
 *
 * <p><b>Naive approach.</b> The relay acts as a cache: it answers renewals from the leader's last response, with a full
 * lease each time. This fails in two ways. A relay partitioned from the leader would extend leases on old views
 * indefinitely. A relay that confirms its own version would let the leader proceed while a proxy behind the relay has
 * not received the new view.
 *
 * <p><b>Invariant.</b> At each instant the leader's record for a relay covers every proxy behind it. Three rules
 * maintain the invariant:
 *
 * <ol>
 *   <li>A proxy's lease expires no later than the relay's own lease. The relay counts its lease from the moment at
 *       which it <em>sent</em> its renewal, while the leader counts from the moment at which the renewal arrived.
 *   <li>The version that the relay confirms to the leader is the oldest that any proxy with a valid lease may still act
 *       on ({@link ViewLeases}), never the relay's own version.
 *   <li>A proxy is granted only the newest view that the relay holds, so that the oldest active version never
 *       decreases.
 * </ol>
 *
 * <p><b>Corner cases.</b> A relay that restarts has lost its record of grants, and a relay that follows a new leader
 * discards it. In both cases the relay confirms no version until the longest lease that it may have granted has
 * expired. A proxy that moves to another relay is counted by both relays. Confined to one thread.
 */
public final class LeaseRelay {
    private final Clock clock;
    private final Duration maxLeaseDuration;

    /** The leases granted to proxies under the current leader. */
    private ViewLeases<String> proxyLeases;

    /** The lease that the leader granted to this relay; NONE until the first response. */
    private Lease leaderLease = Lease.NONE;

    /**
     * Creates a relay without a lease.
     *
     * @param clock a monotonic clock
     * @param maxLeaseDuration the longest lease that an earlier run of this relay may have granted
     */
    public LeaseRelay(Clock clock, Duration maxLeaseDuration) {
        this.clock = clock;
        this.maxLeaseDuration = maxLeaseDuration;
        this.proxyLeases = new ViewLeases<>(clock, maxLeaseDuration);
    }

    /**
     * Applies the leader's response to a renewal that was sent at {@code sentAt}. A response for an older view than
     * that of the current lease, compared by term and version, is ignored.
     */
    public void onLeaderResponse(Instant sentAt, long leaderTerm, long viewVersion, Duration lease) {
        Lease received = new Lease(leaderTerm, viewVersion, sentAt.plus(lease));
        if (leaderLease.isLaterThan(received)) {
            return;
        }
        if (leaderLease.leaderTerm() != 0 && leaderTerm != leaderLease.leaderTerm()) {
            proxyLeases = new ViewLeases<>(clock, maxLeaseDuration);
        }
        if (received.isLaterThan(leaderLease) || received.expiresAt().isAfter(leaderLease.expiresAt())) {
            leaderLease = received;
        }
    }

    /**
     * Grants a proxy a lease on the newest view, counted from the moment at which the proxy sent its renewal. The
     * returned expiry refers to this relay's clock; send {@link Lease#remainingAt} to the proxy. Returns {@link
     * Lease#NONE} if the relay's own lease has expired.
     *
     * @param proxyId the name of the proxy
     * @param heldLeaderTerm the leader's term of the view that the proxy holds, 0 if it holds none
     * @param heldViewVersion the version of the view that the proxy holds, 0 if it holds none
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

    /** The version to confirm with the next renewal: the oldest that any proxy may still act on, or 0 if unknown. */
    public long confirmedVersion() {
        proxyLeases.expire();
        return Math.min(leaderLease.viewVersion(), proxyLeases.oldestActiveVersion());
    }
}
