package org.hornbeamspread.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.hornbeamspread.core.admission.IncompleteMessageBudget;

/** Decodes length-prefixed frames whose incomplete parts count towards a budget of the connections on the same event loop. */
final class BoundedFrameDecoder extends LengthFieldBasedFrameDecoder implements IncompleteMessageBudget.Holder {
    private static final Logger LOG = System.getLogger(BoundedFrameDecoder.class.getName());

    private final IncompleteMessageBudget budget;
    private final TransportCounters counters;
    private ChannelHandlerContext context;

    BoundedFrameDecoder(
            int maxFrameBytes, int prefixBytes, IncompleteMessageBudget budget, TransportCounters counters) {
        super(maxFrameBytes, 0, prefixBytes, 0, prefixBytes);
        this.budget = budget;
        this.counters = counters;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) throws Exception {
        super.channelRead(context, message);
        if (actualReadableBytes() == 0) {
            budget.release(this);
        } else if (context.channel().isActive()) {
            budget.retain(this, internalBuffer().capacity());
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext removed) {
        budget.release(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) throws Exception {
        budget.release(this);
        super.channelInactive(inactive);
    }

    @Override
    public void onEvicted() {
        counters.onFrameDropped();
        LOG.log(
                Level.INFO,
                "closed a connection: {0} holds an incomplete frame",
                context.channel().remoteAddress());
        context.close();
    }
}
