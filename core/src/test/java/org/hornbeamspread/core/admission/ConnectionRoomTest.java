package org.hornbeamspread.core.admission;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ConnectionRoomTest {
    private final ConnectionRoom room = new ConnectionRoom(4);

    @Test
    void aRefusalLimitsTheProxyToWhatItHolds() {
        assertThat(room.onRefused(2, 0, 10)).isTrue();

        assertThat(room.room()).isEqualTo(2);
        assertThat(room.isAskDue(59)).isFalse();
        assertThat(room.isAskDue(60)).isTrue();
    }

    @Test
    void refusalsOfTheSameMomentAreOne() {
        room.onRefused(1, 0, 10);
        assertThat(room.onRefused(1, 5, 11)).isFalse();
        assertThat(room.pauseMs()).isEqualTo(50);
        assertThat(room.onRefused(1, 60, 65)).isTrue();
        assertThat(room.pauseMs()).isEqualTo(100);
        assertThat(room.onRefused(1, 170, 175)).isTrue();
        assertThat(room.onRefused(1, 400, 405)).isTrue();
        assertThat(room.pauseMs()).isEqualTo(200);
    }

    @Test
    void whoGotOneAsksForTheNextAtOnceUpToTheLimit() {
        room.onRefused(0, 0, 10);
        room.onAsk();
        assertThat(room.isAskDue(60)).isFalse();
        room.onAskEnded();
        for (int held = 1; held <= 4; held++) {
            assertThat(room.isAskDue(60 + held)).isTrue();
            room.onOpened(held, 60 + held);
            assertThat(room.room()).isEqualTo(held);
        }
        assertThat(room.isAskDue(1_000)).isFalse();
    }

    @Test
    void anotherLimitHoldsAtOnceUnlessTheDatabaseIsFull() {
        room.resize(6);
        assertThat(room.room()).isEqualTo(6);
        room.onRefused(3, 0, 10);
        room.resize(8);
        assertThat(room.room()).isEqualTo(3);
        room.resize(2);
        assertThat(room.room()).isEqualTo(2);
    }
}
