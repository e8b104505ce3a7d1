package org.hornbeamspread.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.runtime.CommandLine;
import org.hornbeamspread.runtime.MonotonicClock;

/** The main class of hornbeamspread-load. */
public final class LoadMain {
    private static final String BINARY = "hornbeamspread-load";
    private static final int EXIT_PASSED = 0;
    private static final int EXIT_FAILED = 1;
    private static final int URGENT_RANK_INDEX = 0;
    private static final int LOWEST_RANK_INDEX = 2;
    private static final Duration AUDIT_TIMEOUT = Duration.ofSeconds(60);

    private LoadMain() {}

    /**
     * Runs a workload. Exits with 0 when every guarantee held, 1 when one was violated or could not be checked, 2 on a
     * wrong flag.
     */
    public static void main(String[] arguments) {
        System.exit(run(System.getenv(), System.out, System.err, arguments));
    }

    /** Runs a workload and returns the exit code. */
    static int run(Map<String, String> environment, PrintStream out, PrintStream err, String... arguments) {
        if (CommandLine.printHelpOrVersion(BINARY, new LoadOptions(), out, arguments)) {
            return EXIT_PASSED;
        }
        try {
            LoadOptions options = CommandLine.parse(new LoadOptions(), environment, arguments);
            LoadReport report = run(options, out);
            out.print(ReportTable.render(report));
            if (!options.report.isEmpty()) {
                write(Path.of(options.report), ReportJson.render(report));
            }
            if (!options.page.isEmpty()) {
                write(
                        Path.of(options.page),
                        ReportPage.render(report, report.scenario().faultAtSeconds()));
            }
            return report.passed() ? EXIT_PASSED : EXIT_FAILED;
        } catch (FailureException e) {
            err.println(BINARY + ": " + e.type() + ": " + e.getMessage());
            return e.type() == FailureType.INVALID_SETTING ? CommandLine.EXIT_USAGE : EXIT_FAILED;
        }
    }

    private static LoadReport run(LoadOptions options, PrintStream out) {
        if (options.seconds < 1 || options.groups < 1 || options.warmUpSeconds < 0) {
            throw new FailureException(
                    FailureType.INVALID_SETTING,
                    "--seconds and --groups must be at least 1, --warm-up-seconds at least 0");
        }
        Workload workload = Workload.of(options.user, options.groups);
        ProxyClient proxyClient = HttpProxyClient.parse(options.proxies);
        List<Arrival> schedule = ArrivalSchedule.of(
                workload, options.warmUpSeconds, options.seconds, options.seed, floodRank(options.fault));
        Clock clock = new MonotonicClock();
        try (LoadRun run = new LoadRun(
                workload,
                proxyClient,
                schedule,
                options.seed,
                Duration.ofSeconds(options.warmUpSeconds),
                clock,
                progressPrinter(out))) {
            if (!options.startFile.isEmpty()) {
                write(Path.of(options.startFile), run.start().toEpochMilli() + "\n");
            }
            LinkBytesMeter bytes = new LinkBytesMeter(options.linkControl);
            run.run();
            OptionalLong interRegionBytes = bytes.sinceStart();
            Audit.Result audit = audit(workload, proxyClient, run.callers().ledger(), clock);
            return report(options, workload, run, interRegionBytes, audit);
        }
    }

    /** Reads the rows from the databases and compares the ledger with them. */
    static Audit.Result audit(Workload workload, ProxyClient proxyClient, Ledger ledger, Clock clock) {
        return Audit.compare(ledger, new AuditReader(proxyClient, workload, clock).read(ledger, AUDIT_TIMEOUT));
    }

    private static Optional<Integer> floodRank(String fault) {
        return switch (fault) {
            case "flood-low" -> Optional.of(LOWEST_RANK_INDEX);
            case "flood-urgent" -> Optional.of(URGENT_RANK_INDEX);
            default -> Optional.empty();
        };
    }

    private static java.util.function.BiConsumer<Integer, LoadRun> progressPrinter(PrintStream out) {
        return (second, run) -> {
            StringBuilder line = new StringBuilder("t=" + second + " s");
            run.callers()
                    .rankReports()
                    .forEach(rank -> line.append("  " + rank.name() + " " + rank.served() + "/" + rank.offered()));
            out.println(line.append("  in flight ").append(run.dispatcher().inFlight()));
        };
    }

    private static LoadReport report(
            LoadOptions options, Workload workload, LoadRun run, OptionalLong interRegionBytes, Audit.Result audit) {
        long endMs = run.nowUs() / 1_000;
        long faultAtMs = readFaultTimeMs(options.faultTimeFile) - run.start().toEpochMilli();
        Map<String, Long> gaps = new HashMap<>();
        run.callers().gaps().forEach((group, gap) -> gaps.put(group, gap.longestMs(Math.max(0, faultAtMs), endMs)));
        List<String> affected =
                options.affectedGroups.isEmpty() ? workload.groups() : List.of(options.affectedGroups.split(",", -1));
        return new LoadReport(
                new LoadReport.Scenario(
                        options.user, options.seed, options.fault, options.seconds, faultAtMs / 1_000.0),
                audit,
                run.callers().reads(),
                gaps,
                affected,
                options.configurationInForceMs < 0
                        ? OptionalLong.empty()
                        : OptionalLong.of(options.configurationInForceMs),
                interRegionBytes,
                run.callers().rankReports(),
                run.dispatcher().refusals(),
                run.dispatcher().notSent());
    }

    /** The time of the fault in ms since 1970, from the file; 0 without a file. */
    private static long readFaultTimeMs(String file) {
        if (file.isEmpty() || !Files.exists(Path.of(file))) {
            return 0;
        }
        try {
            return Long.parseLong(Files.readString(Path.of(file)).strip());
        } catch (IOException | NumberFormatException e) {
            throw new FailureException(FailureType.INVALID_SETTING, "no time in ms since 1970 in " + file, e);
        }
    }

    private static void write(Path file, String text) {
        try {
            if (file.getParent() != null) {
                Files.createDirectories(file.getParent());
            }
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new FailureException(FailureType.INVALID_SETTING, "can't write " + file, e);
        }
    }
}
