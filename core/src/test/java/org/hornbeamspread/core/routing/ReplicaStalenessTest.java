package org.hornbeamspread.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ReplicaStalenessTest {
    private final ManualClock clock = new ManualClock();

    /** The primary's position is requested at 0, 100 and 200 ms and is (1,5), (1,8) and (2,9); now is 250 ms. */
    @ParameterizedTest
    @CsvSource({"1, 5, 250", "1, 7, 250", "1, 8, 150", "2, 9, 50", "2, 30, 50"})
    void boundIsTheTimeSinceTheLatestCoveredSample(long term, long index, long stalenessMs) {
        ReplicaStaleness staleness = withSamples(8);
        assertThat(staleness.upperBound(new LogPosition(term, index), clock.instant()))
                .hasValue(Duration.ofMillis(stalenessMs));
    }

    @Test
    void boundGrowsWithoutNewSamplesAndIsEmptyWithoutACoveredSample() {
        ReplicaStaleness staleness = withSamples(8);
        clock.advance(Duration.ofSeconds(9));
        assertThat(staleness.upperBound(new LogPosition(2, 9), clock.instant())).hasValue(Duration.ofMillis(9050));
        assertThat(staleness.upperBound(new LogPosition(1, 4), clock.instant()).isPresent())
                .isFalse();
    }

    @Test
    void samplesOfAnEarlierTermOrOutOfOrderAreIgnored() {
        ReplicaStaleness staleness = withSamples(8);
        Instant start = clock.instant().minusMillis(250);
        staleness.addSample(clock.instant(), new LogPosition(1, 20));
        staleness.addSample(start, new LogPosition(3, 1));
        assertThat(staleness.upperBound(new LogPosition(1, 20), clock.instant()))
                .hasValue(Duration.ofMillis(150));
    }

    @Test
    void droppedSamplesOnlyRaiseTheBound() {
        ReplicaStaleness staleness = withSamples(2);
        assertThat(staleness.upperBound(new LogPosition(1, 7), clock.instant()).isPresent())
                .isFalse();
        assertThat(staleness.upperBound(new LogPosition(1, 8), clock.instant())).hasValue(Duration.ofMillis(150));
    }

    @Test
    void lagIsTheTimeBetweenPrimaryAndReplicaReports() {
        ReplicationLag lag = new ReplicationLag();
        assertThat(lag.typicalLag(clock.instant()).isPresent()).isFalse();
        lag.recordPrimaryPosition(new LogPosition(1, 5), clock.instant());
        clock.advance(Duration.ofMillis(8));
        lag.recordReplicaPosition(new LogPosition(1, 5), clock.instant());
        assertThat(lag.typicalLag(clock.instant())).hasValue(Duration.ofMillis(8));
        lag.recordPrimaryPosition(new LogPosition(1, 6), clock.instant());
        clock.advance(Duration.ofMillis(300));
        assertThat(lag.typicalLag(clock.instant())).hasValue(Duration.ofMillis(300));
    }

    private ReplicaStaleness withSamples(int maxSamples) {
        ReplicaStaleness staleness = new ReplicaStaleness(maxSamples);
        staleness.addSample(clock.instant(), new LogPosition(1, 5));
        clock.advance(Duration.ofMillis(100));
        staleness.addSample(clock.instant(), new LogPosition(1, 8));
        clock.advance(Duration.ofMillis(100));
        staleness.addSample(clock.instant(), new LogPosition(2, 9));
        clock.advance(Duration.ofMillis(50));
        return staleness;
    }
}
