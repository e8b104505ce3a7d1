package org.hornbeamspread.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.hornbeamspread.core.admission.IncompleteMessageBudget;
import org.hornbeamspread.core.connection.ConnectionLiveness;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.runtime.MonotonicClock;

/**
 * Opens and accepts peer connections. Frames are length-prefixed protobuf envelopes. A connection that is open but carries no bytes any more
 * is closed on both sides, so that its users open another; see {@link ConnectionLiveness}.
 */
public final class PeerTransport implements AutoCloseable {
    /** The maximum size of a frame; a longer frame closes its connection. Accepted connections may have a lower limit. */
    public static final int MAX_FRAME_BYTES = 16 << 20;

    /** Twice the proxies of the size to design for; further connections are closed at once. */
    public static final int MAX_ACCEPTED_CONNECTIONS = 16_384;

    private static final int LENGTH_PREFIX_BYTES = 4;

    /** The part of the heap that limits a frame of an accepted connection, and the least such limit: a snapshot of the state is within it. */
    private static final int HEAP_PARTS_PER_FRAME = 8;

    private static final int MIN_ACCEPTED_FRAME_BYTES = 4 << 20;

    private final EventLoopGroup eventLoopGroup;
    private final boolean ownsEventLoopGroup;
    private final AddressTranslator translator;
    private final Clock clock = new MonotonicClock();
    private final TransportCounters counters = new TransportCounters();

    /** Bounds incomplete frames of accepted connections; one for each event loop, since a budget is confined to one thread. */
    private final Map<EventLoop, IncompleteMessageBudget> frameBudgets = new ConcurrentHashMap<>();

    /** A transport with its own network threads that connects to addresses as announced. */
    public PeerTransport(int threads) {
        this(threads, AddressTranslator.identity());
    }

    /** A transport with its own network threads that translates each address before connecting. */
    public PeerTransport(int threads, AddressTranslator translator) {
        this.eventLoopGroup = new NioEventLoopGroup(threads, new DefaultThreadFactory("network", true));
        this.ownsEventLoopGroup = true;
        this.translator = translator;
    }

    /** A transport on shared network threads, which keep running when the transport is closed. */
    public PeerTransport(EventLoopGroup shared) {
        this.eventLoopGroup = shared;
        this.ownsEventLoopGroup = false;
        this.translator = AddressTranslator.identity();
    }

    /** Listens; port 0 selects a free port. Fails with CONNECTION_REFUSED when the address cannot be bound. */
    public CompletableFuture<PeerServer> listen(Endpoint endpoint, PeerHandler handler) {
        ChannelFuture binding = new ServerBootstrap()
                .group(eventLoopGroup)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(acceptedInitializer(handler))
                .bind(endpoint.getHost(), endpoint.getPort());
        return toCompletableFuture(binding).thenApply(PeerServer::new);
    }

    /** Connects to the translated address of an endpoint. Fails with CONNECTION_REFUSED. */
    public CompletableFuture<PeerConnection> connect(Endpoint endpoint, Duration timeout, PeerHandler handler) {
        Endpoint target = translator.translate(endpoint);
        ChannelFuture connecting = new Bootstrap()
                .group(eventLoopGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                .handler(channelInitializer(handler))
                .connect(new InetSocketAddress(target.getHost(), target.getPort()));
        return toCompletableFuture(connecting)
                .thenApply(channel -> channel.pipeline()
                        .get(PeerConnection.InboundHandler.class)
                        .connection());
    }

    /** The counters of this transport's connections. */
    public TransportCounters counters() {
        return counters;
    }

    @Override
    public void close() {
        if (ownsEventLoopGroup) {
            eventLoopGroup.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
        }
    }

    private ChannelInitializer<SocketChannel> acceptedInitializer(PeerHandler handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                if (!counters.tryAccept(MAX_ACCEPTED_CONNECTIONS)) {
                    channel.close();
                    return;
                }
                channel.closeFuture().addListener(closed -> counters.onAcceptedClosed());
                int maxBytes = maxAcceptedFrameBytes();
                IncompleteMessageBudget budget = frameBudgets.computeIfAbsent(
                        channel.eventLoop(), loop -> new IncompleteMessageBudget(2L * maxBytes, clock));
                addHandlers(channel, new BoundedFrameDecoder(maxBytes, LENGTH_PREFIX_BYTES, budget, counters), handler);
            }
        };
    }

    private ChannelInitializer<SocketChannel> channelInitializer(PeerHandler handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                addHandlers(
                        channel,
                        new LengthFieldBasedFrameDecoder(
                                MAX_FRAME_BYTES, 0, LENGTH_PREFIX_BYTES, 0, LENGTH_PREFIX_BYTES),
                        handler);
            }
        };
    }

    private static int maxAcceptedFrameBytes() {
        long heapPart = Runtime.getRuntime().maxMemory() / HEAP_PARTS_PER_FRAME;
        return (int) Math.min(MAX_FRAME_BYTES, Math.max(MIN_ACCEPTED_FRAME_BYTES, heapPart));
    }

    private void addHandlers(SocketChannel channel, LengthFieldBasedFrameDecoder decoder, PeerHandler handler) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(new LivenessHandler(ConnectionLiveness.Parameters.DEFAULT, clock, counters));
        pipeline.addLast(decoder);
        pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(new PeerConnection.InboundHandler(handler));
    }

    private static CompletableFuture<Channel> toCompletableFuture(ChannelFuture operation) {
        CompletableFuture<Channel> result = new CompletableFuture<>();
        operation.addListener(completed -> {
            if (completed.isSuccess()) {
                result.complete(operation.channel());
            } else {
                result.completeExceptionally(
                        new FailureException(FailureType.CONNECTION_REFUSED, String.valueOf(completed.cause())));
            }
        });
        return result;
    }
}
