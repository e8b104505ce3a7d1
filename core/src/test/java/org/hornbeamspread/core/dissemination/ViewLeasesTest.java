package org.hornbeamspread.core.dissemination;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against counting an old view as out of use while a proxy may still act on it. */
final class ViewLeasesTest {
    private static final Duration LEASE = Duration.ofSeconds(1);

    private final ManualClock clock = new ManualClock();
    private final ViewLeases<String> leases = new ViewLeases<>(clock, LEASE);

    @BeforeEach
    void waitForPreviousLeadersLeasesToExpire() {
        clock.advance(LEASE.multipliedBy(2));
    }

    /**
     * A lease granted with version 3 counts against version 4 until the proxy confirms version 4, or until the lease
     * has expired both on the proxy's clock and on the leader's clock, which counts the margin as well.
     */
    @ParameterizedTest
    @CsvSource({"3, 0, 3", "3, 999, 3", "3, 1009, 3", "3, 1010, 9223372036854775807", "4, 0, 4"})
    void aLeaseOnAnOldVersionCountsUntilANewerVersionIsConfirmedOrTheLeaseExpires(
            long confirmedVersion, long elapsedMs, long expectedOldest) {
        leases.grant("p1", "p1", 3, clock.instant());
        leases.confirm("p1", confirmedVersion);
        clock.advance(Duration.ofMillis(elapsedMs));
        assertThat(leases.oldestActiveVersion()).isEqualTo(expectedOldest);
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
        ViewLeases<String> newLeaderLeases = new ViewLeases<>(clock, LEASE);
        clock.advance(LEASE);
        assertThat(newLeaderLeases.oldestActiveVersion()).isEqualTo(0);
        clock.advance(LEASE);
        assertThat(newLeaderLeases.oldestActiveVersion()).isEqualTo(Long.MAX_VALUE);
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
