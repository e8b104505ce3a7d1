package org.hornbeamspread.ctl;

import java.time.Duration;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.Topology;
import org.hornbeamspread.transport.AddressTranslator;
import org.kohsuke.args4j.Option;

/** Commands that show the state of the running system. */
public final class TopologyCommands {
    private TopologyCommands() {}

    private static String orDash(String value) {
        return value.isEmpty() ? "-" : value;
    }

    private static TextTable groupTable(Topology topology) {
        TextTable table = new TextTable("GROUP", "TERM", "PRIMARY", "WRITABLE", "DATABASES");
        for (GroupView group : topology.getGroupsList()) {
            table.row(
                    group.getGroup(),
                    group.getTerm(),
                    orDash(group.getPrimaryId()),
                    group.getWritable(),
                    group.getDatabasesCount());
        }
        return table;
    }

    private static TextTable databaseTable(Topology topology) {
        TextTable table = new TextTable(
                "DATABASE", "GROUP", "ROLE", "DOMAIN", "ENDPOINT", "REACHABLE", "TRUSTED", "DEPARTING", "HOLDER");
        for (GroupView group : topology.getGroupsList()) {
            for (DatabaseEntry database : group.getDatabasesList()) {
                boolean isPrimary = database.getDatabaseId().equals(group.getPrimaryId());
                table.row(
                        database.getDatabaseId(),
                        group.getGroup(),
                        isPrimary ? "primary" : "replica",
                        database.getFailureDomain(),
                        AddressTranslator.format(database.getEndpoint()),
                        database.getReachable(),
                        database.getTrusted(),
                        database.getDeparting(),
                        orDash(database.getHolderProxyId()));
            }
        }
        return table;
    }

    private static TextTable proxyTable(Topology topology) {
        TextTable table = new TextTable("PROXY", "DOMAIN", "REGION", "HTTP", "CONFIGURATION", "DRAINING");
        for (ProxyEntry proxy : topology.getProxiesList()) {
            table.row(
                    proxy.getProxyId(),
                    proxy.getFailureDomain(),
                    proxy.getRegion(),
                    AddressTranslator.format(proxy.getHttp()),
                    proxy.getConfigurationVersion(),
                    proxy.getDraining());
        }
        return table;
    }

    /** {@code topology}: prints the groups, databases and proxies. */
    public static final class Overview implements Command {
        @Override
        public void run(CommandContext context) {
            Topology topology = context.topology();
            context.printNote("configuration version " + topology.getConfigurationVersion() + ", control leader "
                    + orDash(topology.getControlLeaderId()));
            context.print(topology, groupTable(topology));
            context.printNote(databaseTable(topology).render());
            context.printNote(proxyTable(topology).render());
        }
    }

    /** {@code groups}: prints the database groups. */
    public static final class Groups implements Command {
        @Option(name = "--await-writable", usage = "wait until every group has a writable primary")
        private boolean awaitWritable;

        @Option(name = "--await-timeout-ms", usage = "how long to wait")
        private int awaitTimeoutMs = 30_000;

        @Override
        public void run(CommandContext context) {
            Topology topology = awaitWritable
                    ? context.awaitTopology(
                            current -> current.getGroupsCount() > 0
                                    && current.getGroupsList().stream().allMatch(GroupView::getWritable),
                            Duration.ofMillis(awaitTimeoutMs),
                            "for a writable primary in every group; 'databases' shows what is missing")
                    : context.topology();
            context.print(topology, groupTable(topology));
        }
    }

    /** {@code databases}: prints the databases of all groups. */
    public static final class Databases implements Command {
        @Override
        public void run(CommandContext context) {
            Topology topology = context.topology();
            context.print(topology, databaseTable(topology));
        }
    }

    /** {@code proxies}: prints the live proxies. */
    public static final class Proxies implements Command {
        @Option(name = "--await", metaVar = "N", usage = "wait until at least this many proxies are live")
        private int await;

        @Option(name = "--await-timeout-ms", usage = "how long to wait")
        private int awaitTimeoutMs = 30_000;

        @Override
        public void run(CommandContext context) {
            Topology topology = context.awaitTopology(
                    current -> current.getProxiesCount() >= await,
                    Duration.ofMillis(awaitTimeoutMs),
                    "for " + await + " live proxies; see the proxies' logs");
            context.print(topology, proxyTable(topology));
        }
    }
}
