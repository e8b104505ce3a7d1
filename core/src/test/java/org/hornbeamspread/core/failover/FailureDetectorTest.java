package org.hornbeamspread.core.failover;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against false suspicions, which cause needless promotions: the observer's own link may be cut while most
 * proxies still reach the database, and an unstable link may interrupt contact again soon after a promotion.
 */
final class FailureDetectorTest {
    private static final String DATABASE = "d1";
    private static final Duration STEP = Duration.ofMillis(50);

    private final ManualClock clock = new ManualClock();
    private final FailureDetector detector = new FailureDetector(clock, FailoverTimings.DEFAULT);

    /**
     * @param refused whether a connection to the database failed
     * @param unreachableReports how many of the observers report the database as unreachable
     * @param observers how many proxies sent a current observation
     */
    @ParameterizedTest
    @CsvSource({
        "550, false, 3, 3, 0, false",
        "650, false, 3, 3, 0, true",
        "650, false, 2, 3, 0, true",
        "650, false, 1, 3, 0, false",
        "650, false, 1, 2, 0, false",
        "5000, false, 0, 3, 0, false",
        "650, false, 0, 0, 0, false",
        "1250, false, 0, 0, 0, true",
        "250, true, 0, 0, 0, false",
        "350, true, 0, 0, 0, true",
        "350, true, 0, 2, 0, false",
        "1150, false, 3, 3, 1, false",
        "1250, false, 3, 3, 1, true",
        "2350, false, 3, 3, 2, false",
        "2450, false, 3, 3, 9, true"
    })
    void suspicionDependsOnSilenceConnectionsAndObservers(
            long silentMs,
            boolean refused,
            int unreachableReports,
            int observers,
            int recentPromotions,
            boolean suspected) {
        detector.recordContact(DATABASE);
        for (long elapsedMs = 0; elapsedMs < silentMs; elapsedMs += STEP.toMillis()) {
            clock.advance(STEP);
            detector.detectLocalPause();
        }
        for (int i = 0; i < observers; i++) {
            detector.recordObservation("p" + i, DATABASE, i >= unreachableReports, 5);
        }
        if (refused) {
            detector.recordConnectionFailure(DATABASE);
        }
        assertThat(detector.isSuspected(DATABASE, recentPromotions)).isEqualTo(suspected);
    }
}
