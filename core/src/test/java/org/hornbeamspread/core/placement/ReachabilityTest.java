package org.hornbeamspread.core.placement;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ReachabilityTest {
    private final Reachability reachability = new Reachability();

    @Test
    void silenceIsMeasuredFromTheLastResponseWhileRequestsArePending() {
        reachability.onRequestSent(1_000);
        reachability.onRequestSent(1_010);
        assertThat(reachability.silentMs(1_030)).isEqualTo(30);
        reachability.onResponse(1_040);
        assertThat(reachability.silentMs(1_050)).isEqualTo(10);
        reachability.onResponse(1_060);
        assertThat(reachability.silentMs(9_000)).isEqualTo(0);
        reachability.onRequestSent(9_000);
        assertThat(reachability.silentMs(9_001)).isEqualTo(1);
    }

    @Test
    void silentInstanceIsUnreachableUntilAConnectionOpens() {
        reachability.onRequestSent(0);
        assertThat(reachability.isSilenceTimeoutExceeded(400)).isFalse();
        assertThat(reachability.isSilenceTimeoutExceeded(401)).isTrue();
        reachability.onFailed(401, 401);
        assertThat(reachability.isReachable()).isFalse();
        assertThat(reachability.isSilenceTimeoutExceeded(402)).isFalse();
        assertThat(reachability.isProbeDue(500)).isFalse();
        assertThat(reachability.isProbeDue(501)).isTrue();
        reachability.onProbeStarted();
        assertThat(reachability.isProbeDue(900)).isFalse();
        reachability.onProbeEnded();
        assertThat(reachability.onReached(950)).isTrue();
        assertThat(reachability.isReachable()).isTrue();
        assertThat(reachability.onReached(960)).isFalse();
    }

    /** Attempts that hang at the same time, here three, count as one failure; a fourth, later one counts again. */
    @Test
    void attemptsStartedBeforeAFailureDoNotRaiseTheBackoff() {
        assertThat(reachability.onFailed(0, 500)).isTrue();
        assertThat(reachability.onFailed(10, 510)).isFalse();
        assertThat(reachability.onFailed(300, 800)).isFalse();
        assertThat(reachability.backoffMs()).isEqualTo(100);
        assertThat(reachability.onFailed(800, 1_300)).isTrue();
        assertThat(reachability.backoffMs()).isEqualTo(200);
    }

    @Test
    void attemptStartedBeforeASuccessDoesNotMarkTheInstanceUnreachable() {
        reachability.onFailed(0, 500);
        reachability.onReached(620);

        assertThat(reachability.onFailed(600, 1_100)).isFalse();
        assertThat(reachability.isReachable()).isTrue();
    }

    @Test
    void backoffIsAtMostTheConnectTimeout() {
        for (int i = 0; i < 10; i++) {
            reachability.onFailed(i * 1_000L, i * 1_000L + 500);
        }
        assertThat(reachability.backoffMs()).isEqualTo(500);
    }

    @Test
    void localPauseDoesNotCountAsSilence() {
        reachability.onRequestSent(0);
        reachability.onLocalPause(5_000);

        assertThat(reachability.isSilenceTimeoutExceeded(5_300)).isFalse();
        assertThat(reachability.isSilenceTimeoutExceeded(5_401)).isTrue();
    }
}
