package org.hornbeamspread.transport;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.core.connection.ConnectionLiveness.Parameters;
import org.hornbeamspread.core.misc.ManualClock;
import org.hornbeamspread.protocol.schema.Envelope;
import org.junit.jupiter.api.Test;

/** A connection on which no bytes arrive, or none are taken, is closed; one on which any bytes arrive is not. */
final class LivenessHandlerTest {
    private static final long STEP_MS = 100;

    private final ManualClock clock = new ManualClock();
    private final TransportCounters counters = new TransportCounters();
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new LivenessHandler(Parameters.DEFAULT, clock, counters), new ProbeEncoder());

    @Test
    void aSilentConnectionIsClosedAfterProbes() {
        advance(Parameters.DEFAULT.silenceLimitMs() - STEP_MS);
        assertThat(channel.isOpen()).isTrue();
        assertThat(channel.outboundMessages()).hasSize(2);
        advance(STEP_MS);
        assertThat(channel.isOpen()).isFalse();
        assertThat(counters.silentConnections()).isEqualTo(1);
    }

    /** A large message on a slow link consists of many reads before its end. */
    @Test
    void partsOfAMessageKeepAConnectionOpen() {
        for (int i = 0; i < 10; i++) {
            advance(Parameters.DEFAULT.silenceLimitMs() - STEP_MS);
            channel.writeInbound(Unpooled.wrappedBuffer(new byte[1]));
        }
        assertThat(channel.isOpen()).isTrue();
    }

    @Test
    void aConnectionWhosePeerTakesNoBytesIsClosed() {
        ByteBuf large = Unpooled.wrappedBuffer(new byte[1 << 20]);
        int writes = 0;
        while (channel.isOpen() && writes < 100) {
            channel.write(large.retainedDuplicate());
            writes++;
        }
        assertThat(channel.isOpen()).isFalse();
        assertThat(counters.overflowedConnections()).isEqualTo(1);
        assertThat((long) writes << 20).isAtMost(LivenessHandler.MAX_QUEUED_BYTES + (2 << 20));
    }

    @Test
    void acceptedConnectionsAreBounded() {
        assertThat(counters.tryAccept(2)).isTrue();
        assertThat(counters.tryAccept(2)).isTrue();
        assertThat(counters.tryAccept(2)).isFalse();
        counters.onAcceptedClosed();
        assertThat(counters.tryAccept(2)).isTrue();
        assertThat(counters.refusedConnections()).isEqualTo(1);
    }

    private void advance(long ms) {
        for (long step = 0; step < ms; step += STEP_MS) {
            clock.advance(Duration.ofMillis(STEP_MS));
            channel.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    /** Stands for the encoders of the transport. */
    private static final class ProbeEncoder extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            boolean encoded = message instanceof Envelope;
            context.write(encoded ? Unpooled.wrappedBuffer(new byte[1]) : message, promise);
        }
    }
}
