package org.hornbeamspread.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Envelope;

/**
 * A TCP connection that carries requests, answers and pushes in both directions. An answer is matched to its request by
 * request id; an answer that arrives after the timeout of its request is dropped. Thread-safe.
 */
public final class PeerConnection {
    private final Channel channel;
    private final PeerHandler handler;
    private final AtomicLong nextRequestId = new AtomicLong(1);
    private final Map<Long, CompletableFuture<Envelope>> pendingRequests = new ConcurrentHashMap<>();
    private final AtomicBoolean closed = new AtomicBoolean();

    /** An object that the owner associates with the connection; null until set. */
    private volatile Object attachment;

    PeerConnection(Channel channel, PeerHandler handler) {
        this.channel = channel;
        this.handler = handler;
    }

    /** Sends a request as {@link #request(Envelope)} does. Fails with REQUEST_TIMEOUT after a time. */
    public CompletableFuture<Envelope> request(Envelope request, Duration timeout) {
        CompletableFuture<Envelope> answer = request(request);
        ScheduledFuture<?> timeoutTask = channel.eventLoop()
                .schedule(
                        () -> answer.completeExceptionally(new FailureException(
                                FailureType.REQUEST_TIMEOUT,
                                request.getBodyCase().name())),
                        timeout.toNanos(),
                        TimeUnit.NANOSECONDS);
        return answer.whenComplete((envelope, error) -> timeoutTask.cancel(false));
    }

    /**
     * Sends a request without a time limit; the caller completes or cancels the future when it no longer waits, and the answer is
     * dropped then. Fails with CONNECTION_REFUSED when the connection was closed before anything was sent, with CONNECTION_LOST when the
     * connection broke later, or with the typed failure in the peer's answer.
     */
    public CompletableFuture<Envelope> request(Envelope request) {
        if (!isOpen()) {
            return CompletableFuture.failedFuture(
                    new FailureException(FailureType.CONNECTION_REFUSED, "closed before sending"));
        }
        long id = nextRequestId.getAndIncrement();
        CompletableFuture<Envelope> answer = new CompletableFuture<>();
        pendingRequests.put(id, answer);
        answer.whenComplete((envelope, error) -> pendingRequests.remove(id));
        channel.writeAndFlush(request.toBuilder()
                        .setProtocolVersion(Envelopes.PROTOCOL_VERSION)
                        .setRequestId(id)
                        .build())
                .addListener(write -> {
                    if (!write.isSuccess()) {
                        failRequest(id, FailureType.CONNECTION_LOST, String.valueOf(write.cause()));
                    }
                });
        if (closed.get()) {
            failRequest(id, FailureType.CONNECTION_LOST, "closed while sending");
        }
        return answer;
    }

    /** Sends a message that has no answer. The message is dropped when the connection is closed. */
    public void push(Envelope push) {
        channel.writeAndFlush(
                push.toBuilder().setProtocolVersion(Envelopes.PROTOCOL_VERSION).build());
    }

    /** Whether frames can be sent. */
    public boolean isOpen() {
        return channel.isActive() && !closed.get();
    }

    /** Whether the transport has closed the connection because no bytes arrived any more. */
    public boolean isSilent() {
        return Boolean.TRUE.equals(channel.attr(LivenessHandler.SILENT).get());
    }

    /** Closes the connection; pending requests fail with CONNECTION_LOST. */
    public void close() {
        channel.close();
    }

    /** The object set by {@link #attach}, or null. */
    public Object attachment() {
        return attachment;
    }

    /** Associates an object with the connection. */
    public void attach(Object value) {
        attachment = value;
    }

    /** The peer's address, for logs. */
    public String remoteAddress() {
        return String.valueOf(channel.remoteAddress());
    }

    private void failRequest(long id, FailureType type, String detail) {
        CompletableFuture<Envelope> answer = pendingRequests.remove(id);
        if (answer != null) {
            answer.completeExceptionally(new FailureException(type, detail));
        }
    }

    private void onFrame(Envelope frame) {
        if (frame.equals(Envelopes.PROBE)) {
            onProbe();
        } else if (frame.getProtocolVersion() != Envelopes.PROTOCOL_VERSION) {
            onUnsupportedVersion(frame);
        } else if (frame.getAnswer()) {
            onAnswer(frame);
        } else if (frame.getRequestId() == 0) {
            handler.onPush(this, frame);
        } else {
            onRequest(frame);
        }
    }

    private void onAnswer(Envelope frame) {
        CompletableFuture<Envelope> answer = pendingRequests.remove(frame.getRequestId());
        if (answer == null) {
            return;
        }
        if (frame.hasFailure()) {
            answer.completeExceptionally(Envelopes.exception(frame.getFailure()));
        } else {
            answer.complete(frame);
        }
    }

    private void onRequest(Envelope frame) {
        long id = frame.getRequestId();
        try {
            handler.onRequest(this, frame, answer -> sendAnswer(id, answer));
        } catch (RuntimeException e) {
            sendAnswer(id, Envelopes.failureEnvelope(FailureException.of(e)));
        }
    }

    /** Answers unless other bytes are queued, which show this side to the peer as well. */
    private void onProbe() {
        if (channel.isWritable()) {
            sendAnswer(Envelopes.PROBE.getRequestId(), Envelope.getDefaultInstance());
        }
    }

    private void onUnsupportedVersion(Envelope frame) {
        if (!frame.getAnswer() && frame.getRequestId() != 0) {
            sendAnswer(
                    frame.getRequestId(),
                    Envelopes.failureEnvelope(new FailureException(
                            FailureType.UNSUPPORTED_VERSION, String.valueOf(frame.getProtocolVersion()))));
        }
    }

    private void sendAnswer(long id, Envelope answer) {
        channel.writeAndFlush(answer.toBuilder()
                .setProtocolVersion(Envelopes.PROTOCOL_VERSION)
                .setRequestId(id)
                .setAnswer(true)
                .build());
    }

    private void onClosed() {
        if (closed.compareAndSet(false, true)) {
            for (Long id : pendingRequests.keySet()) {
                failRequest(id, FailureType.CONNECTION_LOST, "connection closed");
            }
            handler.onClose(this);
        }
    }

    /** Forwards Netty's channel events to the connection and its handler. */
    static final class InboundHandler extends SimpleChannelInboundHandler<Envelope> {
        private final PeerHandler handler;
        private volatile PeerConnection connection;

        InboundHandler(PeerHandler handler) {
            this.handler = handler;
        }

        PeerConnection connection() {
            return connection;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            connection = new PeerConnection(context.channel(), handler);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            handler.onOpen(connection);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope frame) {
            connection.onFrame(frame);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connection.onClosed();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
