package org.hornbeamspread.core.misc;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ClockJumpDetectorTest {
    private final ManualClock monotonicClock = new ManualClock(Instant.EPOCH);
    private final ManualClock wallClock = new ManualClock(Instant.ofEpochSecond(1_000_000));

    @ParameterizedTest
    @CsvSource({
        "both go on, 500, 500, 0",
        "a machine was suspended, 0, 4000, 1",
        "the time of day jumped ahead, 100, 2500, 1",
        "the time of day jumped back, 100, -2300, 1",
        "a small drift, 1000, 1020, 0"
    })
    void aJumpOfOneClockAgainstTheOtherStartsAnEpoch(String name, long steadyMs, long timeOfDayMs, long epochs) {
        ClockJumpDetector guard = new ClockJumpDetector(monotonicClock, wallClock);
        monotonicClock.advance(Duration.ofMillis(steadyMs));
        wallClock.advance(Duration.ofMillis(timeOfDayMs));

        assertThat(guard.epoch()).isEqualTo(epochs);
        assertThat(guard.epoch()).isEqualTo(epochs);
    }
}
