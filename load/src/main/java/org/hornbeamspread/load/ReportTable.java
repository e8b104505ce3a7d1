package org.hornbeamspread.load;

import java.util.Locale;
import java.util.OptionalLong;
import java.util.TreeMap;

/** The report as text for a terminal. */
final class ReportTable {
    private static final String RANK_HEADING = "%-10s %8s %8s %8s %8s %10s %9s %9s%n";
    private static final String RANK_LINE = "%-10s %8d %8d %8d %8d %9.2f%% %9.1f %9.1f%n";

    private final StringBuilder output = new StringBuilder();

    private ReportTable() {}

    /** The text, which ends with a line break. */
    static String render(LoadReport report) {
        ReportTable table = new ReportTable();
        table.appendHeading(report);
        table.appendRanks(report);
        table.appendAuditAndReads(report);
        return table.output.toString();
    }

    private void appendHeading(LoadReport report) {
        LoadReport.Scenario scenario = report.scenario();
        String verdict = report.passed() ? "passed" : "FAILED";
        appendLine("%n%s, fault %s, seed %d: %s%n%n", scenario.user(), scenario.fault(), scenario.seed(), verdict);
    }

    private void appendRanks(LoadReport report) {
        appendLine(RANK_HEADING, "rank", "offered", "served", "refused", "unknown", "in target", "p50 ms", "p99 ms");
        for (RankReport rank : report.ranks()) {
            appendLine(
                    RANK_LINE,
                    rank.name(),
                    rank.offered(),
                    rank.served(),
                    rank.refusedNotRun(),
                    rank.unknown(),
                    rank.withinTargetShare() * 100,
                    rank.p50Ms(),
                    rank.p99Ms());
        }
    }

    private void appendAuditAndReads(LoadReport report) {
        Audit.Result audit = report.audit();
        ReadCounts reads = report.reads();
        appendLine("%nacknowledged %d, lost %d, doubled %d, ", audit.acknowledged(), audit.lost(), audit.doubled());
        appendLine("false not-run %d, unknown %d, ", audit.falseNotRun(), audit.unknown());
        appendLine("unaudited %d%n", audit.unaudited());
        appendLine("read-your-writes: %d violations in %d checks; ", reads.violations(), reads.checks());
        appendLine("reads %d, from replicas %.1f%%%n", reads.served(), reads.replicaShare() * 100);
        appendLine("failover gap %d ms %s; ", report.failoverGapMs(), new TreeMap<>(report.gapMsByGroup()));
        appendLine("configuration in force after %s ms; ", textOrNotMeasured(report.configurationInForceMs()));
        appendLine("between regions %s bytes%n", textOrNotMeasured(report.interRegionBytes()));
        appendLine("failed answers %s; not sent %d%n", new TreeMap<>(report.refusals()), report.notSent());
    }

    private void appendLine(String format, Object... values) {
        output.append(String.format(Locale.ROOT, format, values));
    }

    private static String textOrNotMeasured(OptionalLong value) {
        return value.isPresent() ? Long.toString(value.getAsLong()) : "(not measured)";
    }
}
