package org.hornbeamspread.control.view;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamspread.core.dissemination.VersionedView;
import org.hornbeamspread.core.dissemination.ViewLeases;
import org.hornbeamspread.core.membership.LiveProxy;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.protocol.schema.ViewLease;

/**
 * The view that one control leader publishes in its term, and the leases on it. A renewal is answered with what changed
 * since the version that the proxy holds; a proxy that holds a view of another leader gets all of it. Confined to one
 * thread.
 */
public final class ViewPublisher {
    private final long leaderTerm;
    private final Duration lease;
    private final VersionedView<GroupView> groups = new VersionedView<>();
    private final ViewLeases<LiveProxy> leases;

    /** For each group, the version that first showed its present term. */
    private final Map<String, TermVersion> termVersions = new HashMap<>();

    private Configuration configuration = Configuration.getDefaultInstance();
    private long configurationVersion;
    private long proxiesVersion;

    /** An empty view of a leader that was elected just now. */
    public ViewPublisher(long leaderTerm, Duration lease, Clock clock) {
        this.leaderTerm = leaderTerm;
        this.lease = lease;
        this.leases = new ViewLeases<>(clock, lease);
    }

    /** The leases on this view. */
    public ViewLeases<LiveProxy> leases() {
        return leases;
    }

    /** The latest version. */
    public long version() {
        return groups.version();
    }

    /** The version that the next change will get. */
    public long nextVersion() {
        return groups.nextVersion();
    }

    /** Publishes a group if it differs from what is published. Its own version is filled in here. */
    public void publish(GroupView view) {
        GroupView published = groups.get(view.getGroup());
        if (published != null
                && published.toBuilder().clearViewVersion().build().equals(view)) {
            return;
        }
        groups.put(
                view.getGroup(),
                version -> view.toBuilder().setViewVersion(version).build());
        TermVersion known = termVersions.get(view.getGroup());
        if (known == null || known.term != view.getTerm()) {
            termVersions.put(view.getGroup(), new TermVersion(view.getTerm(), groups.version()));
        }
    }

    /** Takes back a group that the configuration no longer declares. */
    public void remove(String group) {
        groups.remove(group);
        termVersions.remove(group);
    }

    /** Publishes a configuration if it is newer. */
    public void publish(Configuration next) {
        if (next.getVersion() != configuration.getVersion()) {
            configuration = next;
            configurationVersion = groups.raise();
        }
    }

    /** Publishes that the living proxies changed. */
    public void publishProxies() {
        proxiesVersion = groups.raise();
    }

    /** The version that first showed a group's term; {@link Long#MAX_VALUE} when that term is not published. */
    public long versionOfTerm(String group, long term) {
        TermVersion known = termVersions.get(group);
        return known != null && known.term == term ? known.version : Long.MAX_VALUE;
    }

    /** All published groups. */
    public List<GroupView> groups() {
        return groups.changesSince(0);
    }

    /** All living proxies. */
    public List<ProxyEntry> proxies() {
        return toWire(leases.living());
    }

    /** The version that a proxy holds of this view; 0 for a view of another leader. */
    public long heldVersion(RenewView request) {
        boolean mine = request.getLeaderTerm() == leaderTerm && request.getViewVersion() <= version();
        return mine ? request.getViewVersion() : 0;
    }

    /** Grants a lease with what changed since the version that the proxy holds. */
    public ViewLease grant(LiveProxy proxy, RenewView request, Instant arrivedAt) {
        long held = heldVersion(request);
        leases.grant(proxy.proxyId(), proxy, version(), arrivedAt);
        ViewLease.Builder answer = ViewLease.newBuilder()
                .setLeaderTerm(leaderTerm)
                .setViewVersion(version())
                .setLeaseMs((int) lease.toMillis())
                .setFull(held == 0)
                .addAllGroups(groups.changesSince(held));
        if (held != 0) {
            answer.addAllRemovedGroups(groups.removedSince(held));
        }
        if (configurationVersion > held || held == 0) {
            answer.setConfiguration(configuration);
        }
        if (proxiesVersion > held || held == 0) {
            answer.setProxiesChanged(true).addAllProxies(proxies());
        }
        return answer.build();
    }

    private static List<ProxyEntry> toWire(Collection<LiveProxy> proxies) {
        List<ProxyEntry> entries = new ArrayList<>();
        proxies.forEach(proxy -> entries.add(ViewMessages.toWire(proxy)));
        return entries;
    }

    /** A term and the version that first showed it. */
    private record TermVersion(long term, long version) {}
}
