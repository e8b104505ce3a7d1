package org.hornbeamspread.emulator;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.protocol.schema.Endpoint;

/**
 * One forwarded connection. The open, data and close segments pass through the same queue, so all of them are delayed
 * while the link is cut. The caller's first bytes are forwarded after the open segment has made one round trip, as
 * after the TCP handshake. Runs on the accepted channel's event loop.
 */
final class LinkConnection {
    private static final long MAX_QUEUED_BYTES = 256 << 10;

    private final Channel caller;
    private final Endpoint target;
    private final Direction forward;
    private final Direction backward;

    LinkConnection(Channel caller, Endpoint target, DirectedLink forwardLink, DirectedLink backwardLink) {
        this.caller = caller;
        this.target = target;
        this.forward = new Direction(forwardLink);
        this.backward = new Direction(backwardLink);
    }

    /** Starts forwarding. Auto-read of the caller's channel must still be off. */
    void start() {
        backward.sink = caller;
        backward.established = true;
        forward.source = caller;
        caller.pipeline().addLast(new SocketReader(forward));
        forward.send(Segment.open());
    }

    /** Delivers all segments that are due, for example after a link is healed. */
    void deliver() {
        forward.deliver();
        backward.deliver();
    }

    /** Whether both directions are closed and no segment is in flight. */
    boolean isFinished() {
        return forward.closed && backward.closed;
    }

    private void connect() {
        new Bootstrap()
                .group(caller.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new SocketReader(backward))
                .connect(new InetSocketAddress(target.getHost(), target.getPort()))
                .addListener((ChannelFutureListener) this::handleConnectResult);
    }

    private void handleConnectResult(ChannelFuture connectFuture) {
        if (connectFuture.isSuccess()) {
            forward.sink = connectFuture.channel();
            backward.source = connectFuture.channel();
            backward.send(Segment.open());
        } else {
            backward.send(Segment.close());
            forward.closed = true;
        }
    }

    /** The type of a segment. */
    private enum Kind {
        OPEN,
        DATA,
        CLOSE
    }

    /**
     * A segment sent in one direction.
     *
     * @param kind the type of the segment
     * @param data the payload; empty unless the kind is DATA
     */
    private record Segment(Kind kind, ByteBuf data) {
        static Segment open() {
            return new Segment(Kind.OPEN, Unpooled.EMPTY_BUFFER);
        }

        static Segment close() {
            return new Segment(Kind.CLOSE, Unpooled.EMPTY_BUFFER);
        }
    }

    /** One direction of the connection, with the source and sink sockets. */
    private final class Direction {
        private final LinkQueue<Segment> queue;

        /** The socket from which bytes are read; null until connected. */
        private Channel source;

        /** The socket to which bytes are written; null until connected. */
        private Channel sink;

        /** Whether the sink is connected and its open segment has reached the source. */
        private boolean established;

        private boolean deliveryScheduled;
        private boolean closed;

        Direction(DirectedLink link) {
            this.queue = new LinkQueue<>(link);
        }

        void send(Segment segment) {
            queue.add(segment, segment.data().readableBytes(), System.nanoTime());
            updateAutoRead();
            deliver();
        }

        void deliver() {
            Optional<Segment> next = queue.poll(System.nanoTime());
            while (next.isPresent()) {
                handleArrival(next.get());
                next = queue.poll(System.nanoTime());
            }
            updateAutoRead();
            OptionalLong waitNs = queue.nsUntilNextArrival(System.nanoTime());
            if (waitNs.isPresent() && !deliveryScheduled) {
                deliveryScheduled = true;
                caller.eventLoop().schedule(this::runScheduledDelivery, waitNs.getAsLong(), TimeUnit.NANOSECONDS);
            }
        }

        private void runScheduledDelivery() {
            deliveryScheduled = false;
            deliver();
        }

        void updateAutoRead() {
            if (source != null) {
                source.config()
                        .setAutoRead(queue.queuedBytes() < MAX_QUEUED_BYTES
                                && established
                                && (sink.isWritable() || !sink.isActive()));
            }
        }

        private void handleOpen() {
            if (this == forward) {
                connect();
            } else {
                forward.established = true;
                forward.updateAutoRead();
            }
        }

        private void handleArrival(Segment segment) {
            switch (segment.kind()) {
                case OPEN -> handleOpen();
                case DATA -> sink.writeAndFlush(segment.data());
                case CLOSE -> {
                    closed = true;
                    if (sink != null) {
                        sink.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
                    }
                }
            }
        }
    }

    /**
     * Forwards data read from one socket, and updates auto-read of the opposite direction when the writability changes.
     */
    private final class SocketReader extends ChannelInboundHandlerAdapter {
        private final Direction direction;

        SocketReader(Direction direction) {
            this.direction = direction;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (direction.closed) {
                ReferenceCountUtil.release(message);
            } else {
                direction.send(new Segment(Kind.DATA, (ByteBuf) message));
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            Direction other = direction == forward ? backward : forward;
            other.updateAutoRead();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            direction.send(Segment.close());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
