package org.hornbeamspread.core.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class AdaptiveConnectionLimitTest {
    private final AdaptiveConnectionLimit connectionLimit = new AdaptiveConnectionLimit(4);

    @Test
    void refusalLowersTheLimitToOpenConnections() {
        assertThat(connectionLimit.onRefused(2, 0, 10)).isTrue();

        assertThat(connectionLimit.effectiveLimit()).isEqualTo(2);
        assertThat(connectionLimit.isProbeDue(59)).isFalse();
        assertThat(connectionLimit.isProbeDue(60)).isTrue();
    }

    @Test
    void concurrentRefusalsCountAsOne() {
        connectionLimit.onRefused(1, 0, 10);
        assertThat(connectionLimit.onRefused(1, 5, 11)).isFalse();
        assertThat(connectionLimit.backoffMs()).isEqualTo(50);
        assertThat(connectionLimit.onRefused(1, 60, 65)).isTrue();
        assertThat(connectionLimit.backoffMs()).isEqualTo(100);
        assertThat(connectionLimit.onRefused(1, 170, 175)).isTrue();
        assertThat(connectionLimit.onRefused(1, 400, 405)).isTrue();
        assertThat(connectionLimit.backoffMs()).isEqualTo(200);
    }

    @Test
    void successfulProbeAllowsTheNextAtOnceUpToTheConfiguredLimit() {
        connectionLimit.onRefused(0, 0, 10);
        connectionLimit.onProbeStarted();
        assertThat(connectionLimit.isProbeDue(60)).isFalse();
        connectionLimit.onProbeEnded();
        for (int openConnections = 1; openConnections <= 4; openConnections++) {
            assertThat(connectionLimit.isProbeDue(60 + openConnections)).isTrue();
            connectionLimit.onOpened(openConnections, 60 + openConnections);
            assertThat(connectionLimit.effectiveLimit()).isEqualTo(openConnections);
        }
        assertThat(connectionLimit.isProbeDue(1_000)).isFalse();
    }

    @Test
    void newLimitAppliesAtOnceUnlessTheDatabaseIsFull() {
        connectionLimit.resize(6);
        assertThat(connectionLimit.effectiveLimit()).isEqualTo(6);
        connectionLimit.onRefused(3, 0, 10);
        connectionLimit.resize(8);
        assertThat(connectionLimit.effectiveLimit()).isEqualTo(3);
        connectionLimit.resize(2);
        assertThat(connectionLimit.effectiveLimit()).isEqualTo(2);
    }
}
