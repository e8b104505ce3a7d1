package org.hornbeamspread.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ReplicaAgeTest {
    private final ManualClock clock = new ManualClock();

    /** The primary is asked at 0, 100 and 200 ms and is at (1,5), (1,8) and (2,9); now is 250 ms. */
    @ParameterizedTest
    @CsvSource({"1, 5, 250", "1, 7, 250", "1, 8, 150", "2, 9, 50", "2, 30, 50"})
    void aStateIsNoOlderThanTheLastQuestionThatItAnswers(long term, long index, long ageMs) {
        ReplicaAge age = sampled(8);
        assertThat(age.bound(new LogPosition(term, index), clock.instant())).hasValue(Duration.ofMillis(ageMs));
    }

    @Test
    void silenceMakesAReplicaOlderAndNothingIsProvenWithoutASample() {
        ReplicaAge age = sampled(8);
        clock.advance(Duration.ofSeconds(9));
        assertThat(age.bound(new LogPosition(2, 9), clock.instant())).hasValue(Duration.ofMillis(9050));
        assertThat(age.bound(new LogPosition(1, 4), clock.instant()).isPresent())
                .isFalse();
    }

    @Test
    void anAnswerOfAReplacedPrimaryOrOutOfOrderIsNoSample() {
        ReplicaAge age = sampled(8);
        Instant start = clock.instant().minusMillis(250);
        age.addSample(clock.instant(), new LogPosition(1, 20));
        age.addSample(start, new LogPosition(3, 1));
        assertThat(age.bound(new LogPosition(1, 20), clock.instant())).hasValue(Duration.ofMillis(150));
    }

    @Test
    void droppedSamplesOnlyRaiseTheBound() {
        ReplicaAge age = sampled(2);
        assertThat(age.bound(new LogPosition(1, 7), clock.instant()).isPresent())
                .isFalse();
        assertThat(age.bound(new LogPosition(1, 8), clock.instant())).hasValue(Duration.ofMillis(150));
    }

    @Test
    void lagIsTheTimeFromThePrimarysReportToTheReplicas() {
        ReplicationLag lag = new ReplicationLag();
        assertThat(lag.typical(clock.instant()).isPresent()).isFalse();
        lag.primaryAt(new LogPosition(1, 5), clock.instant());
        clock.advance(Duration.ofMillis(8));
        lag.replicaAt(new LogPosition(1, 5), clock.instant());
        assertThat(lag.typical(clock.instant())).hasValue(Duration.ofMillis(8));
        lag.primaryAt(new LogPosition(1, 6), clock.instant());
        clock.advance(Duration.ofMillis(300));
        assertThat(lag.typical(clock.instant())).hasValue(Duration.ofMillis(300));
    }

    private ReplicaAge sampled(int maxSamples) {
        ReplicaAge age = new ReplicaAge(maxSamples);
        age.addSample(clock.instant(), new LogPosition(1, 5));
        clock.advance(Duration.ofMillis(100));
        age.addSample(clock.instant(), new LogPosition(1, 8));
        clock.advance(Duration.ofMillis(100));
        age.addSample(clock.instant(), new LogPosition(2, 9));
        clock.advance(Duration.ofMillis(50));
        return age;
    }
}
