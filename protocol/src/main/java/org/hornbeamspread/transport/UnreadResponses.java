package org.hornbeamspread.transport;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Bounds the responses that a client has not read: closes the connection above a number of bytes, and when nothing was taken for a time.
 * Placed next to the socket, so that it counts what the operating system has not accepted.
 */
public final class UnreadResponses extends ChannelDuplexHandler {
    /** Ten times as long as 1 MiB takes on a link of 1.4 Mbit/s. */
    private static final long MAX_STALL_MS = 60_000;

    private final long maxBytes;
    private final LimitReporter reporter;
    private final LongConsumer listener;
    private ChannelPromise lastWrite;
    private long writes;
    private long reportedBytes;
    private long stalledBytes;
    private long stalledWrites;
    private Future<?> stallCheck;

    /**
     * Creates a handler for one connection.
     *
     * @param listener receives the number of unread bytes after each change, never within a write
     */
    public UnreadResponses(long maxBytes, LimitReporter reporter, LongConsumer listener) {
        this.maxBytes = maxBytes;
        this.reporter = reporter;
        this.listener = listener;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        writes++;
        lastWrite = promise.unvoid();
        context.write(message, lastWrite);
    }

    @Override
    public void flush(ChannelHandlerContext context) {
        context.flush();
        if (unreadBytes(context) > 0) {
            // Deferred: closing a connection or evicting a client within a write would re-enter the code that responds.
            context.executor().execute(() -> update(context));
            lastWrite.addListener(written -> context.executor().execute(() -> update(context)));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        if (stallCheck != null) {
            stallCheck.cancel(false);
        }
        super.channelInactive(context);
    }

    private void update(ChannelHandlerContext context) {
        long bytes = unreadBytes(context);
        if (bytes != reportedBytes) {
            reportedBytes = bytes;
            listener.accept(bytes);
        }
        if (bytes > maxBytes) {
            close(context, ExceededLimit.UNREAD_RESPONSES);
        } else if (bytes > 0 && stallCheck == null) {
            scheduleStallCheck(context, bytes);
        }
    }

    private void scheduleStallCheck(ChannelHandlerContext context, long bytes) {
        stalledBytes = bytes;
        stalledWrites = writes;
        stallCheck = context.executor().schedule(() -> checkStall(context), MAX_STALL_MS, TimeUnit.MILLISECONDS);
    }

    private void checkStall(ChannelHandlerContext context) {
        stallCheck = null;
        long bytes = unreadBytes(context);
        // A session writes again only after the client has taken most of what was written before.
        boolean progressed = writes != stalledWrites || bytes < stalledBytes;
        if (!progressed && !context.channel().isWritable()) {
            close(context, ExceededLimit.UNREAD_TIME);
        } else if (bytes > 0) {
            scheduleStallCheck(context, bytes);
        }
    }

    private void close(ChannelHandlerContext context, ExceededLimit limit) {
        if (context.channel().isOpen()) {
            reporter.onExceeded(limit, context.channel());
            context.close();
        }
    }

    private static long unreadBytes(ChannelHandlerContext context) {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }
}
