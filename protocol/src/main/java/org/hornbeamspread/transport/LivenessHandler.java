package org.hornbeamspread.transport;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.Future;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.core.connection.ConnectionLiveness;
import org.hornbeamspread.core.connection.ConnectionLiveness.Action;
import org.hornbeamspread.core.connection.ConnectionLiveness.Parameters;

/**
 * Closes a connection whose peer has fallen silent or takes no more bytes, and sends the probes that show the peer this side. Placed
 * next to the socket, so that it counts parts of messages.
 */
final class LivenessHandler extends ChannelDuplexHandler {
    /** Two of the largest frames: one that is being sent and one behind it. */
    static final long MAX_QUEUED_BYTES = 2L * PeerTransport.MAX_FRAME_BYTES;

    /** Set on a channel that is closed because no bytes arrived any more. */
    static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf(LivenessHandler.class, "silent");

    private static final Logger LOG = System.getLogger(LivenessHandler.class.getName());

    private final Parameters parameters;
    private final Clock clock;
    private final TransportCounters counters;
    private ConnectionLiveness liveness;
    private Future<?> nextCheck;

    LivenessHandler(Parameters parameters, Clock clock, TransportCounters counters) {
        this.parameters = parameters;
        this.clock = clock;
        this.counters = counters;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        liveness = new ConnectionLiveness(parameters, clock);
        scheduleCheck(context);
        super.channelActive(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        if (nextCheck != null) {
            nextCheck.cancel(false);
        }
        super.channelInactive(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        liveness.onReceived();
        super.channelRead(context, bytes);
    }

    @Override
    public void write(ChannelHandlerContext context, Object bytes, ChannelPromise promise) throws Exception {
        if (liveness != null) {
            liveness.onSent();
        }
        super.write(context, bytes, promise);
        boolean full = !context.channel().isWritable() && context.channel().bytesBeforeWritable() > MAX_QUEUED_BYTES;
        if (full && context.channel().isOpen()) {
            counters.onOverflow();
            close(context, "takes no bytes");
        }
    }

    private void check(ChannelHandlerContext context) {
        Action action = liveness.nextAction();
        if (action == Action.CLOSE) {
            counters.onSilence();
            context.channel().attr(SILENT).set(true);
            close(context, "is silent");
            return;
        }
        // Queued bytes show this side to the peer as well as a probe behind them.
        if (action == Action.SEND_PROBE && context.channel().isWritable()) {
            context.channel().writeAndFlush(Envelopes.PROBE);
        }
        scheduleCheck(context);
    }

    private void scheduleCheck(ChannelHandlerContext context) {
        nextCheck =
                context.executor().schedule(() -> check(context), liveness.untilNextActionMs(), TimeUnit.MILLISECONDS);
    }

    private static void close(ChannelHandlerContext context, String reason) {
        LOG.log(Level.INFO, "closed a connection: {0} {1}", context.channel().remoteAddress(), reason);
        context.close();
    }
}
