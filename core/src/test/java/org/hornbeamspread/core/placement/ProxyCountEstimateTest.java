package org.hornbeamspread.core.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ProxyCountEstimateTest {
    private final ProxyCountEstimate estimate = new ProxyCountEstimate(1);

    /** A control leader that has just taken over counts 1, 2 and 3 proxies before it counts all 6. */
    @Test
    void lowCountsOfANewLeaderDoNotLowerTheEstimate() {
        estimate.observe(6, 0);

        assertThat(estimate.observe(1, 1_000)).isEqualTo(6);
        assertThat(estimate.observe(3, 1_200)).isEqualTo(6);
        assertThat(estimate.observe(6, 1_500)).isEqualTo(6);
        assertThat(estimate.current(60_000)).isEqualTo(6);
    }

    /**
     * Found by fleetbench run ujaas-core trouble-1: the high count had been reported only at the start, long before
     * the first low count of a new leader. The decrease delay must start at the low count.
     */
    @Test
    void decreaseDelayStartsWhenALowerCountArrives() {
        estimate.observe(6, 0);

        assertThat(estimate.observe(2, 60_000)).isEqualTo(6);
        assertThat(estimate.current(68_000)).isEqualTo(6);
        assertThat(estimate.current(68_001)).isEqualTo(2);
    }

    @Test
    void estimateStartsWithTheAssumedCount() {
        ProxyCountEstimate starting = new ProxyCountEstimate(8);

        assertThat(starting.observe(1, 100)).isEqualTo(8);
        assertThat(starting.observe(6, 200)).isEqualTo(8);
        assertThat(starting.current(8_200)).isEqualTo(6);
    }

    @Test
    void higherCountAppliesAtOnce() {
        estimate.observe(6, 0);

        assertThat(estimate.observe(8, 10)).isEqualTo(8);
    }

    @Test
    void lowerCountAppliesAfterTheDecreaseDelay() {
        estimate.observe(6, 0);
        estimate.observe(5, 1_000);

        assertThat(estimate.current(9_000)).isEqualTo(6);
        assertThat(estimate.current(9_001)).isEqualTo(5);
    }

    @Test
    void estimateIsAtLeastOne() {
        assertThat(estimate.current(0)).isEqualTo(1);
        assertThat(estimate.observe(0, 0)).isEqualTo(1);
    }
}
