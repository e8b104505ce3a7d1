package org.hornbeamspread.core.acknowledgement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.hornbeamspread.core.misc.PausedClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ViewLeaseStateTest {
    private final PausedClock clock = new PausedClock();

    /** The renewal is sent, answered after a while, and checked later still. */
    @ParameterizedTest
    @CsvSource({"0, 949, true", "0, 950, false", "900, 49, true", "900, 50, false", "2000, 0, false"})
    void theLeaseRunsFromTheMomentTheRenewalWasSent(long answeredAfterMs, long checkedAfterMs, boolean fresh) {
        ViewLeaseState lease = new ViewLeaseState(clock);
        assertThat(lease.isFresh()).isFalse();
        Instant sentAt = clock.instant();
        clock.advance(Duration.ofMillis(answeredAfterMs));
        lease.granted(sentAt, Duration.ofSeconds(1));
        clock.advance(Duration.ofMillis(checkedAfterMs));
        assertThat(lease.isFresh()).isEqualTo(fresh);
        assertThat(lease.wasFreshAt(sentAt.plusMillis(949))).isTrue();
        assertThat(lease.wasFreshAt(sentAt.plusMillis(950))).isFalse();
    }
}
