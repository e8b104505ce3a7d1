package org.hornbeamspread.proxy;

import java.util.List;
import java.util.Map;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.GroupDefinition;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.RankDefinition;
import org.hornbeamspread.protocol.schema.ServiceDefinition;
import org.hornbeamspread.protocol.schema.ViewLease;

/** Creates views of one service with one group of three databases: primary a, and replicas b and c. */
final class TestViews {
    static final String GROUP = "g1";
    static final Map<String, String> FAILURE_DOMAINS = Map.of("a", "bole", "b", "piassa", "c", "sabian");

    private TestViews() {}

    static Configuration configuration() {
        return Configuration.newBuilder()
                .setVersion(1)
                .addRanks(RankDefinition.newBuilder()
                        .setName("urgent")
                        .setTargetMs(300)
                        .setWorth(100)
                        .setGuaranteedSharePercent(40))
                .addRanks(RankDefinition.newBuilder()
                        .setName("ledger")
                        .setTargetMs(5000)
                        .setWorth(5)
                        .setGuaranteedSharePercent(20))
                .addGroups(GroupDefinition.newBuilder()
                        .setName(GROUP)
                        .setDatabases(3)
                        .setSlotsPerDatabase(2)
                        .setConnectionsPerDatabase(4))
                .addServices(ServiceDefinition.newBuilder()
                        .setName("rental-core")
                        .addGroups(GROUP)
                        .setStalenessAllowanceMs(2000)
                        .setDefaultTimeoutMs(20_000))
                .build();
    }

    static GroupView group(long term, boolean writable, List<DatabaseEntry> databases) {
        return GroupView.newBuilder()
                .setGroup(GROUP)
                .setTerm(term)
                .setPrimaryId("a")
                .setWritable(writable)
                .addAllDatabases(databases)
                .build();
    }

    static DatabaseEntry database(String id, Endpoint endpoint, String holder, long holderEpoch) {
        return DatabaseEntry.newBuilder()
                .setDatabaseId(id)
                .setIncarnation(1)
                .setEndpoint(endpoint)
                .setFailureDomain(FAILURE_DOMAINS.get(id))
                .setRegion("c".equals(id) ? "dire-dawa" : "addis")
                .setTrusted(true)
                .setReachable(true)
                .setSlots(2)
                .setConnectionLimit(4)
                .setHolderProxyId(holder)
                .setHolderEpoch(holderEpoch)
                .build();
    }

    static ViewLease lease(long version, GroupView group, List<ProxyEntry> proxies) {
        return ViewLease.newBuilder()
                .setLeaderTerm(1)
                .setViewVersion(version)
                .setLeaseMs(1000)
                .setFull(true)
                .setConfiguration(configuration())
                .addGroups(group)
                .addAllProxies(proxies)
                .setProxiesChanged(true)
                .build();
    }
}
