package org.hornbeamspread.core.acknowledgement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a lease that ends later at the proxy than at control, which would let the proxy acknowledge writes for
 * a replaced primary. A slow response to the renewal must not extend the lease.
 */
final class ViewLeaseStateTest {
    private final ManualClock clock = new ManualClock();

    /** The renewal is sent, its response arrives after a delay, and the lease is checked after a further delay. */
    @ParameterizedTest
    @CsvSource({"0, 949, true", "0, 950, false", "900, 49, true", "900, 50, false", "2000, 0, false"})
    void leaseStartsWhenTheRenewalIsSent(long answeredAfterMs, long checkedAfterMs, boolean valid) {
        Instant sentAt = clock.instant();
        assertThat(ViewLeaseState.NONE.isValidAt(sentAt)).isFalse();
        clock.advance(Duration.ofMillis(answeredAfterMs));
        ViewLeaseState lease = ViewLeaseState.NONE.renewed(sentAt, Duration.ofSeconds(1));
        clock.advance(Duration.ofMillis(checkedAfterMs));
        assertThat(lease.isValidAt(clock.instant())).isEqualTo(valid);
        assertThat(lease.renewed(sentAt.minusMillis(1), Duration.ofSeconds(1))).isEqualTo(lease);
    }
}
