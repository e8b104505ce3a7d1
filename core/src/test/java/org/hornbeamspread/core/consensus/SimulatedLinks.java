package org.hornbeamspread.core.consensus;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.hornbeamspread.core.connection.ConnectionLiveness;
import org.hornbeamspread.core.connection.ConnectionLiveness.Action;

/**
 * The members of a log on connections in memory. A request travels on a connection that its sender opened, a response back on the same
 * one. A silent direction of a connection drops messages, probes and ends for good; a connection opened later works.
 */
final class SimulatedLinks {
    /** All times are a fifth of those between processes, as the election timeout of {@link LogHarness} is. */
    private static final int SCALE = 5;

    static final Duration STABLE_WINDOW = Duration.ofSeconds(4).dividedBy(SCALE);
    private static final ConnectionLiveness.Parameters LIVENESS = new ConnectionLiveness.Parameters(
            ConnectionLiveness.Parameters.DEFAULT.probeIntervalMs() / SCALE,
            ConnectionLiveness.Parameters.DEFAULT.silenceLimitMs() / SCALE);
    private static final Duration ROUND = Duration.ofMillis(5);

    final LogHarness harness;
    private final boolean closesSilentConnections;
    private final Map<Pair, Connection> connections = new HashMap<>();
    private final Map<String, Deque<Runnable>> unread = new HashMap<>();
    private final Set<String> suspended = new TreeSet<>();
    private final Set<Pair> dark = new HashSet<>();

    SimulatedLinks(int members, long seed, boolean closesSilentConnections) {
        this.closesSilentConnections = closesSilentConnections;
        this.harness = new LogHarness(members, seed, EnumSet.allOf(ConsensusRule.class)).awaitBootstrap();
        harness.hosts.keySet().forEach(id -> unread.put(id, new ArrayDeque<>()));
        // The introductions of the bootstrap have opened every connection.
        ids().forEach(from -> ids().stream().filter(to -> !to.equals(from)).forEach(to -> connect(new Pair(from, to))));
        runFor(Duration.ofMillis(2 * LogHarness.ELECTION_TIMEOUT_MS));
    }

    List<String> ids() {
        return List.copyOf(harness.hosts.keySet());
    }

    /** Silences directions of the open connection that a member opened to another. */
    void silence(String from, String to, boolean requests, boolean answers) {
        Connection connection = connections.get(new Pair(from, to));
        if (connection != null) {
            connection.caller.silent |= requests;
            connection.target.silent |= answers;
        }
    }

    /** While a link is dark, a connection opened on it is silent from the start, and stays so. */
    void setDark(String from, String to, boolean isDark) {
        Pair pair = new Pair(from, to);
        if (isDark) {
            dark.add(pair);
            silence(from, to, true, true);
        } else {
            dark.remove(pair);
        }
    }

    void suspend(String id) {
        suspended.add(id);
    }

    /** What arrived during the suspension is read before the connections are judged. */
    void resume(String id) {
        suspended.remove(id);
        Deque<Runnable> waiting = unread.get(id);
        while (!waiting.isEmpty()) {
            waiting.poll().run();
        }
    }

    /** Loses power without a word: the connections of the member stay open at its peers. */
    void losePower(String id) {
        resume(id);
        harness.host(id).crash();
        connections.values().stream()
                .filter(connection -> connection.caller.id.equals(id) || connection.target.id.equals(id))
                .forEach(connection -> {
                    connection.caller.silent = true;
                    connection.target.silent = true;
                    (connection.caller.id.equals(id) ? connection.caller : connection.target).open = false;
                });
    }

    void start(String id) {
        harness.host(id).start();
    }

    void runFor(Duration time) {
        for (Duration run = Duration.ZERO; run.compareTo(time) < 0; run = run.plus(ROUND)) {
            round();
        }
    }

    /** Whether every member applies a new change of a leader within a time. */
    boolean commitsWithin(Duration time) {
        Map<Long, Long> proposalsByTerm = new HashMap<>();
        long before = harness.checker.lastCommitted();
        for (Duration run = Duration.ZERO; run.compareTo(time) < 0; run = run.plus(ROUND)) {
            round();
            harness.leader()
                    .ifPresent(leader -> proposalsByTerm.computeIfAbsent(
                            leader.node.term(), term -> leader.propose(Optional.empty())));
            boolean applied = harness.checker.lastCommitted() > before
                    && harness.hosts.values().stream().allMatch(host -> host.applied > before);
            if (applied && harness.leader().isPresent()) {
                return true;
            }
        }
        return false;
    }

    private void round() {
        harness.clock.advance(ROUND);
        running().forEach(LogHarness.Host::tick);
        List<LogHarness.Packet> packets = new ArrayList<>(harness.packetsInFlight);
        harness.packetsInFlight.clear();
        packets.forEach(this::carry);
        running().forEach(host -> host.sync(host.unsyncedPersists.size()));
        if (closesSilentConnections) {
            List.copyOf(connections.values()).forEach(connection -> {
                check(connection.caller, connection.target);
                check(connection.target, connection.caller);
            });
        }
    }

    private List<LogHarness.Host> running() {
        return harness.hosts.values().stream()
                .filter(host -> host.up && !suspended.contains(host.id))
                .toList();
    }

    private void carry(LogHarness.Packet packet) {
        boolean response = packet.message() instanceof Message.VoteResponse
                || packet.message() instanceof Message.AppendResponse
                || packet.message() instanceof Message.SnapshotResponse
                || packet.message() instanceof Message.IntroduceResponse;
        if (response) {
            Connection connection = connections.get(new Pair(packet.to(), packet.from()));
            if (connection != null) {
                send(connection.target, connection.caller, () -> harness.deliver(packet));
            }
            return;
        }
        Connection connection = connections.get(new Pair(packet.from(), packet.to()));
        if (connection == null || !connection.caller.open) {
            connection = connect(new Pair(packet.from(), packet.to()));
        }
        if (connection != null) {
            send(connection.caller, connection.target, () -> harness.deliver(packet));
        }
    }

    /** Null if the target refuses the connection. */
    private Connection connect(Pair pair) {
        if (!harness.host(pair.to()).up) {
            return null;
        }
        Connection opened = new Connection(new End(pair.from()), new End(pair.to()));
        opened.caller.silent = dark.contains(pair);
        opened.target.silent = opened.caller.silent;
        connections.put(pair, opened);
        return opened;
    }

    private void send(End from, End to, Runnable delivery) {
        from.liveness.onSent();
        if (!from.open || from.silent) {
            return;
        }
        Runnable arrival = () -> {
            if (to.open) {
                to.liveness.onReceived();
                delivery.run();
            }
        };
        if (suspended.contains(to.id)) {
            unread.get(to.id).add(arrival);
        } else {
            arrival.run();
        }
    }

    private void check(End end, End peer) {
        if (!end.open || suspended.contains(end.id) || !harness.host(end.id).up) {
            return;
        }
        Action action = end.liveness.nextAction();
        if (action == Action.SEND_PROBE) {
            send(end, peer, () -> {});
        } else if (action == Action.CLOSE) {
            send(end, peer, () -> peer.open = false);
            end.open = false;
        }
    }

    /** A link, by the member that opens connections on it. */
    private record Pair(String from, String to) {}

    private record Connection(End caller, End target) {}

    /** One end of a connection. */
    private final class End {
        final String id;
        final ConnectionLiveness liveness = new ConnectionLiveness(LIVENESS, harness.clock);
        boolean open = true;

        /** Whether what this end sends is dropped. */
        boolean silent;

        End(String id) {
            this.id = id;
        }
    }
}
