package org.hornbeamspread.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class AdaptiveConcurrencyLimitTest {
    @ParameterizedTest
    @CsvSource({"2, 6, 1", "5, 8, 1", "5, 3, 5", "4, 90, 1", "6, 1, 18"})
    void limitStartsAtTheFairShare(int slots, int proxies, int expected) {
        assertThat(new AdaptiveConcurrencyLimit(slots, proxies).limit()).isEqualTo(expected);
    }

    @Test
    void refusalReducesTheLimit() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(6, 1);
        assertThat(limit.tryAcquire()).isTrue();
        limit.release(true);

        assertThat(limit.limit()).isEqualTo(12);
    }

    @Test
    void limitNeverFallsBelowOne() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(2, 6);
        for (int i = 0; i < 20; i++) {
            assertThat(limit.tryAcquire()).isTrue();
            limit.release(true);
        }
        assertThat(limit.limit()).isEqualTo(1);
    }

    @Test
    void moreProxiesReduceTheLimit() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(6, 1);
        limit.resize(6, 18);

        assertThat(limit.limit()).isEqualTo(3);
    }

    /** All clients use one of six proxies, whose limit rises above its fair share, since the others leave theirs. */
    @Test
    void busyProxyUsesCapacityLeftByIdleProxies() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(2, 6);
        for (int round = 0; round < 20; round++) {
            List<Boolean> acquired = new ArrayList<>();
            while (limit.tryAcquire()) {
                acquired.add(true);
            }
            acquired.forEach(statement -> limit.release(false));
        }
        assertThat(limit.limit()).isEqualTo(3);
    }

    /** A burst at all of six proxies: the statements in flight fit the database's slots and its queue of sixteen. */
    @Test
    void burstAtAllProxiesFitsTheDatabaseQueue() {
        List<AdaptiveConcurrencyLimit> proxies = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            proxies.add(new AdaptiveConcurrencyLimit(2, 6));
        }
        int maxInFlight = 0;
        for (int round = 0; round < 50; round++) {
            int inFlight = 0;
            for (AdaptiveConcurrencyLimit proxy : proxies) {
                while (proxy.tryAcquire()) {
                    inFlight++;
                }
            }
            maxInFlight = Math.max(maxInFlight, inFlight);
            for (AdaptiveConcurrencyLimit proxy : proxies) {
                while (proxy.inFlight() > 0) {
                    proxy.release(false);
                }
            }
        }
        assertThat(maxInFlight).isAtMost(18);
    }
}
