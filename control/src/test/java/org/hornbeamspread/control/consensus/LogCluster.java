package org.hornbeamspread.control.consensus;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.hornbeamspread.control.state.ControlStateMachine;
import org.hornbeamspread.control.storage.WriteInterceptor;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.runtime.MonotonicClock;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;

/** The members of one replicated log on loopback, with real files. */
final class LogCluster implements AutoCloseable {
    static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final PeerTransport transport = new PeerTransport(2);

    /** The address at which a member connects to an announced endpoint. */
    private final BiFunction<String, Endpoint, Endpoint> links;

    /** The transports on which members connect. */
    private final Map<String, PeerTransport> memberTransports = new TreeMap<>();

    private final Path directory;
    private final int snapshotIntervalRecords;
    private final long budgetBytes;
    /** The members that the log is bootstrapped with. */
    private final List<ControlMember> initialMembers = new ArrayList<>();

    private final Map<String, PeerServer> servers = new TreeMap<>();
    private final Map<String, AtomicReference<ConsensusService>> handlers = new TreeMap<>();
    private final Map<String, RunningMember> running = new TreeMap<>();
    private final Map<String, RecordedEvents> events = new TreeMap<>();

    LogCluster(Path directory, int size, int snapshotIntervalRecords) {
        this(directory, size, snapshotIntervalRecords, 1 << 20);
    }

    LogCluster(Path directory, int size, int snapshotIntervalRecords, long budgetBytes) {
        this(directory, size, snapshotIntervalRecords, budgetBytes, (from, to) -> to);
    }

    LogCluster(
            Path directory,
            int size,
            int snapshotIntervalRecords,
            long budgetBytes,
            BiFunction<String, Endpoint, Endpoint> links) {
        this.links = links;
        this.directory = directory;
        this.budgetBytes = budgetBytes;
        this.snapshotIntervalRecords = snapshotIntervalRecords;
        for (int i = 1; i <= size; i++) {
            initialMembers.add(listen("c" + i));
        }
    }

    void start(String memberId) {
        start(memberId, WriteInterceptor.NONE);
    }

    void start(String memberId, WriteInterceptor interceptor) {
        start(memberId, initialMembers, interceptor);
    }

    void start(String memberId, List<ControlMember> members, WriteInterceptor interceptor) {
        ConsensusSettings defaults = ConsensusSettings.of(memberId, "test", members, directory(memberId));
        ConsensusSettings settings = new ConsensusSettings(
                memberId,
                defaults.clusterId(),
                members,
                defaults.dataDirectory(),
                defaults.electionTimeout(),
                defaults.heartbeatInterval(),
                snapshotIntervalRecords,
                budgetBytes,
                defaults.bootstrapMode(),
                defaults.voterPolicy());
        ControlStateMachine state = new ControlStateMachine();
        ConsensusService log = new ConsensusService(
                settings,
                state,
                new MonotonicClock(),
                memberTransports.computeIfAbsent(
                        memberId, id -> new PeerTransport(1, endpoint -> links.apply(id, endpoint))),
                new PrometheusRegistry(),
                events(memberId),
                interceptor);
        running.put(memberId, new RunningMember(log, state));
        handlers.get(memberId).set(log);
        log.start();
    }

    void startAll() {
        initialMembers.forEach(member -> start(member.getMemberId()));
    }

    void stop(String memberId) {
        handlers.get(memberId).set(null);
        running.remove(memberId).log().close();
    }

    /** The number of connections between members that were closed because no bytes arrived any more. */
    long silentConnections() {
        return transport.counters().silentConnections()
                + memberTransports.values().stream()
                        .mapToLong(member -> member.counters().silentConnections())
                        .sum();
    }

    List<String> runningMembers() {
        return List.copyOf(running.keySet());
    }

    ConsensusService log(String memberId) {
        return running.get(memberId).log();
    }

    ControlStateMachine state(String memberId) {
        return running.get(memberId).state();
    }

    /** The events that a member has recorded since its first start. */
    RecordedEvents events(String memberId) {
        return events.computeIfAbsent(memberId, id -> new RecordedEvents());
    }

    List<String> initialMemberIds() {
        return initialMembers.stream().map(ControlMember::getMemberId).toList();
    }

    Path directory(String memberId) {
        return directory.resolve(memberId);
    }

    /** Deletes the files of a stopped member. */
    void deleteDisk(String memberId) throws IOException {
        try (Stream<Path> files = Files.list(directory(memberId))) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
    }

    static <T> T await(CompletableFuture<T> future) {
        return future.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
    }

    /** Waits until a running member leads and returns its id. */
    String awaitLeader() {
        CompletableFuture<String> leader = new CompletableFuture<>();
        running.forEach((id, member) -> {
            member.log().onLeadershipChange(leadership -> {
                if (leadership.isLeader()) {
                    leader.complete(id);
                }
            });
            if (member.log().leadership().isLeader()) {
                leader.complete(id);
            }
        });
        return await(leader);
    }

    /** Completes with the members of the log as a member holds them, once they match. */
    CompletableFuture<List<ControlMember>> membersMatching(String memberId, Predicate<List<ControlMember>> wanted) {
        CompletableFuture<List<ControlMember>> reached = new CompletableFuture<>();
        Consumer<List<ControlMember>> check = present -> {
            if (wanted.test(present)) {
                reached.complete(present);
            }
        };
        log(memberId).onMembersChange(check);
        check.accept(log(memberId).members());
        return reached;
    }

    /** Waits until a member has applied the record at an index. */
    void awaitApplied(String memberId, long index) {
        CompletableFuture<Void> reached = new CompletableFuture<>();
        log(memberId).onApplied(applied -> {
            if (applied >= index) {
                reached.complete(null);
            }
        });
        if (log(memberId).appliedIndex() >= index) {
            return;
        }
        await(reached);
    }

    @Override
    public void close() {
        List.copyOf(running.keySet()).forEach(this::stop);
        servers.values().forEach(PeerServer::close);
        memberTransports.values().forEach(PeerTransport::close);
        transport.close();
    }

    /** Opens the peer port of a member and returns the member with its endpoint. */
    ControlMember listen(String memberId) {
        AtomicReference<ConsensusService> handler = new AtomicReference<>();
        PeerServer server = transport
                .listen(Endpoint.newBuilder().setHost("127.0.0.1").build(), (peer, request, replyCallback) -> {
                    ConsensusService log = handler.get();
                    if (log != null) {
                        log.handle(peer, request, replyCallback);
                    }
                })
                .join();
        handlers.put(memberId, handler);
        servers.put(memberId, server);
        return ControlMember.newBuilder()
                .setMemberId(memberId)
                .setPeer(Endpoint.newBuilder().setHost("127.0.0.1").setPort(server.port()))
                .build();
    }

    /** A running member. */
    private record RunningMember(ConsensusService log, ControlStateMachine state) {}
}
