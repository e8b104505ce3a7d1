package org.hornbeamspread.ctl;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Predicate;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ApplyConfigurationRequest;
import org.hornbeamspread.protocol.schema.ApplyConfigurationResponse;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.GroupDefinition;
import org.hornbeamspread.protocol.schema.RankDefinition;
import org.hornbeamspread.protocol.schema.ServiceDefinition;
import org.hornbeamspread.protocol.schema.Topology;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** {@code configuration load|show|diff|await}. */
public final class ConfigurationCommand implements Command {
    @Argument(metaVar = "load|show|diff|await", required = true, handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "load", impl = Load.class),
        @SubCommand(name = "show", impl = Show.class),
        @SubCommand(name = "diff", impl = Diff.class),
        @SubCommand(name = "await", impl = Await.class)
    })
    private Command command;

    @Override
    public void run(CommandContext context) {
        command.run(context);
    }

    private static ApplyConfigurationResponse apply(CommandContext context, ApplyConfigurationRequest request) {
        return context.client()
                .call(
                        "ApplyConfiguration",
                        request,
                        ApplyConfigurationResponse.getDefaultInstance(),
                        ApplyConfigurationResponse::getFailure);
    }

    private static void printChanges(CommandContext context, ApplyConfigurationResponse answer, String heading) {
        TextTable table = new TextTable(heading);
        answer.getChangesList().forEach(table::row);
        context.print(answer, table);
    }

    /** Whether control and every live proxy have the given version or a newer one. */
    static Predicate<Topology> inForce(long version) {
        return topology -> topology.getConfigurationVersion() >= version
                && topology.getProxiesList().stream().allMatch(proxy -> proxy.getConfigurationVersion() >= version);
    }

    private static Topology await(CommandContext context, long version, int timeoutMs) {
        return context.awaitTopology(
                inForce(version),
                Duration.ofMillis(timeoutMs),
                "for version " + version + " at every live proxy; 'proxies' shows which are behind");
    }

    /** {@code configuration load FILE}: replaces the configuration by the contents of a file. */
    public static final class Load implements Command {
        @Argument(metaVar = "FILE", required = true, usage = "the group file")
        private String file = "";

        @Option(name = "--expected-version", usage = "the version to replace; default: the current version")
        private long expectedVersion = -1;

        @Option(name = "--request-id", usage = "a resend with the same id gets the first outcome; default: a new id")
        private String requestId = "";

        @Option(name = "--dry-run", usage = "validate the file and show the changes without applying them")
        private boolean dryRun;

        @Option(
                name = "--await",
                usage = "wait until every live proxy has the new version, and print how long that took")
        private boolean await;

        @Option(name = "--await-timeout-ms", usage = "how long to wait")
        private int awaitTimeoutMs = 30_000;

        @Override
        public void run(CommandContext context) {
            if (!requestId.isEmpty() && expectedVersion < 0) {
                throw new FailureException(
                        FailureType.INVALID_SETTING,
                        "--request-id needs --expected-version, so that a resend is the same request");
            }
            Configuration configuration = ConfigurationFile.read(Path.of(file));
            long expected = expectedVersion >= 0
                    ? expectedVersion
                    : context.configuration().getVersion();
            String id = CommandContext.requestIdOrNew(requestId);
            if (!dryRun) {
                context.printResendHint("--expected-version " + expected + " --request-id " + id);
            }
            Instant start = context.now();
            ApplyConfigurationResponse answer = apply(
                    context,
                    ApplyConfigurationRequest.newBuilder()
                            .setConfiguration(configuration)
                            .setExpectedVersion(expected)
                            .setRequestId(id)
                            .setDryRun(dryRun)
                            .build());
            printChanges(context, answer, dryRun ? "WOULD CHANGE" : "CHANGED");
            if (dryRun) {
                return;
            }
            context.printNote("version " + answer.getVersion() + (answer.getReplayed() ? " (replayed)" : "")
                    + " accepted," + " request id " + id);
            if (await) {
                Topology topology = ConfigurationCommand.await(context, answer.getVersion(), awaitTimeoutMs);
                context.printNote("in force at " + topology.getProxiesCount() + " proxies after "
                        + Duration.between(start, context.now()).toMillis() + " ms");
            }
        }
    }

    /** {@code configuration show}: prints the configuration. */
    public static final class Show implements Command {
        @Override
        public void run(CommandContext context) {
            Configuration configuration = context.configuration();
            TextTable table = new TextTable("KIND", "NAME", "SETTINGS");
            for (RankDefinition rank : configuration.getRanksList()) {
                table.row(
                        "rank",
                        rank.getName(),
                        "target " + rank.getTargetMs() + " ms, worth " + rank.getWorth() + ", share "
                                + rank.getGuaranteedSharePercent() + " %");
            }
            for (GroupDefinition group : configuration.getGroupsList()) {
                table.row(
                        "group",
                        group.getName(),
                        group.getDatabases() + " databases, each " + group.getSlotsPerDatabase() + " slots and "
                                + group.getConnectionsPerDatabase() + " connections");
            }
            for (ServiceDefinition service : configuration.getServicesList()) {
                table.row(
                        "service",
                        service.getName(),
                        "groups " + String.join(",", service.getGroupsList()) + ", staleness allowance "
                                + service.getStalenessAllowanceMs() + " ms, timeout " + service.getDefaultTimeoutMs()
                                + " ms");
            }
            context.printNote("version " + configuration.getVersion());
            context.print(configuration, table);
        }
    }

    /** {@code configuration diff FILE}: prints the changes that loading a file would make. */
    public static final class Diff implements Command {
        @Argument(metaVar = "FILE", required = true, usage = "the group file")
        private String file = "";

        @Override
        public void run(CommandContext context) {
            Configuration configuration = ConfigurationFile.read(Path.of(file));
            ApplyConfigurationResponse answer = apply(
                    context,
                    ApplyConfigurationRequest.newBuilder()
                            .setConfiguration(configuration)
                            .setExpectedVersion(context.configuration().getVersion())
                            .setRequestId(CommandContext.requestIdOrNew(""))
                            .setDryRun(true)
                            .build());
            printChanges(context, answer, "WOULD CHANGE");
        }
    }

    /** {@code configuration await VERSION}: waits until a version is in force at every live proxy. */
    public static final class Await implements Command {
        @Argument(metaVar = "VERSION", required = true, usage = "the version, or a newer one")
        private long version;

        @Option(name = "--await-timeout-ms", usage = "how long to wait")
        private int awaitTimeoutMs = 30_000;

        @Override
        public void run(CommandContext context) {
            Topology topology = ConfigurationCommand.await(context, version, awaitTimeoutMs);
            context.printNote("version " + topology.getConfigurationVersion() + " is in force at "
                    + topology.getProxiesCount() + " proxies");
        }
    }
}
