package org.hornbeamspread.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import org.hornbeamspread.core.admission.IncompleteMessageBudget;

/**
 * Counts the body of a request from its first byte, and then its response until the client has taken it, towards a budget of all connections
 * of a listener. Placed between the HTTP codec and the aggregator. An evicted connection is answered with status 503 and closed.
 */
public final class HttpMemoryLimit extends ChannelDuplexHandler implements IncompleteMessageBudget.Holder {
    /** Buffers and objects around each piece of a body. */
    private static final long PIECE_OVERHEAD_BYTES = 256;

    private final IncompleteMessageBudget budget;
    private final LimitReporter reporter;
    private ChannelHandlerContext context;
    private long bytes;
    private boolean responding;
    private boolean evicted;

    /** Creates a handler for one connection. */
    public HttpMemoryLimit(IncompleteMessageBudget budget, LimitReporter reporter) {
        this.budget = budget;
        this.reporter = reporter;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (!evicted && message instanceof HttpContent content) {
            bytes += content.content().readableBytes() + PIECE_OVERHEAD_BYTES;
            budget.retain(this, bytes);
        }
        if (evicted) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }

    @Override
    public void write(ChannelHandlerContext ignored, Object message, ChannelPromise promise) {
        if (!evicted && message instanceof FullHttpResponse response) {
            responding = true;
            budget.retain(this, response.content().readableBytes() + PIECE_OVERHEAD_BYTES);
        }
        if (evicted) {
            ReferenceCountUtil.release(message);
            promise.tryFailure(new java.nio.channels.ClosedChannelException());
            return;
        }
        ChannelPromise written = promise.unvoid();
        written.addListener(done -> {
            bytes = 0;
            responding = false;
            budget.release(this);
        });
        context.write(message, written);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) throws Exception {
        budget.release(this);
        super.channelInactive(context);
    }

    @Override
    public void onEvicted() {
        evicted = true;
        reporter.onExceeded(ExceededLimit.HTTP_MEMORY, context.channel());
        if (responding) {
            context.close();
            return;
        }
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
