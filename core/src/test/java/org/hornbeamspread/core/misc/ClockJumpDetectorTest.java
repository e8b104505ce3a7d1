package org.hornbeamspread.core.misc;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against ages that are wrong because the machine was suspended while they were measured. */
final class ClockJumpDetectorTest {
    private final ManualClock monotonicClock = new ManualClock(Instant.EPOCH);
    private final ManualClock wallClock = new ManualClock(Instant.ofEpochSecond(1_000_000));

    @ParameterizedTest
    @CsvSource({
        "both clocks advance, 500, 500, 0",
        "a machine was suspended, 0, 4000, 1",
        "the wall clock jumped ahead, 100, 2500, 1",
        "the wall clock jumped back, 100, -2300, 1",
        "a small drift, 1000, 1020, 0"
    })
    void aJumpOfOneClockAgainstTheOtherStartsAnEpoch(String name, long monotonicMs, long wallMs, long expectedEpoch) {
        ClockJumpDetector detector = new ClockJumpDetector(monotonicClock, wallClock);
        monotonicClock.advance(Duration.ofMillis(monotonicMs));
        wallClock.advance(Duration.ofMillis(wallMs));

        assertThat(detector.epoch()).isEqualTo(expectedEpoch);
        assertThat(detector.epoch()).isEqualTo(expectedEpoch);
    }
}
