package org.hornbeamspread.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.concurrent.TimeUnit;

/** Collects the body of a request; a body above the limit is answered with status 413, logged and counted. */
public final class HttpBodyLimit extends HttpObjectAggregator {
    private static final long CLOSE_DELAY_MS = 1_000;

    private final LimitReporter reporter;

    /** Creates a handler for one connection. */
    public HttpBodyLimit(int maxBodyBytes, LimitReporter reporter) {
        super(maxBodyBytes, true);
        this.reporter = reporter;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) throws Exception {
        reporter.onExceeded(ExceededLimit.BODY_SIZE, context.channel());
        super.handleOversizedMessage(context, oversized);
        // The rest of the body is not read; a close at once would reset the connection before the client has the
        // response.
        context.executor().schedule(() -> context.close(), CLOSE_DELAY_MS, TimeUnit.MILLISECONDS);
    }
}
