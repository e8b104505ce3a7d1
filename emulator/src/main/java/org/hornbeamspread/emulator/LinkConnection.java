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
    private final Way forward;
    private final Way back;

    LinkConnection(Channel caller, Endpoint target, LinkLane forwardLane, LinkLane backLane) {
        this.caller = caller;
        this.target = target;
        this.forward = new Way(forwardLane);
        this.back = new Way(backLane);
    }

    /** Starts to forward; the caller's channel must not read by itself yet. */
    void start() {
        back.sink = caller;
        back.established = true;
        forward.source = caller;
        caller.pipeline().addLast(new Receiver(forward));
        forward.send(Parcel.open());
    }

    /** Delivers what may arrive now, as after a lane is healed. */
    void deliver() {
        forward.deliver();
        back.deliver();
    }

    /** Whether both ends are gone and nothing is under way. */
    boolean isFinished() {
        return forward.closed && back.closed;
    }

    private void connect() {
        new Bootstrap()
                .group(caller.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new Receiver(back))
                .connect(new InetSocketAddress(target.getHost(), target.getPort()))
                .addListener((ChannelFutureListener) this::connected);
    }

    private void connected(ChannelFuture opened) {
        if (opened.isSuccess()) {
            forward.sink = opened.channel();
            back.source = opened.channel();
            back.send(Parcel.open());
        } else {
            back.send(Parcel.close());
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
    private record Parcel(Kind kind, ByteBuf data) {
        static Parcel open() {
            return new Parcel(Kind.OPEN, Unpooled.EMPTY_BUFFER);
        }

        static Parcel close() {
            return new Parcel(Kind.CLOSE, Unpooled.EMPTY_BUFFER);
        }
    }

    /** One direction with its two sockets. */
    private final class Way {
        private final LinkDirection<Parcel> direction;

        /** Where bytes come from; null until it is connected. */
        private Channel source;

        /** Where bytes go; null until it is connected. */
        private Channel sink;

        /** Whether the sink is connected and the source knows it. */
        private boolean established;

        private boolean deliveryPlanned;
        private boolean closed;

        Way(LinkLane lane) {
            this.direction = new LinkDirection<>(lane);
        }

        void send(Parcel parcel) {
            direction.add(parcel, parcel.data().readableBytes(), System.nanoTime());
            throttle();
            deliver();
        }

        void deliver() {
            Optional<Parcel> next = direction.poll(System.nanoTime());
            while (next.isPresent()) {
                arrive(next.get());
                next = direction.poll(System.nanoTime());
            }
            throttle();
            OptionalLong waitNs = direction.waitNs(System.nanoTime());
            if (waitNs.isPresent() && !deliveryPlanned) {
                deliveryPlanned = true;
                caller.eventLoop().schedule(this::deliverAsPlanned, waitNs.getAsLong(), TimeUnit.NANOSECONDS);
            }
        }

        private void deliverAsPlanned() {
            deliveryPlanned = false;
            deliver();
        }

        void throttle() {
            if (source != null) {
                source.config()
                        .setAutoRead(direction.queuedBytes() < MAX_QUEUED_BYTES
                                && established
                                && (sink.isWritable() || !sink.isActive()));
            }
        }

        private void open() {
            if (this == forward) {
                connect();
            } else {
                forward.established = true;
                forward.throttle();
            }
        }

        private void arrive(Parcel parcel) {
            switch (parcel.kind()) {
                case OPEN -> open();
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
    private final class Receiver extends ChannelInboundHandlerAdapter {
        private final Way way;

        Receiver(Way way) {
            this.way = way;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (way.closed) {
                ReferenceCountUtil.release(message);
            } else {
                way.send(new Parcel(Kind.DATA, (ByteBuf) message));
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            Way other = way == forward ? back : forward;
            other.throttle();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            way.send(Parcel.close());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
