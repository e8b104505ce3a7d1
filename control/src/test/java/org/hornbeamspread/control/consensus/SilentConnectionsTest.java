package org.hornbeamspread.control.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.RouteConfigurationDocument;
import org.hornbeamspread.protocol.schema.SetDepartures;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The members of a log whose connections to each other are open and carry nothing, while new connections work. */
final class SilentConnectionsTest {
    /** {@code stable_window_ms} of the small sites: the time after the last disruption in which service may be suspended. */
    private static final Duration STABLE_WINDOW = Duration.ofSeconds(4);

    /** {@code recovery_s} of the small sites. */
    private static final Duration RECOVERY = Duration.ofSeconds(12);

    /** The slowest link of the platform, 21 Mbit/s. */
    private static final long SLOW_LINK_BYTES_PER_SECOND = 21_000_000 / 8;

    private static final int SNAPSHOT_BYTES = 4 << 20;
    /** {@code catch_up_s} of the small sites: the time after which a member that lost its disk no longer counts as lost. */
    private static final Duration CATCH_UP = Duration.ofSeconds(4);

    private static final long BUDGET_BYTES = 1 << 20;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

    /** More than an election timeout, so that each member opens connections while they are dead from the start. */
    private static final Duration DARK_TIME = Duration.ofMillis(1_500);

    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final Map<Direction, SilentRelay> relays = new ConcurrentHashMap<>();

    @TempDir
    Path directory;

    @AfterEach
    void close() {
        relays.values().forEach(SilentRelay::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** No member had a leader any more after a final fault, though all ran and accepted connections (issue 35). */
    @ParameterizedTest
    @EnumSource(Silence.class)
    void aLeaderFollowsAfterAllConnectionsBetweenMembersFallSilent(Silence silence) throws InterruptedException {
        try (LogCluster cluster = new LogCluster(directory, 3, 1_000, BUDGET_BYTES, this::relayed)) {
            cluster.startAll();
            String leader = cluster.awaitLeader();
            assertThat(awaitProposal(cluster, change("before"), LogCluster.TIMEOUT))
                    .isTrue();
            silence.apply(relays, leader);
            assertWithMessage("every member applies a change of a leader within %s of %s", STABLE_WINDOW, silence)
                    .that(awaitProposal(cluster, change("after"), STABLE_WINDOW))
                    .isTrue();
        }
    }

    /**
     * The leader's connection to a member that had lost its disk stayed silent, so that the member was not readmitted, and the loss of
     * the next disk left one copy of three (soak seed 5105).
     */
    @Test
    void aLeaderFollowsAfterASecondDiskIsLostBehindSilentConnections() throws IOException, InterruptedException {
        try (LogCluster cluster = new LogCluster(directory, 3, 1_000, BUDGET_BYTES, this::relayed)) {
            cluster.startAll();
            String leader = cluster.awaitLeader();
            assertThat(awaitProposal(cluster, change("before"), LogCluster.TIMEOUT))
                    .isTrue();
            List<String> followers = cluster.runningMembers().stream()
                    .filter(id -> !id.equals(leader))
                    .toList();
            cluster.stop(followers.get(0));
            cluster.deleteDisk(followers.get(0));
            relays.values().forEach(relay -> relay.silence(true, true));
            cluster.start(followers.get(0));
            Thread.sleep(CATCH_UP.toMillis());
            List<String> members = cluster.runningMembers();
            members.forEach(cluster::stop);
            cluster.deleteDisk(followers.get(1));
            members.forEach(cluster::start);
            assertWithMessage("every member applies a change of a leader within %s", RECOVERY)
                    .that(awaitProposal(cluster, change("after"), RECOVERY))
                    .isTrue();
        }
    }

    /**
     * A connection that carries a large snapshot slowly is not silent, and the heartbeats of a leader that needs the receiver for its
     * majority do not wait behind the snapshot.
     */
    @Test
    void aSnapshotOnASlowLinkEndsNeitherItsConnectionNorTheLeadership() throws InterruptedException {
        try (LogCluster cluster = new LogCluster(directory, 3, 1_000, BUDGET_BYTES, this::relayed)) {
            cluster.startAll();
            String leader = cluster.awaitLeader();
            String absent = leader.equals("c1") ? "c2" : "c1";
            cluster.stop(absent);
            ControlCommand large = ControlCommand.newBuilder()
                    .setReplaceRoutes(RouteConfigurationDocument.newBuilder()
                            .setVersion(1)
                            .setSource(ByteString.copyFrom(new byte[SNAPSHOT_BYTES])))
                    .build();
            assertThat(awaitProposal(cluster, large, LogCluster.TIMEOUT)).isTrue();
            long term = cluster.log(leader).leadership().term();
            long silentBefore = cluster.silentConnections();
            relays.values().forEach(relay -> relay.setRate(SLOW_LINK_BYTES_PER_SECOND));
            cluster.start(absent);
            cluster.stop(cluster.runningMembers().stream()
                    .filter(id -> !id.equals(leader) && !id.equals(absent))
                    .findFirst()
                    .orElseThrow());
            assertWithMessage("every member applies a change within %s", RECOVERY)
                    .that(awaitProposal(cluster, change("after"), RECOVERY))
                    .isTrue();
            assertThat(cluster.silentConnections()).isEqualTo(silentBefore);
            assertThat(cluster.log(leader).leadership().term()).isEqualTo(term);
        }
    }

    private Endpoint relayed(String from, Endpoint to) {
        return relays.computeIfAbsent(new Direction(from, to), direction -> new SilentRelay(group, to))
                .endpoint();
    }

    /** Proposes to each leader in turn until every member has applied the change; false if none does in time. */
    private static boolean awaitProposal(LogCluster cluster, ControlCommand change, Duration timeout)
            throws InterruptedException {
        AtomicLong committedIndex = new AtomicLong(Long.MAX_VALUE);
        Map<String, CompletableFuture<?>> pending = new HashMap<>();
        long deadlineNs = System.nanoTime() + timeout.toNanos();
        while (System.nanoTime() < deadlineNs) {
            for (String id : cluster.runningMembers()) {
                ConsensusService log = cluster.log(id);
                boolean idle = !pending.containsKey(id) || pending.get(id).isCompletedExceptionally();
                if (idle && log.leadership().isLeader()) {
                    pending.put(id, log.propose(change).thenAccept(result -> committedIndex.set(log.appliedIndex())));
                }
            }
            if (cluster.runningMembers().stream()
                    .allMatch(id -> cluster.log(id).appliedIndex() >= committedIndex.get())) {
                return true;
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        return false;
    }

    private static ControlCommand change(String databaseId) {
        return ControlCommand.newBuilder()
                .setSetDepartures(
                        SetDepartures.newBuilder().addDatabaseIds(databaseId).setDeparting(true))
                .build();
    }

    /** The connections that a member opens to an endpoint. */
    private record Direction(String from, Endpoint to) {}

    /** What falls silent. */
    private enum Silence {
        ALL_LINKS {
            @Override
            void apply(Map<Direction, SilentRelay> relays, String leader) {
                relays.values().forEach(relay -> relay.silence(true, true));
            }
        },
        ALL_REQUESTS {
            @Override
            void apply(Map<Direction, SilentRelay> relays, String leader) {
                relays.values().forEach(relay -> relay.silence(true, false));
            }
        },
        ALL_ANSWERS {
            @Override
            void apply(Map<Direction, SilentRelay> relays, String leader) {
                relays.values().forEach(relay -> relay.silence(false, true));
            }
        },
        CONNECTIONS_OPENED_IN_THE_DARK {
            @Override
            void apply(Map<Direction, SilentRelay> relays, String leader) throws InterruptedException {
                relays.values().forEach(relay -> relay.setDark(true));
                relays.values().forEach(SilentRelay::reset);
                Thread.sleep(DARK_TIME.toMillis());
                relays.values().forEach(relay -> relay.setDark(false));
            }
        },
        LINKS_OF_THE_LEADER {
            @Override
            void apply(Map<Direction, SilentRelay> relays, String leader) {
                relays.forEach((direction, relay) -> {
                    boolean ofLeader = direction.from().equals(leader);
                    relay.silence(ofLeader, ofLeader);
                });
            }
        },
        REQUESTS_OF_THE_LEADER {
            @Override
            void apply(Map<Direction, SilentRelay> relays, String leader) {
                relays.forEach(
                        (direction, relay) -> relay.silence(direction.from().equals(leader), false));
            }
        },
        ONE_DIRECTION {
            @Override
            void apply(Map<Direction, SilentRelay> relays, String leader) {
                relays.entrySet().stream()
                        .filter(entry -> entry.getKey().from().equals(leader))
                        .findFirst()
                        .orElseThrow()
                        .getValue()
                        .silence(true, false);
            }
        };

        abstract void apply(Map<Direction, SilentRelay> relays, String leader) throws InterruptedException;
    }
}
