package org.hornbeamspread.core.dissemination;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The leases under which proxies act on a view.
 *
 * <p>A proxy acknowledges writes and uses connections only while its lease is valid. It is therefore certain that no
 * proxy acts on a view older than version v once each proxy has confirmed v or later, or all its leases granted with an
 * older view have expired.
 *
 * <p><b>Naive approach.</b> Waiting until the proxy's latest lease has expired may take forever: if the proxy's
 * requests arrive but the responses are lost, the proxy keeps renewing without receiving the new view. Therefore each
 * grant is stored with the version that its response carried. Grants with version v or later don't count against v,
 * since a proxy accepts such a lease only together with the view in it.
 *
 * <p><b>Clocks.</b> The proxy counts its lease from the moment at which it sent the request, control from the moment at
 * which the request arrived, which is later. A margin covers clocks that run at different rates.
 *
 * <p><b>Leader change.</b> Leases granted by earlier leaders are not recorded here. No version counts as released until
 * one full lease has passed since the start of this leader. Confined to one thread.
 *
 * @param <P> the type of the description stored with each proxy
 */
public final class ViewLeases<P> {
    /** The fraction by which control extends a lease beyond the proxy's, for clocks that run at different rates. */
    private static final double CLOCK_RATE_MARGIN = 0.01;

    private final Clock clock;
    private final Duration leaseWithMargin;
    private final Instant previousLeadersLeasesExpireAt;
    private final Map<String, Entry<P>> entries = new HashMap<>();

    /** Creates an empty record; must be called when this leader is elected or later. */
    public ViewLeases(Clock clock, Duration lease) {
        this.clock = clock;
        this.leaseWithMargin = lease.plusNanos((long) (lease.toNanos() * CLOCK_RATE_MARGIN));
        this.previousLeadersLeasesExpireAt = clock.instant().plus(leaseWithMargin);
    }

    /** Records the version of this leader's view that a proxy holds. Without a lease there is no record to update. */
    public void confirm(String proxyId, long version) {
        Entry<P> entry = entries.get(proxyId);
        if (entry != null) {
            entry.confirmedVersion = Math.max(entry.confirmedVersion, version);
        }
    }

    /** Records a lease whose response carries a view version, for a request that arrived at the given time. */
    public void grant(String proxyId, P proxy, long version, Instant arrivedAt) {
        grantUntil(proxyId, proxy, version, arrivedAt.plus(leaseWithMargin));
    }

    /** Records a lease whose response carries a view version, and that has certainly expired at the given time. */
    public void grantUntil(String proxyId, P proxy, long version, Instant expiresAt) {
        Entry<P> entry = entries.computeIfAbsent(proxyId, id -> new Entry<>());
        entry.proxy = proxy;
        Instant latestExpiry = expiresAt;
        Grant last = entry.grants.peekLast();
        if (last != null && last.version == version) {
            entry.grants.removeLast();
            latestExpiry = latestExpiry.isAfter(last.expiresAt) ? latestExpiry : last.expiresAt;
        }
        entry.grants.addLast(new Grant(version, latestExpiry));
    }

    /** Removes proxies whose last lease has expired, and returns their names. */
    public List<String> expire() {
        Instant now = clock.instant();
        List<String> expired = new ArrayList<>();
        Iterator<Map.Entry<String, Entry<P>>> all = entries.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<String, Entry<P>> next = all.next();
            next.getValue().removeExpiredGrants(now);
            if (next.getValue().grants.isEmpty()) {
                expired.add(next.getKey());
                all.remove();
            }
        }
        return expired;
    }

    /** Whether leases granted by earlier leaders may still be valid. */
    public boolean previousLeadersLeasesMayBeValid() {
        return clock.instant().isBefore(previousLeadersLeasesExpireAt);
    }

    /** The oldest version that any proxy may still act on; {@link Long#MAX_VALUE} if no lease is valid. */
    public long oldestActiveVersion() {
        if (previousLeadersLeasesMayBeValid()) {
            return 0;
        }
        Instant now = clock.instant();
        return entries.values().stream()
                .mapToLong(entry -> entry.oldestActiveVersion(now))
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Whether a proxy can no longer act on a view older than this version. Considers only leases that this leader
     * granted.
     */
    public boolean isReleased(String proxyId, long version) {
        Entry<P> entry = entries.get(proxyId);
        return entry == null || entry.oldestActiveVersion(clock.instant()) >= version;
    }

    /** The description of a proxy with a lease. */
    public Optional<P> find(String proxyId) {
        return Optional.ofNullable(entries.get(proxyId)).map(entry -> entry.proxy);
    }

    /** The number of proxies with a lease. */
    public int size() {
        return entries.size();
    }

    /** The descriptions of all proxies with a lease. */
    public Collection<P> liveProxies() {
        return entries.values().stream().map(entry -> entry.proxy).toList();
    }

    /** A lease granted with a view version. */
    private record Grant(long version, Instant expiresAt) {}

    /** One proxy's leases, in the order of their versions. */
    private static final class Entry<P> {
        private final Deque<Grant> grants = new ArrayDeque<>();
        private P proxy;
        private long confirmedVersion;

        /**
         * The oldest version that the proxy may still act on. The proxy holds the version that it confirmed, or a later
         * one that a valid lease was granted with.
         */
        long oldestActiveVersion(Instant now) {
            return grants.stream()
                    .filter(grant -> grant.expiresAt.isAfter(now))
                    .mapToLong(grant -> Math.max(grant.version, confirmedVersion))
                    .min()
                    .orElse(Long.MAX_VALUE);
        }

        void removeExpiredGrants(Instant now) {
            grants.removeIf(grant -> !grant.expiresAt.isAfter(now));
        }
    }
}
