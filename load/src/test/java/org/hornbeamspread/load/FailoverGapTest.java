package org.hornbeamspread.load;

import static com.google.common.truth.Truth.assertThat;

import org.hornbeamspread.core.misc.Effect;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a gap that includes time without a pending write, or that a given-up write closes. */
class FailoverGapTest {
    @ParameterizedTest
    @CsvSource({
        // o = offered, a = acknowledged, g = given up, each at a time; fault, end, gap
        "o10 a12 o100 a103,            0, 200, 3",
        "o10 a12 o500 a503,            0, 600, 3",
        "o10 o11 a12 o20 a900,         0, 900, 888",
        "o10 g300 o400 a900,           0, 900, 890",
        "o10 a12 o20,                  0, 700, 680",
        "o10 a400 o500 a520,         450, 600, 20",
        "'',                           0, 600, 0"
    })
    void theGapIsTheLongestIntervalWithoutAnAcknowledgement(
            String events, long faultAtMs, long endMs, long expectedMs) {
        FailoverGap gap = new FailoverGap();
        for (String event : events.isEmpty() ? new String[0] : events.split(" ", -1)) {
            long atMs = Long.parseLong(event.substring(1));
            switch (event.charAt(0)) {
                case 'o' -> gap.offered(atMs);
                case 'a' -> gap.completed(atMs, Effect.DONE);
                default -> gap.completed(atMs, Effect.NOT_RUN);
            }
        }
        assertThat(gap.longestMs(faultAtMs, endMs)).isEqualTo(expectedMs);
    }
}
