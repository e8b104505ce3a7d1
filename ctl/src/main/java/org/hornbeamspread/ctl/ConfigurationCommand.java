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
    public void run(CommandContext session) {
        command.run(session);
    }

    private static ApplyConfigurationResponse apply(CommandContext session, ApplyConfigurationRequest request) {
        return session.client()
                .call(
                        "ApplyConfiguration",
                        request,
                        ApplyConfigurationResponse.getDefaultInstance(),
                        ApplyConfigurationResponse::getFailure);
    }

    private static void printChanges(CommandContext session, ApplyConfigurationResponse answer, String heading) {
        TextTable table = new TextTable(heading);
        answer.getChangesList().forEach(table::row);
        session.print(answer, table);
    }

    /** Whether control and every live proxy hold a version at least as new. */
    static Predicate<Topology> inForce(long version) {
        return topology -> topology.getConfigurationVersion() >= version
                && topology.getProxiesList().stream().allMatch(proxy -> proxy.getConfigurationVersion() >= version);
    }

    private static Topology await(CommandContext session, long version, int timeoutMs) {
        return session.awaitTopology(
                inForce(version),
                Duration.ofMillis(timeoutMs),
                "for version " + version + " at every live proxy; 'proxies' shows which are behind");
    }

    /** Replaces the configuration by a file's. */
    public static final class Load implements Command {
        @Argument(metaVar = "FILE", required = true, usage = "the group file")
        private String file = "";

        @Option(name = "--expected-version", usage = "the version this replaces; default: the current one")
        private long expectedVersion = -1;

        @Option(name = "--request-id", usage = "the same id again gets the first outcome; default: a fresh one")
        private String requestId = "";

        @Option(name = "--dry-run", usage = "check it and show the changes, change nothing")
        private boolean dryRun;

        @Option(name = "--await", usage = "wait until every live proxy has it, and say how long that took")
        private boolean await;

        @Option(name = "--await-timeout-ms", usage = "how long to wait")
        private int awaitTimeoutMs = 30_000;

        @Override
        public void run(CommandContext session) {
            if (!requestId.isEmpty() && expectedVersion < 0) {
                throw new FailureException(
                        FailureType.INVALID_SETTING,
                        "--request-id needs --expected-version, so that a resend is the same request");
            }
            Configuration configuration = ConfigurationFile.read(Path.of(file));
            long expected = expectedVersion >= 0
                    ? expectedVersion
                    : session.configuration().getVersion();
            String id = CommandContext.requestIdOrNew(requestId);
            if (!dryRun) {
                session.printResendHint("--expected-version " + expected + " --request-id " + id);
            }
            Instant start = session.now();
            ApplyConfigurationResponse answer = apply(
                    session,
                    ApplyConfigurationRequest.newBuilder()
                            .setConfiguration(configuration)
                            .setExpectedVersion(expected)
                            .setRequestId(id)
                            .setDryRun(dryRun)
                            .build());
            printChanges(session, answer, dryRun ? "WOULD CHANGE" : "CHANGED");
            if (dryRun) {
                return;
            }
            session.printNote("version " + answer.getVersion() + (answer.getReplayed() ? " (replayed)" : "")
                    + " accepted," + " request id " + id);
            if (await) {
                Topology topology = ConfigurationCommand.await(session, answer.getVersion(), awaitTimeoutMs);
                session.printNote("in force at " + topology.getProxiesCount() + " proxies after "
                        + Duration.between(start, session.now()).toMillis() + " ms");
            }
        }
    }

    /** Prints the configuration. */
    public static final class Show implements Command {
        @Override
        public void run(CommandContext session) {
            Configuration configuration = session.configuration();
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
            session.printNote("version " + configuration.getVersion());
            session.print(configuration, table);
        }
    }

    /** Prints what a file would change. */
    public static final class Diff implements Command {
        @Argument(metaVar = "FILE", required = true, usage = "the group file")
        private String file = "";

        @Override
        public void run(CommandContext session) {
            Configuration configuration = ConfigurationFile.read(Path.of(file));
            ApplyConfigurationResponse answer = apply(
                    session,
                    ApplyConfigurationRequest.newBuilder()
                            .setConfiguration(configuration)
                            .setExpectedVersion(session.configuration().getVersion())
                            .setRequestId(CommandContext.requestIdOrNew(""))
                            .setDryRun(true)
                            .build());
            printChanges(session, answer, "WOULD CHANGE");
        }
    }

    /** Waits until a version is in force. */
    public static final class Await implements Command {
        @Argument(metaVar = "VERSION", required = true, usage = "the version, or a newer one")
        private long version;

        @Option(name = "--await-timeout-ms", usage = "how long to wait")
        private int awaitTimeoutMs = 30_000;

        @Override
        public void run(CommandContext session) {
            Topology topology = ConfigurationCommand.await(session, version, awaitTimeoutMs);
            session.printNote("version " + topology.getConfigurationVersion() + " is in force at "
                    + topology.getProxiesCount() + " proxies");
        }
    }
}
