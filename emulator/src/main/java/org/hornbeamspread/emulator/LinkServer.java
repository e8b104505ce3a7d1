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
import org.hornbeamspread.emulator.LinkPlan.Pair;
import org.hornbeamspread.protocol.schema.DomainPair;
import org.hornbeamspread.protocol.schema.DomainPairBytes;
import org.hornbeamspread.protocol.schema.LinkBytes;
import org.hornbeamspread.protocol.schema.SetCutRequest;
import org.hornbeamspread.protocol.schema.SetCutResponse;
import org.hornbeamspread.transport.AddressTranslator;

/** Forwards every route of a plan with its lanes' latency, bandwidth and cuts. One event loop owns all lanes. */
final class LinkServer implements AutoCloseable {
    private static final String ANY = "*";

    private final LinkPlan plan;
    private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("links", true));
    private final Map<Pair, LinkLane> lanes;
    private final List<LinkConnection> connections = new ArrayList<>();
    private final List<Channel> servers = new ArrayList<>();

    /** Listens on every route. Fails with CONNECTION_REFUSED when one can't be bound. */
    LinkServer(LinkPlan plan) {
        this.plan = plan;
        this.lanes = plan.lanes();
        plan.routes().forEach(route -> servers.add(listen(route)));
    }

    /** The port that a route of the plan listens on, by the route's place in the plan. */
    int port(int route) {
        return ((InetSocketAddress) servers.get(route).localAddress()).getPort();
    }

    /** Cuts or heals lanes. Fails with INVALID_REQUEST for an unknown failure domain. Any thread. */
    CompletableFuture<SetCutResponse> setCut(SetCutRequest request) {
        checkDomain(request.getFrom());
        checkDomain(request.getTo());
        return CompletableFuture.supplyAsync(() -> applyCut(request), group.next());
    }

    /** The payload bytes that entered each lane. Any thread. */
    CompletableFuture<LinkBytes> bytes() {
        return CompletableFuture.supplyAsync(this::countBytes, group.next());
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Channel listen(LinkRoute route) {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
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
        LinkLane forward = lanes.get(new Pair(route.from(), route.to()));
        LinkLane back = lanes.get(new Pair(route.to(), route.from()));
        LinkConnection connection = new LinkConnection(caller, route.target(), forward, back);
        connections.removeIf(LinkConnection::isFinished);
        connections.add(connection);
        connection.start();
    }

    private SetCutResponse applyCut(SetCutRequest request) {
        for (LinkLane lane : lanes.values()) {
            boolean named = matches(lane.pair(), request.getFrom(), request.getTo());
            boolean reverse = request.getBothDirections() && matches(lane.pair(), request.getTo(), request.getFrom());
            if (named || reverse) {
                lane.setCut(request.getCut());
            }
        }
        connections.forEach(LinkConnection::deliver);
        SetCutResponse.Builder response = SetCutResponse.newBuilder();
        ordered()
                .filter(LinkLane::isCut)
                .forEach(lane -> response.addCuts(DomainPair.newBuilder()
                        .setFrom(lane.pair().from())
                        .setTo(lane.pair().to())));
        return response.build();
    }

    private LinkBytes countBytes() {
        LinkBytes.Builder counts = LinkBytes.newBuilder();
        ordered()
                .forEach(lane -> counts.addPairs(DomainPairBytes.newBuilder()
                        .setFrom(lane.pair().from())
                        .setTo(lane.pair().to())
                        .setInterRegion(lane.interRegion())
                        .setBytes(lane.bytes())));
        return counts.setInterRegionBytes(lanes.values().stream()
                        .filter(LinkLane::interRegion)
                        .mapToLong(LinkLane::bytes)
                        .sum())
                .build();
    }

    private Stream<LinkLane> ordered() {
        return lanes.values().stream()
                .sorted(Comparator.comparing((LinkLane lane) -> lane.pair().from())
                        .thenComparing(lane -> lane.pair().to()));
    }

    private void checkDomain(String domain) {
        if (!ANY.equals(domain) && !plan.regions().containsKey(domain)) {
            throw new FailureException(FailureType.INVALID_REQUEST, "no such failure domain: " + domain);
        }
    }

    /** A domain's links to itself are cut only by name: a cut from * leaves each domain whole. */
    private static boolean matches(Pair pair, String from, String to) {
        boolean wide = ANY.equals(from) || ANY.equals(to);
        return (ANY.equals(from) || pair.from().equals(from))
                && (ANY.equals(to) || pair.to().equals(to))
                && !(wide && pair.from().equals(pair.to()));
    }
}
