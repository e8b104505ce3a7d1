package org.hornbeamspread.emulator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.emulator.LinkConfiguration.OrderedPair;
import org.hornbeamspread.protocol.schema.DomainPair;
import org.hornbeamspread.protocol.schema.DomainPairBytes;
import org.hornbeamspread.protocol.schema.LinkBytes;
import org.hornbeamspread.protocol.schema.SetCutRequest;
import org.hornbeamspread.protocol.schema.SetCutResponse;
import org.hornbeamspread.transport.AddressTranslator;

/**
 * Forwards connections for every configured route, with the latency, bandwidth and cuts of the emulated links. A single
 * event loop owns all links.
 */
final class LinkServer implements AutoCloseable {
    private static final String ANY_DOMAIN = "*";

    private final LinkConfiguration configuration;
    private final EventLoopGroup eventLoopGroup = new NioEventLoopGroup(1, new DefaultThreadFactory("links", true));
    private final Map<OrderedPair, DirectedLink> links;
    private final List<LinkConnection> connections = new ArrayList<>();
    private final List<Channel> listeners = new ArrayList<>();

    /** Listens on every route. Fails with CONNECTION_REFUSED if an endpoint can't be bound. */
    LinkServer(LinkConfiguration configuration) {
        this.configuration = configuration;
        this.links = configuration.directedLinks();
        configuration.routes().forEach(route -> listeners.add(listen(route)));
    }

    /** The listening port of a route, by the index of the route in the configuration. */
    int port(int route) {
        return ((InetSocketAddress) listeners.get(route).localAddress()).getPort();
    }

    /** Cuts or heals links. Fails with INVALID_REQUEST for an unknown failure domain. Safe for any thread. */
    CompletableFuture<SetCutResponse> setCut(SetCutRequest request) {
        checkDomain(request.getFrom());
        checkDomain(request.getTo());
        return CompletableFuture.supplyAsync(() -> applyCut(request), eventLoopGroup.next());
    }

    /** The number of payload bytes sent over each link. Safe for any thread. */
    CompletableFuture<LinkBytes> getLinkBytes() {
        return CompletableFuture.supplyAsync(this::countBytes, eventLoopGroup.next());
    }

    @Override
    public void close() {
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Channel listen(LinkRoute route) {
        ChannelFuture bound = new ServerBootstrap()
                .group(eventLoopGroup)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accept(route, channel);
                    }
                })
                .bind(route.listen().getHost(), route.listen().getPort())
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new FailureException(FailureType.CONNECTION_REFUSED, AddressTranslator.format(route.listen()));
        }
        return bound.channel();
    }

    private void accept(LinkRoute route, Channel caller) {
        DirectedLink forward = links.get(new OrderedPair(route.from(), route.to()));
        DirectedLink backward = links.get(new OrderedPair(route.to(), route.from()));
        LinkConnection connection = new LinkConnection(caller, route.target(), forward, backward);
        connections.removeIf(LinkConnection::isFinished);
        connections.add(connection);
        connection.start();
    }

    private SetCutResponse applyCut(SetCutRequest request) {
        for (DirectedLink link : links.values()) {
            boolean matchesRequest = matches(link.pair(), request.getFrom(), request.getTo());
            boolean matchesReverse =
                    request.getBothDirections() && matches(link.pair(), request.getTo(), request.getFrom());
            if (matchesRequest || matchesReverse) {
                link.setCut(request.getCut());
            }
        }
        connections.forEach(LinkConnection::deliver);
        SetCutResponse.Builder response = SetCutResponse.newBuilder();
        sortedLinks()
                .filter(DirectedLink::isCut)
                .forEach(link -> response.addCuts(DomainPair.newBuilder()
                        .setFrom(link.pair().from())
                        .setTo(link.pair().to())));
        return response.build();
    }

    private LinkBytes countBytes() {
        LinkBytes.Builder counts = LinkBytes.newBuilder();
        sortedLinks()
                .forEach(link -> counts.addPairs(DomainPairBytes.newBuilder()
                        .setFrom(link.pair().from())
                        .setTo(link.pair().to())
                        .setInterRegion(link.interRegion())
                        .setBytes(link.bytes())));
        return counts.setInterRegionBytes(links.values().stream()
                        .filter(DirectedLink::interRegion)
                        .mapToLong(DirectedLink::bytes)
                        .sum())
                .build();
    }

    private Stream<DirectedLink> sortedLinks() {
        return links.values().stream()
                .sorted(Comparator.comparing((DirectedLink link) -> link.pair().from())
                        .thenComparing(link -> link.pair().to()));
    }

    private void checkDomain(String domain) {
        if (!ANY_DOMAIN.equals(domain) && !configuration.regions().containsKey(domain)) {
            throw new FailureException(FailureType.INVALID_REQUEST, "unknown failure domain: " + domain);
        }
    }

    /**
     * Whether a pair is selected. A failure domain's link to itself is selected only by name, never by the wildcard *.
     */
    private static boolean matches(OrderedPair pair, String from, String to) {
        boolean hasWildcard = ANY_DOMAIN.equals(from) || ANY_DOMAIN.equals(to);
        return (ANY_DOMAIN.equals(from) || pair.from().equals(from))
                && (ANY_DOMAIN.equals(to) || pair.to().equals(to))
                && !(hasWildcard && pair.from().equals(pair.to()));
    }
}
