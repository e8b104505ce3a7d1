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
 * <p>A proxy acknowledges writes, and uses connections, only while its lease runs. So the question "does anyone still act
 * on a view older than version v" has a sure answer: no, once each proxy has confirmed v or later, or the leases that
 * were granted with an older view have run out.
 *
 * <p>The naive test, whether the proxy's latest lease has run out, never ends for a proxy whose requests arrive while its
 * answers are lost: it renews for ever without learning the new view. Therefore each grant is kept with the version
 * that its answer carried; grants with v or later don't count against v, since a proxy takes such a lease only together
 * with the view in it.
 *
 * <p>The proxy counts its lease from when it sent the request, control from when the request arrived, which is later;
 * a margin covers clocks that run at different speeds. Leases of earlier leaders are unknown here, so nothing counts as
 * over until a whole lease has passed since this leader began. Confined to one thread.
 *
 * @param <P> what is kept with a proxy
 */
public final class ViewLeases<P> {
    /** Control's lease is longer than the proxy's by this share, for clocks that run at different speeds. */
    private static final double CLOCK_RATE_MARGIN = 0.01;

    private final Clock clock;
    private final Duration leaseWithMargin;
    private final Instant previousLeadersLeasesExpireAt;
    private final Map<String, Entry<P>> entries = new HashMap<>();

    /** Starts at the moment this leader was elected or later. */
    public ViewLeases(Clock clock, Duration lease) {
        this.clock = clock;
        this.leaseWithMargin = lease.plusNanos((long) (lease.toNanos() * CLOCK_RATE_MARGIN));
        this.previousLeadersLeasesExpireAt = clock.instant().plus(leaseWithMargin);
    }

    /** Notes that a proxy holds a view of this leader's. Without a running lease there is nothing to note. */
    public void confirm(String proxyId, long version) {
        Entry<P> entry = entries.get(proxyId);
        if (entry != null) {
            entry.confirmedVersion = Math.max(entry.confirmedVersion, version);
        }
    }

    /** Notes a lease whose answer carries a view version, for a request that arrived at the given time. */
    public void grant(String proxyId, P proxy, long version, Instant arrivedAt) {
        grantUntil(proxyId, proxy, version, arrivedAt.plus(leaseWithMargin));
    }

    /** Notes a lease whose answer carries a view version, and that has certainly run out at an instant. */
    public void grantUntil(String proxyId, P proxy, long version, Instant end) {
        Entry<P> entry = entries.computeIfAbsent(proxyId, id -> new Entry<>());
        entry.proxy = proxy;
        Instant until = end;
        Grant last = entry.grants.peekLast();
        if (last != null && last.version == version) {
            entry.grants.removeLast();
            until = until.isAfter(last.expiresAt) ? until : last.expiresAt;
        }
        entry.grants.addLast(new Grant(version, until));
    }

    /** Forgets proxies whose last lease has run out, and returns their names. */
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

    /** Whether leases of earlier leaders may still run. */
    public boolean previousLeadersLeasesMayBeValid() {
        return clock.instant().isBefore(previousLeadersLeasesExpireAt);
    }

    /** The oldest version that any proxy may still act on; {@link Long#MAX_VALUE} when no lease runs. */
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

    /** Whether one proxy can't act on a view older than this version any longer, as far as this leader granted it. */
    public boolean isReleased(String proxyId, long version) {
        Entry<P> entry = entries.get(proxyId);
        return entry == null || entry.oldestActiveVersion(clock.instant()) >= version;
    }

    /** What is known of a proxy with a lease. */
    public Optional<P> find(String proxyId) {
        return Optional.ofNullable(entries.get(proxyId)).map(entry -> entry.proxy);
    }

    /** How many proxies have a lease. */
    public int size() {
        return entries.size();
    }

    /** All proxies with a lease. */
    public Collection<P> liveProxies() {
        return entries.values().stream().map(entry -> entry.proxy).toList();
    }

    /** A lease granted with a view. */
    private record Grant(long version, Instant expiresAt) {}

    /** One proxy's leases, in the order of their versions. */
    private static final class Entry<P> {
        private final Deque<Grant> grants = new ArrayDeque<>();
        private P proxy;
        private long confirmedVersion;

        /** It holds what it confirmed, or else some view that a running lease was granted with. */
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
