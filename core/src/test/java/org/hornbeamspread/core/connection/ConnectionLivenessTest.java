package org.hornbeamspread.core.connection;

import static com.google.common.truth.Truth.assertThat;
import static org.hornbeamspread.core.connection.ConnectionLiveness.Action.CLOSE;
import static org.hornbeamspread.core.connection.ConnectionLiveness.Action.NONE;
import static org.hornbeamspread.core.connection.ConnectionLiveness.Action.SEND_PROBE;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When a side of a connection sends a probe and when it closes the connection. */
final class ConnectionLivenessTest {
    private final ManualClock clock = new ManualClock();
    private final ConnectionLiveness liveness =
            new ConnectionLiveness(new ConnectionLiveness.Parameters(500, 1_500), clock);

    @Test
    void aConnectionThatIsSilentFromTheStartIsClosed() {
        assertThat(actionAfter(499)).isEqualTo(NONE);
        assertThat(actionAfter(1)).isEqualTo(SEND_PROBE);
        assertThat(actionAfter(500)).isEqualTo(SEND_PROBE);
        assertThat(actionAfter(499)).isEqualTo(NONE);
        assertThat(actionAfter(1)).isEqualTo(CLOSE);
    }

    @Test
    void aPeerThatOnlySendsReceivesProbes() {
        for (int i = 0; i < 20; i++) {
            clock.advance(Duration.ofMillis(250));
            liveness.onReceived();
            assertThat(liveness.nextAction()).isEqualTo(i % 2 == 1 ? SEND_PROBE : NONE);
        }
    }

    /** Messages sent into a silent connection are no sign of life. */
    @Test
    void sentMessagesDoNotKeepASilentConnectionOpen() {
        for (int i = 0; i < 14; i++) {
            liveness.onSent();
            assertThat(actionAfter(100)).isNotEqualTo(CLOSE);
        }
        liveness.onSent();
        assertThat(actionAfter(100)).isEqualTo(CLOSE);
    }

    /** A large message on a slow link arrives in parts for seconds, with no whole message between them. */
    @Test
    void arrivingBytesKeepAConnectionOpen() {
        for (int i = 0; i < 100; i++) {
            clock.advance(Duration.ofMillis(1_400));
            liveness.onReceived();
            assertThat(liveness.nextAction()).isNotEqualTo(CLOSE);
        }
    }

    /** After SIGSTOP and SIGCONT the bytes that have arrived meanwhile are read before the connection is judged. */
    @ParameterizedTest
    @CsvSource({"0, 3000", "400, 3000", "900, 3000", "900, 3600000"})
    void aPauseOfThisProcessIsNotTheSilenceOfThePeer(long silentBeforeMs, long pauseMs) {
        for (long ms = 0; ms < silentBeforeMs; ms += 100) {
            actionAfter(100);
        }
        assertThat(actionAfter(pauseMs)).isEqualTo(SEND_PROBE);
        liveness.onReceived();
        assertThat(actionAfter(1)).isEqualTo(NONE);
    }

    @Test
    void theNextActionIsDueWhenAnnounced() {
        int probes = 0;
        for (int i = 0; i < 100; i++) {
            ConnectionLiveness.Action action = actionAfter(liveness.untilNextActionMs());
            assertThat(action).isNotEqualTo(NONE);
            if (action == CLOSE) {
                break;
            }
            probes++;
        }
        assertThat(probes).isEqualTo(2);
    }

    @Test
    void aSilenceLimitWithinOneProbeIntervalIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> new ConnectionLiveness.Parameters(500, 500));
    }

    private ConnectionLiveness.Action actionAfter(long ms) {
        clock.advance(Duration.ofMillis(ms));
        return liveness.nextAction();
    }
}
