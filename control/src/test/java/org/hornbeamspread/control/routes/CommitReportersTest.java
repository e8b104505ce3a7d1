package org.hornbeamspread.control.routes;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.hornbeamspread.core.failover.SilentParties.SilentProxy;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A proxy that was killed or stood still was taken for one without commits to report, and they were lost with it (issue 56). */
final class CommitReportersTest {
    private static final long INCARNATION = 11;

    private final ManualClock clock = new ManualClock();
    private final CommitReporters reporters = new CommitReporters(clock);

    @BeforeEach
    void leadForSomeTime() {
        reporters.onLeadershipGained();
        advance(CommitReporters.RETENTION_MS + 1);
    }

    @ParameterizedTest
    @CsvSource({"0, true", "4, true", "5, false", "6, false"})
    void proxyIsSilentUntilItHasReportedUnderTheSealOrALaterOne(long sealedToken, boolean silent) {
        reporters.onRequest("p1", INCARNATION, Map.of("ledger", sealedToken), false);

        assertThat(reporters.silent("ledger", 5).isEmpty()).isEqualTo(!silent);
        assertThat(reporters.hasReported("p1", "ledger", 5)).isEqualTo(!silent);
    }

    @Test
    void reportOfAnotherServiceIsNone() {
        reporters.onRequest("p1", INCARNATION, Map.of("orders", 5L), false);
        advance(300);

        assertThat(reporters.silent("ledger", 5)).containsExactly(new SilentProxy("p1", 300, 0));
    }

    @ParameterizedTest
    @CsvSource({"10000, 1", "10001, 0"})
    void proxyThatDoesNotReturnIsDropped(long silentMs, int expected) {
        reporters.onRequest("p1", INCARNATION, Map.of(), false);
        advance(silentMs);

        assertThat(reporters.silent("ledger", 5)).hasSize(expected);
    }

    /** The process that takes the place of a killed one reports commits of its own alone. */
    @Test
    void reportOfARestartedProxyIsNotThatOfTheProcessBefore() {
        reporters.onRequest("p1", INCARNATION, Map.of(), false);
        advance(700);
        reporters.onRequest("p1", INCARNATION + 1, Map.of("ledger", 5L), false);
        advance(200);

        assertThat(reporters.silent("ledger", 5)).containsExactly(new SilentProxy("p1", 900, 200));
    }

    /** Between promotions, a leader of many weeks would remember each process that ever watched it. */
    @Test
    void processesOfLongAgoAreForgottenWithoutAPromotion() {
        for (int i = 0; i < 100; i++) {
            reporters.onRequest("p1", INCARNATION + i, Map.of(), false);
            reporters.onRequest("scaled-in-" + i, INCARNATION, Map.of(), false);
            advance(5_000);
        }

        assertThat(reporters.size()).isAtMost(8);
    }

    /** A rolling restart of all proxies must not delay promotions. */
    @Test
    void proxyThatLeftWithALastReportIsNotSilent() {
        reporters.onRequest("p1", INCARNATION, Map.of(), false);
        reporters.onRequest("p1", INCARNATION, Map.of(), true);
        assertThat(reporters.silent("ledger", 5)).isEmpty();
        reporters.onRequest("p1", INCARNATION + 1, Map.of("ledger", 5L), false);

        assertThat(reporters.silent("ledger", 5)).isEmpty();
    }

    /** A new leader doesn't know which proxies watched the one before. */
    @Test
    void newLeaderAssumesProxiesThatItDoesNotKnow() {
        reporters.onRequest("p1", INCARNATION, Map.of("ledger", 5L), false);
        reporters.onLeadershipGained();
        reporters.onRequest("p1", INCARNATION, Map.of("ledger", 5L), false);
        advance(1_000);

        List<SilentProxy> silent = reporters.silent("ledger", 5);
        assertThat(silent).hasSize(1);
        assertThat(silent.get(0).endedAgoMs()).isEqualTo(0);
        assertThat(silent.get(0).reportAgeMs()).isEqualTo(1_000);
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
    }
}
