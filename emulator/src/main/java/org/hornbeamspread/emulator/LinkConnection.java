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
 * One forwarded connection. Opening it, its bytes and its close travel through the same queue, so all of them wait
 * while the lane is cut. The caller's first bytes leave when the opening has travelled there and back, as after TCP's
 * handshake. Runs on the accepted channel's event loop.
 */
final class LinkConnection {
    private static final long MAX_QUEUED_BYTES = 256 << 10;

    private final Channel caller;
    private final Endpoint target;
    private final Direction forward;
    private final Direction backward;

    LinkConnection(Channel caller, Endpoint target, DirectedLink forwardLane, DirectedLink backLane) {
        this.caller = caller;
        this.target = target;
        this.forward = new Direction(forwardLane);
        this.backward = new Direction(backLane);
    }

    /** Starts to forward; the caller's channel must not read by itself yet. */
    void start() {
        backward.sink = caller;
        backward.established = true;
        forward.source = caller;
        caller.pipeline().addLast(new SocketReader(forward));
        forward.send(Segment.open());
    }

    /** Delivers what may arrive now, as after a lane is healed. */
    void deliver() {
        forward.deliver();
        backward.deliver();
    }

    /** Whether both ends are gone and nothing is under way. */
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

    private void handleConnectResult(ChannelFuture opened) {
        if (opened.isSuccess()) {
            forward.sink = opened.channel();
            backward.source = opened.channel();
            backward.send(Segment.open());
        } else {
            backward.send(Segment.close());
            forward.closed = true;
        }
    }

    /** What travels. */
    private enum Kind {
        OPEN,
        DATA,
        CLOSE
    }

    /**
     * One thing under way.
     *
     * @param kind what it is
     * @param data its bytes; empty unless it is data
     */
    private record Segment(Kind kind, ByteBuf data) {
        static Segment open() {
            return new Segment(Kind.OPEN, Unpooled.EMPTY_BUFFER);
        }

        static Segment close() {
            return new Segment(Kind.CLOSE, Unpooled.EMPTY_BUFFER);
        }
    }

    /** One direction with its two sockets. */
    private final class Direction {
        private final LinkQueue<Segment> queue;

        /** Where bytes come from; null until it is connected. */
        private Channel source;

        /** Where bytes go; null until it is connected. */
        private Channel sink;

        /** Whether the sink is connected and the source knows it. */
        private boolean established;

        private boolean deliveryScheduled;
        private boolean closed;

        Direction(DirectedLink lane) {
            this.queue = new LinkQueue<>(lane);
        }

        void send(Segment parcel) {
            queue.add(parcel, parcel.data().readableBytes(), System.nanoTime());
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

        private void handleArrival(Segment parcel) {
            switch (parcel.kind()) {
                case OPEN -> handleOpen();
                case DATA -> sink.writeAndFlush(parcel.data());
                case CLOSE -> {
                    closed = true;
                    if (sink != null) {
                        sink.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
                    }
                }
            }
        }
    }

    /** Reads one socket into its way, and resumes the other way when the socket can take more. */
    private final class SocketReader extends ChannelInboundHandlerAdapter {
        private final Direction direction;

        SocketReader(Direction way) {
            this.direction = way;
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
