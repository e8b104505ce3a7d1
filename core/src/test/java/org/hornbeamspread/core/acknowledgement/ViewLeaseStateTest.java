package org.hornbeamspread.core.acknowledgement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ViewLeaseStateTest {
    private final ManualClock clock = new ManualClock();

    /** The renewal is sent, answered after a while, and checked later still. */
    @ParameterizedTest
    @CsvSource({"0, 949, true", "0, 950, false", "900, 49, true", "900, 50, false", "2000, 0, false"})
    void theLeaseRunsFromTheMomentTheRenewalWasSent(long answeredAfterMs, long checkedAfterMs, boolean fresh) {
        Instant sentAt = clock.instant();
        assertThat(ViewLeaseState.NONE.isFreshAt(sentAt)).isFalse();
        clock.advance(Duration.ofMillis(answeredAfterMs));
        ViewLeaseState lease = ViewLeaseState.NONE.granted(sentAt, Duration.ofSeconds(1));
        clock.advance(Duration.ofMillis(checkedAfterMs));
        assertThat(lease.isFreshAt(clock.instant())).isEqualTo(fresh);
        assertThat(lease.granted(sentAt.minusMillis(1), Duration.ofSeconds(1))).isEqualTo(lease);
    }
}
