package org.hornbeamspread.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Arrivals depend on the seed alone. Guards against a flood that changes the ordinary arrivals of a seed: runs with and
 * without a flood would not be comparable.
 */
class ArrivalScheduleTest {
    private static final int SECONDS = 30;

    @ParameterizedTest
    @CsvSource({"entoto,0", "entoto,2", "ujaas,0", "ujaas,2"})
    void aFloodDoesNotChangeTheOrdinaryArrivals(String user, int floodRank) {
        Workload workload = Workload.of(user, 3);
        List<Arrival> ordinary = ArrivalSchedule.of(workload, 2, SECONDS, 5, Optional.empty());
        List<Arrival> flooded = ArrivalSchedule.of(workload, 2, SECONDS, 5, Optional.of(floodRank));
        assertThat(flooded.stream().filter(arrival -> !arrival.flood()).toList())
                .isEqualTo(ordinary);
        assertThat(ordinary.stream().anyMatch(arrival -> !arrival.isMeasured())).isTrue();
        List<Arrival> flood = flooded.stream().filter(Arrival::flood).toList();
        double perSecond = workload.ranks().get(floodRank).floodArrivalsPerSecond();
        assertThat((double) flood.size()).isWithin(perSecond).of(perSecond * SECONDS / 3);
        assertThat(flood.get(0).atUs()).isAtLeast(SECONDS * 1_000_000L / 3);
        assertThat(flood.get(flood.size() - 1).atUs()).isLessThan(SECONDS * 2_000_000L / 3);
        assertThat(ArrivalSchedule.of(workload, 2, SECONDS, 6, Optional.empty()))
                .isNotEqualTo(ordinary);
    }
}
