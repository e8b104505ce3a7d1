package org.hornbeamspread.core.route;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A departure, a later start time or a high sequence that another writer sent made each further announcement of a running database
 * outdated, so that it was never registered again. A delayed announcement must not have that effect.
 */
final class OutdatedAnnouncementsTest {
    private static final long INTERVAL_MS = 1_200;
    private static final long LONG_AGO = Long.MIN_VALUE;

    private final ManualClock clock = new ManualClock();
    private final OutdatedAnnouncements announcements = new OutdatedAnnouncements(clock);

    @Test
    void anInstanceThatContinuesForThreeSecondsMayBeReinstated() {
        assertThat(announce(1, LONG_AGO)).isFalse();
        assertThat(announce(2, LONG_AGO)).isFalse();
        assertThat(announce(3, LONG_AGO)).isFalse();

        assertThat(announce(4, LONG_AGO)).isTrue();
    }

    /** After a partition, announcements of several nodes arrive together. */
    @Test
    void announcementsThatArriveTogetherAreNotEnough() {
        for (int sequence = 1; sequence <= 9; sequence++) {
            assertThat(announcements.onOutdated(instance(sequence, 100, false), LONG_AGO))
                    .isFalse();
        }
    }

    @Test
    void aRepeatedAnnouncementIsNotEnough() {
        for (int i = 0; i < 9; i++) {
            assertThat(announce(1, LONG_AGO)).isFalse();
        }
    }

    /** While the later incarnation that is registered announces itself too, it stays. The series begins after its last announcement. */
    @Test
    void theSeriesBeginsAfterTheLastAcceptedAnnouncement() {
        announce(1, LONG_AGO);
        announce(2, LONG_AGO);
        long acceptedAtMs = clock.millis();
        for (int sequence = 3; sequence <= 6; sequence++) {
            assertThat(announce(sequence, clock.millis())).isFalse();
            acceptedAtMs = clock.millis();
        }
        for (int sequence = 7; sequence <= 10; sequence++) {
            assertThat(announce(sequence, acceptedAtMs)).isFalse();
        }

        assertThat(announce(11, acceptedAtMs)).isTrue();
    }

    /** A departed database may run on for seconds, and then announces that it drains. */
    @Test
    void aDrainingInstanceIsNotReinstated() {
        for (int sequence = 1; sequence <= 9; sequence++) {
            assertThat(announcements.onOutdated(instance(sequence, 100, true), LONG_AGO))
                    .isFalse();
            clock.advance(Duration.ofMillis(INTERVAL_MS));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {OutdatedAnnouncements.MAX_PAUSE_MS - INTERVAL_MS + 1, 60_000})
    void aPauseInterruptsTheSeries(long pauseMs) {
        announce(1, LONG_AGO);
        announce(2, LONG_AGO);
        clock.advance(Duration.ofMillis(pauseMs));
        announce(3, LONG_AGO);

        assertThat(announce(4, LONG_AGO)).isFalse();
    }

    @Test
    void anotherIncarnationInterruptsTheSeries() {
        for (int sequence = 1; sequence <= 8; sequence++) {
            assertThat(announcements.onOutdated(instance(sequence, 100 + sequence % 2, false), LONG_AGO))
                    .isFalse();
            clock.advance(Duration.ofMillis(INTERVAL_MS));
        }
    }

    /** An instance that counts in no place is registered unless it has certainly ended. */
    @ParameterizedTest
    @CsvSource({
        "true, true, RUNNING, true",
        "true, false, RUNNING, false",
        "true, true, UNKNOWN, false",
        "true, true, REPLACED, false",
        "false, false, RUNNING, true",
        "false, false, UNKNOWN, true",
        "false, true, NOT_LISTENING, false",
        "false, true, REPLACED, false"
    })
    void reinstatementDependsOnWhatIsObserved(
            boolean registered, boolean continued, Presence presence, boolean expected) {
        assertThat(OutdatedAnnouncements.isReinstated(registered, continued, presence))
                .isEqualTo(expected);
    }

    private boolean announce(long sequence, long acceptedAtMs) {
        boolean continued = announcements.onOutdated(instance(sequence, 100, false), acceptedAtMs);
        clock.advance(Duration.ofMillis(INTERVAL_MS));
        return continued;
    }

    private static DatabaseInstance instance(long sequence, long bornMs, boolean draining) {
        return new DatabaseInstance(
                "a", "ledger", new Address("10.0.0.1", 1), "domain", 2, draining, false, bornMs, sequence);
    }
}
