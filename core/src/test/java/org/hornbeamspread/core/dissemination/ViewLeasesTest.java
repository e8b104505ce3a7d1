package org.hornbeamspread.core.dissemination;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.hornbeamspread.core.misc.PausedClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ViewLeasesTest {
    private static final Duration LEASE = Duration.ofSeconds(1);

    private final PausedClock clock = new PausedClock();
    private final ViewLeases<String> leases = new ViewLeases<>(clock, LEASE);

    @BeforeEach
    void outlastEarlierLeaders() {
        clock.advance(LEASE.multipliedBy(2));
    }

    /** A lease granted with version 3 counts against version 4 until it is confirmed or has run out by either clock. */
    @ParameterizedTest
    @CsvSource({"3, 0, 3", "3, 999, 3", "3, 1009, 3", "3, 1010, 9223372036854775807", "4, 0, 4"})
    void aLeaseCountsUntilItIsConfirmedOrOver(long confirmed, long waitedMs, long oldest) {
        leases.grant("p1", "p1", 3, clock.instant());
        leases.confirm("p1", confirmed);
        clock.advance(Duration.ofMillis(waitedMs));
        assertThat(leases.oldestVersion()).isEqualTo(oldest);
    }

    @Test
    void renewalsThatTheProxyNeverHearsOfDoNotProlongTheOldView() {
        leases.grant("p1", "p1", 3, clock.instant());
        for (int i = 0; i < 4; i++) {
            clock.advance(LEASE.dividedBy(3));
            leases.grant("p1", "p1", 4, clock.instant());
        }
        assertThat(leases.oldestVersion()).isEqualTo(4);
    }

    @Test
    void theSlowestProxyDecides() {
        leases.grant("p1", "p1", 3, clock.instant());
        leases.grant("p2", "p2", 7, clock.instant());
        assertThat(leases.oldestVersion()).isEqualTo(3);
        assertThat(leases.isOver("p1", 4)).isFalse();
        assertThat(leases.isOver("p2", 4)).isTrue();
    }

    @Test
    void aNewLeaderCountsOnNothingForAWholeLease() {
        ViewLeases<String> fresh = new ViewLeases<>(clock, LEASE);
        clock.advance(LEASE);
        assertThat(fresh.oldestVersion()).isEqualTo(0);
        clock.advance(LEASE);
        assertThat(fresh.oldestVersion()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void aProxyIsForgottenWithItsLastLease() {
        leases.grant("p1", "p1", 3, clock.instant());
        assertThat(leases.expire()).isEmpty();
        clock.advance(LEASE.multipliedBy(2));
        assertThat(leases.expire()).containsExactly("p1");
        assertThat(leases.living()).isEmpty();
    }
}
