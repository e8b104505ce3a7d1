package org.hornbeamspread.load;

import static com.google.common.truth.Truth.assertThat;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.runtime.MonotonicClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the whole load tool over HTTP against proxies with an injected fault. Each kind of fault must be detected. */
class AuditDetectionTest {
    private static final long SEED = 7;
    private static final int PAYMENTS = 20;

    @ParameterizedTest
    @CsvSource({
        // fault, acknowledged, lost, doubled, falseNotRun, unknown, passed
        "NONE,               20, 0, 0, 0, 0, true",
        "DROPS_ROW,          20, 1, 0, 0, 0, false",
        "RUNS_TWICE,         20, 0, 1, 0, 0, false",
        "ADDS_BALANCE_TWICE, 20, 0, 1, 0, 0, false",
        "RUNS_BUT_REFUSES,   19, 0, 0, 1, 0, false",
        "REFUSES,            19, 0, 0, 0, 0, true",
        "RUNS_WITHOUT_PROOF, 19, 0, 0, 0, 1, true"
    })
    void theAuditDetectsTheFault(
            FakeProxy.Fault fault,
            long acknowledged,
            long lost,
            long doubled,
            long falseNotRun,
            long unknown,
            boolean passed) {
        LoadReport report = run(fault);
        assertThat(report.audit()).isEqualTo(new Audit.Result(acknowledged, lost, doubled, falseNotRun, unknown, 0));
        if (fault != FakeProxy.Fault.DROPS_ROW) {
            assertThat(report.reads().violations()).isEqualTo(0);
        }
        assertThat(report.passed()).isEqualTo(passed);
    }

    @ParameterizedTest
    @CsvSource({"NONE,false", "READS_STALE,true"})
    void aReadWithoutTheSessionsWriteIsAViolation(FakeProxy.Fault fault, boolean violated) {
        LoadReport report = run(fault);
        assertThat(report.reads().checks()).isAtLeast(PAYMENTS);
        assertThat(report.reads().violations() > 0).isEqualTo(violated);
        assertThat(report.passed()).isEqualTo(!violated);
        assertThat(report.audit().isConsistent()).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"NONE,0", "DROPS_ROW,1", "RUNS_TWICE,1", "RUNS_BUT_REFUSES,1"})
    void theExitCodeReportsTheAuditResult(FakeProxy.Fault fault, int code) {
        try (FakeProxy proxy = new FakeProxy(fault)) {
            java.io.PrintStream discard = new java.io.PrintStream(java.io.OutputStream.nullOutputStream());
            String proxies = "p1=" + proxy.endpoint() + ",p2=" + proxy.endpoint();
            assertThat(LoadMain.run(
                            Map.of(),
                            discard,
                            discard,
                            "--proxies",
                            proxies,
                            "--seconds",
                            "1",
                            "--warm-up-seconds",
                            "0"))
                    .isEqualTo(code);
        }
    }

    private static LoadReport run(FakeProxy.Fault fault) {
        Clock clock = new MonotonicClock();
        RankWorkload urgent = new RankWorkload("urgent", RequestKind.PAYMENT, 1, 0, 60_000, 2_000, 1);
        RankWorkload reads = new RankWorkload("stock", RequestKind.SESSION_READ, 1, 0, 60_000, 2_000, 1);
        Workload workload = new Workload("test", "service", List.of("g1"), PAYMENTS, List.of(urgent, reads));
        List<Arrival> schedule = new ArrayList<>();
        for (int i = 0; i < PAYMENTS; i++) {
            schedule.add(new Arrival(i, 0, false));
        }
        try (FakeProxy proxy = new FakeProxy(fault)) {
            HttpProxyClient proxyClient = HttpProxyClient.parse("p1=" + proxy.endpoint() + ",p2=" + proxy.endpoint());
            try (LoadRun run =
                    new LoadRun(workload, proxyClient, schedule, SEED, Duration.ZERO, clock, (second, state) -> {})) {
                run.run();
                Audit.Result audit =
                        LoadMain.audit(workload, proxyClient, run.callers().ledger(), clock);
                return new LoadReport(
                        new LoadReport.Scenario("test", SEED, "none", 0, -1),
                        audit,
                        run.callers().reads(),
                        Map.of(),
                        List.of(),
                        OptionalLong.empty(),
                        OptionalLong.empty(),
                        run.callers().rankReports(),
                        Map.<FailureType, Long>of(),
                        0);
            }
        }
    }
}
