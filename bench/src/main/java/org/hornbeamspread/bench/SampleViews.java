package org.hornbeamspread.bench;

import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.ViewLease;

/** Sample views of a given size, with names as long as in a real deployment. */
final class SampleViews {
    private static final int DATABASES_PER_GROUP = 3;
    private static final int DATABASE_PORT = 6432;
    private static final int SLOTS = 5;
    private static final int CONNECTION_LIMIT = 35;

    private SampleViews() {}

    /** A full view of the given number of databases, three in each group. */
    static ViewLease fullView(int databases) {
        ViewLease.Builder view = ViewLease.newBuilder()
                .setLeaderTerm(7)
                .setViewVersion(1_000_000)
                .setLeaseMs(1_000)
                .setFull(true);
        for (int group = 0; group < databases / DATABASES_PER_GROUP; group++) {
            view.addGroups(groupView(group));
        }
        return view.build();
    }

    /** The view of one group. */
    static GroupView groupView(int number) {
        GroupView.Builder group = GroupView.newBuilder()
                .setGroup("rental-core-" + number)
                .setTerm(9)
                .setViewVersion(1_000_000L + number)
                .setPrimaryId("rental-core-" + number + "-0")
                .setWritable(true);
        for (int i = 0; i < DATABASES_PER_GROUP; i++) {
            group.addDatabases(databaseEntry(number, i));
        }
        return group.build();
    }

    /** One proxy's entry. */
    static ProxyEntry proxyEntry(int number) {
        return ProxyEntry.newBuilder()
                .setProxyId("proxy-" + number)
                .setFailureDomain("domain-" + number % 15)
                .setRegion("region-" + number % 5)
                .setPeer(endpoint(number))
                .setHttp(endpoint(number))
                .setConfigurationVersion(4_600)
                .setIncarnation(1_760_000_000_000L + number)
                .build();
    }

    private static DatabaseEntry databaseEntry(int group, int index) {
        return DatabaseEntry.newBuilder()
                .setDatabaseId("rental-core-" + group + "-" + index)
                .setIncarnation(1_760_000_000_000L + group)
                .setEndpoint(endpoint(group))
                .setFailureDomain("domain-" + (group + index) % 15)
                .setRegion("region-" + group % 5)
                .setTrusted(true)
                .setReachable(true)
                .setSlots(SLOTS)
                .setConnectionLimit(CONNECTION_LIMIT)
                .setHolderProxyId("proxy-" + group)
                .setHolderEpoch(3)
                .build();
    }

    private static Endpoint endpoint(int number) {
        return Endpoint.newBuilder()
                .setHost("10." + number / 65_536 % 256 + "." + number / 256 % 256 + "." + number % 256)
                .setPort(DATABASE_PORT)
                .build();
    }
}
