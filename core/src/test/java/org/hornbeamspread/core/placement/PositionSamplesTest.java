package org.hornbeamspread.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.placement.PositionSamples.Sample;
import org.junit.jupiter.api.Test;

final class PositionSamplesTest {
    private final PositionSamples samples = new PositionSamples();

    @Test
    void oldestSampleWithinTheAllowanceIsReturned() {
        samples.add(sample(0, 1, 10));
        samples.add(sample(500, 1, 20));
        samples.add(sample(1_000, 1, 30));

        assertThat(samples.oldestWithin(1_600, 1_500)).hasValue(sample(500, 1, 20));
        assertThat(samples.oldestWithin(2_600, 1_500)).isEqualTo(Optional.empty());
    }

    @Test
    void newTermDropsSamplesOfEarlierTerms() {
        samples.add(sample(0, 1, 50));
        samples.add(sample(500, 2, 40));

        assertThat(samples.oldestWithin(600, 1_500)).hasValue(sample(500, 2, 40));
        samples.add(sample(700, 1, 60));
        assertThat(samples.latest()).hasValue(sample(500, 2, 40));
    }

    @Test
    void noSampleRemainsAfterAClockJump() {
        samples.add(sample(0, 1, 10));
        samples.clear();

        assertThat(samples.oldestWithin(1, 1_500)).isEqualTo(Optional.empty());
    }

    /** For any samples, the required position covers every commit acknowledged before the allowance. */
    @Property
    void noCommitOlderThanTheAllowanceIsMissed(
            @ForAll @Size(max = 200) java.util.List<@IntRange(max = 300) Integer> gapsMs) {
        PositionSamples sampled = new PositionSamples();
        long nowMs = 0;
        long commits = 0;
        for (int gapMs : gapsMs) {
            nowMs += gapMs;
            commits++;
            sampled.add(sample(nowMs, 1, commits));
            long coveredUntilMs = nowMs - 1_000;
            long acknowledged = acknowledgedBefore(gapsMs, coveredUntilMs);
            Optional<Sample> required = sampled.oldestWithin(nowMs, 1_000);
            required.ifPresent(
                    sample -> assertThat(sample.position().indexEntries()).isAtLeast(acknowledged));
        }
    }

    /** Commit n is acknowledged at the time of sample n. */
    private static long acknowledgedBefore(java.util.List<Integer> gapsMs, long timeMs) {
        long acknowledgedAtMs = 0;
        long count = 0;
        for (int gapMs : gapsMs) {
            acknowledgedAtMs += gapMs;
            if (acknowledgedAtMs <= timeMs) {
                count++;
            }
        }
        return count;
    }

    private static Sample sample(long requestedAtMs, long term, long entries) {
        return new Sample(requestedAtMs, new LogPosition(term, entries));
    }
}
