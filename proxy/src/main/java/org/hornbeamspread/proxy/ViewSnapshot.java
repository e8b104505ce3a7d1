package org.hornbeamspread.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.GroupDefinition;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.RankDefinition;
import org.hornbeamspread.protocol.schema.ServiceDefinition;
import org.hornbeamspread.protocol.schema.ViewLease;

/**
 * An immutable snapshot of the system's state as received from control, at one version. {@link #apply} creates a newer
 * one. The terms of groups and the configuration's version never decrease, whatever a lease contains.
 */
final class ViewSnapshot {
    /** The snapshot before the first lease from control. */
    static final ViewSnapshot NONE = new ViewSnapshot(0, 0, Configuration.getDefaultInstance(), Map.of(), Map.of());

    private final long leaderTerm;
    private final long version;
    private final Configuration configuration;
    private final Map<String, GroupView> groups;
    private final Map<String, ProxyEntry> proxies;

    private final Map<String, ServiceDefinition> services = new HashMap<>();
    private final Map<String, GroupDefinition> groupDefinitions = new HashMap<>();
    private final Map<String, RankDefinition> ranks = new HashMap<>();
    private final Map<String, DatabaseEntry> databases = new HashMap<>();

    private ViewSnapshot(
            long leaderTerm,
            long version,
            Configuration configuration,
            Map<String, GroupView> groups,
            Map<String, ProxyEntry> proxies) {
        this.leaderTerm = leaderTerm;
        this.version = version;
        this.configuration = configuration;
        this.groups = Map.copyOf(groups);
        this.proxies = Map.copyOf(proxies);
        configuration.getServicesList().forEach(service -> services.put(service.getName(), service));
        configuration.getGroupsList().forEach(group -> groupDefinitions.put(group.getName(), group));
        configuration.getRanksList().forEach(rank -> ranks.put(rank.getName(), rank));
        groups.values()
                .forEach(group -> group.getDatabasesList()
                        .forEach(database -> databases.put(database.getDatabaseId(), database)));
    }

    /** This snapshot updated by a lease from control; this same object when the lease contains no change. */
    ViewSnapshot apply(ViewLease lease) {
        if (lease.getLeaderTerm() < leaderTerm || isUnchangedBy(lease)) {
            return this;
        }
        Map<String, GroupView> nextGroups = new HashMap<>(lease.getFull() ? Map.of() : groups);
        for (GroupView group : lease.getGroupsList()) {
            GroupView current = groups.get(group.getGroup());
            nextGroups.put(group.getGroup(), current != null && current.getTerm() > group.getTerm() ? current : group);
        }
        lease.getRemovedGroupsList().forEach(nextGroups::remove);
        Map<String, ProxyEntry> nextProxies = new HashMap<>();
        if (lease.getProxiesChanged() || lease.getFull()) {
            lease.getProxiesList().forEach(proxy -> nextProxies.put(proxy.getProxyId(), proxy));
        }
        boolean configurationUpdated =
                lease.hasConfiguration() && lease.getConfiguration().getVersion() >= configuration.getVersion();
        return new ViewSnapshot(
                lease.getLeaderTerm(),
                lease.getViewVersion(),
                configurationUpdated ? lease.getConfiguration() : configuration,
                nextGroups,
                nextProxies.isEmpty() ? proxies : nextProxies);
    }

    private boolean isUnchangedBy(ViewLease lease) {
        return !lease.getFull()
                && lease.getLeaderTerm() == leaderTerm
                && lease.getViewVersion() == version
                && !lease.hasConfiguration()
                && !lease.getProxiesChanged()
                && lease.getGroupsCount() + lease.getRemovedGroupsCount() == 0;
    }

    long leaderTerm() {
        return leaderTerm;
    }

    long version() {
        return version;
    }

    long configurationVersion() {
        return configuration.getVersion();
    }

    /** Whether a configuration has been received. */
    boolean isConfigured() {
        return configuration.getVersion() > 0;
    }

    Collection<GroupView> groups() {
        return groups.values();
    }

    Optional<GroupView> group(String name) {
        return Optional.ofNullable(groups.get(name));
    }

    Optional<ServiceDefinition> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    Optional<RankDefinition> rank(String name) {
        return Optional.ofNullable(ranks.get(name));
    }

    Configuration configuration() {
        return configuration;
    }

    /** The configured number of databases of a group, or the number that the view lists if that is larger. */
    int groupSize(GroupView group) {
        GroupDefinition definition = groupDefinitions.get(group.getGroup());
        return Math.max(definition == null ? 0 : definition.getDatabases(), group.getDatabasesCount());
    }

    Optional<DatabaseEntry> database(String databaseId) {
        return Optional.ofNullable(databases.get(databaseId));
    }

    Collection<DatabaseEntry> databases() {
        return databases.values();
    }

    Optional<ProxyEntry> proxy(String proxyId) {
        return Optional.ofNullable(proxies.get(proxyId));
    }
}
