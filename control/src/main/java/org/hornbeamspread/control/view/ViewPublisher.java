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
 * The view that one control leader publishes during its term, and the leases on it. The response to a renewal contains
 * the changes since the version that the proxy holds; a proxy that holds a view of another leader receives the full
 * view. Confined to one thread.
 */
public final class ViewPublisher {
    private final long leaderTerm;
    private final Duration lease;
    private final VersionedView<GroupView> groups = new VersionedView<>();
    private final ViewLeases<LiveProxy> leases;

    /** For each group, the first version that contained its current term. */
    private final Map<String, TermVersion> termVersions = new HashMap<>();

    private Configuration configuration = Configuration.getDefaultInstance();
    private long configurationVersion;
    private long proxiesVersion;

    /** Creates the empty view of a leader that has just been elected. */
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

    /** Publishes a group if it differs from the published one. This method sets the group's view version. */
    public void publish(GroupView view) {
        GroupView published = groups.get(view.getGroup());
        if (published != null
                && published.toBuilder().clearViewVersion().build().equals(view)) {
            return;
        }
        groups.put(
                view.getGroup(),
                version -> view.toBuilder().setViewVersion(version).build());
        TermVersion termVersion = termVersions.get(view.getGroup());
        if (termVersion == null || termVersion.term != view.getTerm()) {
            termVersions.put(view.getGroup(), new TermVersion(view.getTerm(), groups.version()));
        }
    }

    /** Removes a group that the configuration no longer declares. */
    public void remove(String group) {
        groups.remove(group);
        termVersions.remove(group);
    }

    /** Publishes a configuration if its version differs from the published one. */
    public void publish(Configuration newConfiguration) {
        if (newConfiguration.getVersion() != configuration.getVersion()) {
            configuration = newConfiguration;
            configurationVersion = groups.incrementVersion();
        }
    }

    /** Publishes the proxies that have a lease, after a change. */
    public void publishProxies() {
        proxiesVersion = groups.incrementVersion();
    }

    /** The first version that contained a group's term; {@link Long#MAX_VALUE} when that term is not published. */
    public long versionOfTerm(String group, long term) {
        TermVersion termVersion = termVersions.get(group);
        return termVersion != null && termVersion.term == term ? termVersion.version : Long.MAX_VALUE;
    }

    /** All published groups. */
    public List<GroupView> groups() {
        return groups.changesSince(0);
    }

    /** All proxies that have a lease. */
    public List<ProxyEntry> proxies() {
        return toWire(leases.liveProxies());
    }

    /** The version of this view that a proxy holds; 0 when the proxy holds a view of another leader. */
    public long heldVersion(RenewView request) {
        boolean publishedHere = request.getLeaderTerm() == leaderTerm && request.getViewVersion() <= version();
        return publishedHere ? request.getViewVersion() : 0;
    }

    /** Grants a lease, with the changes since the version that the proxy holds. */
    public ViewLease grant(LiveProxy proxy, RenewView request, Instant arrivedAt) {
        long heldVersion = heldVersion(request);
        leases.grant(proxy.proxyId(), proxy, version(), arrivedAt);
        ViewLease.Builder response = ViewLease.newBuilder()
                .setLeaderTerm(leaderTerm)
                .setViewVersion(version())
                .setLeaseMs((int) lease.toMillis())
                .setFull(heldVersion == 0)
                .addAllGroups(groups.changesSince(heldVersion));
        if (heldVersion != 0) {
            response.addAllRemovedGroups(groups.removedSince(heldVersion));
        }
        if (configurationVersion > heldVersion || heldVersion == 0) {
            response.setConfiguration(configuration);
        }
        if (proxiesVersion > heldVersion || heldVersion == 0) {
            response.setProxiesChanged(true).addAllProxies(proxies());
        }
        return response.build();
    }

    private static List<ProxyEntry> toWire(Collection<LiveProxy> proxies) {
        List<ProxyEntry> entries = new ArrayList<>();
        proxies.forEach(proxy -> entries.add(ViewMessages.toWire(proxy)));
        return entries;
    }

    /** A term and the first version that contained it. */
    private record TermVersion(long term, long version) {}
}
