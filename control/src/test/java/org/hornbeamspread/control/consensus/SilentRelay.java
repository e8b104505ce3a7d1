package org.hornbeamspread.control.consensus;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamspread.protocol.schema.Endpoint;

/**
 * Forwards connections to one address. A silent direction of a connection drops its bytes and its end for good, while both sides
 * stay open, as after a loss of power or behind a stateful device that has dropped the connection. Thread-safe.
 */
final class SilentRelay implements AutoCloseable {
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final Channel server;

    /** When each direction of the link has carried the bytes read so far. */
    private final AtomicLong requestsFreeNs = new AtomicLong(System.nanoTime());

    private final AtomicLong answersFreeNs = new AtomicLong(System.nanoTime());
    private volatile boolean dark;

    /** The rate of the link in each direction, which its connections share; unlimited while absent. */
    private volatile OptionalLong bytesPerSecond = OptionalLong.empty();

    SilentRelay(EventLoopGroup group, Endpoint target) {
        InetSocketAddress targetAddress = new InetSocketAddress(target.getHost(), target.getPort());
        server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        open(accepted, targetAddress);
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    Endpoint endpoint() {
        return Endpoint.newBuilder()
                .setHost("127.0.0.1")
                .setPort(((InetSocketAddress) server.localAddress()).getPort())
                .build();
    }

    /** Silences directions of the open connections; connections opened later work. */
    void silence(boolean requests, boolean answers) {
        links.forEach(link -> {
            link.requestsSilent |= requests;
            link.answersSilent |= answers;
        });
    }

    /** While dark, connections are accepted and silent from the start, and stay so. */
    void setDark(boolean isDark) {
        dark = isDark;
    }

    /** Limits the rate of the link in each direction. */
    void setRate(long rateBytesPerSecond) {
        bytesPerSecond = OptionalLong.of(rateBytesPerSecond);
    }

    /** Closes the open connections. */
    void reset() {
        List.copyOf(links).forEach(link -> {
            link.caller.close();
            link.target.close();
        });
    }

    @Override
    public void close() {
        server.close();
        reset();
    }

    private void open(SocketChannel accepted, InetSocketAddress targetAddress) {
        Channel target = new Bootstrap()
                .group(accepted.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(targetAddress)
                .addListener((ChannelFutureListener) connected -> {
                    if (connected.isSuccess()) {
                        connected.channel().config().setAutoRead(true);
                        accepted.config().setAutoRead(true);
                    } else {
                        accepted.close();
                    }
                })
                .channel();
        Link link = new Link(accepted, target);
        link.requestsSilent = dark;
        link.answersSilent = dark;
        links.add(link);
        accepted.pipeline().addLast(new Direction(link, true));
        target.pipeline().addLast(new Direction(link, false));
    }

    /** A relayed connection. */
    private static final class Link {
        final Channel caller;
        final Channel target;
        volatile boolean requestsSilent;
        volatile boolean answersSilent;

        Link(Channel caller, Channel target) {
            this.caller = caller;
            this.target = target;
        }
    }

    /** One direction of a relayed connection. */
    private final class Direction extends ChannelInboundHandlerAdapter {
        private final Link link;
        private final boolean towardsTarget;

        Direction(Link link, boolean towardsTarget) {
            this.link = link;
            this.towardsTarget = towardsTarget;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            int bytes = ((ByteBuf) message).readableBytes();
            if (isSilent()) {
                ReferenceCountUtil.release(message);
            } else {
                destination().writeAndFlush(message);
            }
            bytesPerSecond.ifPresent(rate -> pauseReads(context, bytes, rate));
        }

        private void pauseReads(ChannelHandlerContext context, int bytes, long rate) {
            long nowNs = System.nanoTime();
            AtomicLong freeNs = towardsTarget ? requestsFreeNs : answersFreeNs;
            long resumeNs =
                    freeNs.updateAndGet(free -> Math.max(free, nowNs) + bytes * TimeUnit.SECONDS.toNanos(1) / rate);
            context.channel().config().setAutoRead(false);
            context.executor()
                    .schedule(
                            () -> context.channel().config().setAutoRead(true), resumeNs - nowNs, TimeUnit.NANOSECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!isSilent()) {
                links.remove(link);
                destination().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private boolean isSilent() {
            return towardsTarget ? link.requestsSilent : link.answersSilent;
        }

        private Channel destination() {
            return towardsTarget ? link.target : link.caller;
        }
    }
}
