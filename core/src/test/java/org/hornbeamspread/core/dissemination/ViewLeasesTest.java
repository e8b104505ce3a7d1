package org.hornbeamspread.core.dissemination;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ViewLeasesTest {
    private static final Duration LEASE = Duration.ofSeconds(1);

    private final ManualClock clock = new ManualClock();
    private final ViewLeases<String> leases = new ViewLeases<>(clock, LEASE);

    @BeforeEach
    void waitForPreviousLeadersLeasesToExpire() {
        clock.advance(LEASE.multipliedBy(2));
    }

    /** A lease granted with version 3 counts against version 4 until it is confirmed or has run out by either clock. */
    @ParameterizedTest
    @CsvSource({"3, 0, 3", "3, 999, 3", "3, 1009, 3", "3, 1010, 9223372036854775807", "4, 0, 4"})
    void aLeaseOnAnOldVersionCountsUntilANewerVersionIsConfirmedOrTheLeaseExpires(
            long confirmed, long waitedMs, long oldest) {
        leases.grant("p1", "p1", 3, clock.instant());
        leases.confirm("p1", confirmed);
        clock.advance(Duration.ofMillis(waitedMs));
        assertThat(leases.oldestActiveVersion()).isEqualTo(oldest);
    }

    @Test
    void renewalsWhoseResponsesAreLostDoNotExtendTheLeaseOnTheOldVersion() {
        leases.grant("p1", "p1", 3, clock.instant());
        for (int i = 0; i < 4; i++) {
            clock.advance(LEASE.dividedBy(3));
            leases.grant("p1", "p1", 4, clock.instant());
        }
        assertThat(leases.oldestActiveVersion()).isEqualTo(4);
    }

    @Test
    void theOldestActiveVersionIsTheMinimumOverAllProxies() {
        leases.grant("p1", "p1", 3, clock.instant());
        leases.grant("p2", "p2", 7, clock.instant());
        assertThat(leases.oldestActiveVersion()).isEqualTo(3);
        assertThat(leases.isReleased("p1", 4)).isFalse();
        assertThat(leases.isReleased("p2", 4)).isTrue();
    }

    @Test
    void aNewLeaderReportsNoVersionAsReleasedForOneFullLease() {
        ViewLeases<String> fresh = new ViewLeases<>(clock, LEASE);
        clock.advance(LEASE);
        assertThat(fresh.oldestActiveVersion()).isEqualTo(0);
        clock.advance(LEASE);
        assertThat(fresh.oldestActiveVersion()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void aProxyIsRemovedWhenItsLastLeaseExpires() {
        leases.grant("p1", "p1", 3, clock.instant());
        assertThat(leases.expire()).isEmpty();
        clock.advance(LEASE.multipliedBy(2));
        assertThat(leases.expire()).containsExactly("p1");
        assertThat(leases.liveProxies()).isEmpty();
    }
}
