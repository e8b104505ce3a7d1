package org.hornbeamspread.proxy.session;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.ManualClock;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.protocol.schema.DrainingInstance;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.Position;
import org.hornbeamspread.protocol.schema.PrimaryPosition;
import org.hornbeamspread.protocol.schema.RegisteredInstance;
import org.hornbeamspread.protocol.schema.SystemUpdate;
import org.hornbeamspread.protocol.schema.WatchSystem;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A watch that stops after one bad message leaves its proxy with an old view for as long as the process runs. */
final class SystemWatchTest {
    private static final int TIMEOUT_S = 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final PeerTransport transport = new PeerTransport(group);
    private final ManualClock clock = new ManualClock();
    private final BlockingQueue<Watch> watches = new LinkedBlockingQueue<>();
    private final PeerServer leader = transport
            .listen(
                    Endpoint.newBuilder().setHost("127.0.0.1").build(),
                    (connection, request, answer) ->
                            watches.add(new Watch(connection, request.getWatchSystem(), answer)))
            .join();
    private final SessionEngine engine = new SessionEngine(
            "proxy-1",
            "domain",
            Map.of(),
            (instance, timeout) -> new CompletableFuture<>(),
            clock,
            clock,
            group.next(),
            EventLog.NONE,
            new PrometheusRegistry());

    private record Watch(PeerConnection connection, WatchSystem request, Consumer<Envelope> answer) {
        void answer(SystemUpdate.Builder update) {
            answer.accept(Envelope.newBuilder().setSystemUpdate(update).build());
        }
    }

    @AfterEach
    void close() {
        leader.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void deltasAreAppliedToTheInstancesThatTheProxyHas() throws InterruptedException {
        start();
        nextWatch().answer(update(1).addInstances(instance("a", 1)).addInstances(instance("b", 1)));
        nextWatch()
                .answer(update(2).setDelta(true).addInstances(instance("c", 3)).addRemovedInstanceIds("a"));

        assertThat(nextWatch().request().getSystemVersion()).isEqualTo(2);
        assertThat(instanceIds()).containsExactly("b", "c").inOrder();
    }

    @Test
    void watchContinuesAfterAMalformedUpdateAndRequestsTheWholeState() throws InterruptedException {
        start();
        nextWatch().answer(update(1).addInstances(instance("a", 1)));
        nextWatch()
                .answer(update(2)
                        .setDelta(true)
                        .addInstances(instance("b", 1))
                        .addRemovedInstanceIds("a")
                        .addPositions(PrimaryPosition.newBuilder()
                                .setPosition(Position.newBuilder().setTerm(-1))));

        Watch retried = nextWatch();
        assertThat(retried.request().getSystemVersion()).isEqualTo(0);
        assertThat(instanceIds()).containsExactly("a");
        retried.answer(update(2).addInstances(instance("b", 1)));
        nextWatch();
        assertThat(instanceIds()).containsExactly("b");
    }

    @Test
    void silentConnectionToTheLeaderIsReplaced() throws InterruptedException {
        start();
        nextWatch().answer(update(1).addInstances(instance("a", 1)));
        Watch unanswered = nextWatch();
        Watch retried = nextWatch();
        retried.answer(update(2).addInstances(instance("b", 1)));
        nextWatch();

        assertThat(retried.connection()).isNotSameInstanceAs(unanswered.connection());
        assertThat(instanceIds()).containsExactly("b");
    }

    /** An instance that names no usable database kept a proxy from every update that contained it. */
    @Test
    void unusableInstanceIsIgnoredAndTheOthersAreApplied() throws InterruptedException {
        start();
        nextWatch().answer(update(1).addInstances(instance("a", 1)));
        nextWatch()
                .answer(update(2)
                        .setDelta(true)
                        .addInstances(instance("b", 70_000))
                        .addInstances(instance("c", 1)));

        assertThat(nextWatch().request().getSystemVersion()).isEqualTo(2);
        assertThat(instanceIds()).containsExactly("a", "c").inOrder();
    }

    /** A late proxy counted the time of a draining primary from its own start (review case 15). */
    @Test
    void timeOfADrainingAnnouncementIsThatOfControl() throws InterruptedException {
        start();
        nextWatch()
                .answer(update(1)
                        .addInstances(instance("a", 1))
                        .addDraining(
                                DrainingInstance.newBuilder().setInstanceId("a").setAgeMs(3_500)));
        nextWatch();
        Map<String, Long> drainingSinceMs = CompletableFuture.supplyAsync(
                        () -> engine.view().drainingSinceMs(), group.next())
                .join();

        assertThat(drainingSinceMs).containsExactly("a", clock.millis() - 3_500);
    }

    /** A control member with a port out of range ended the polling of each proxy that tried to connect to it. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 65_536})
    void watchContinuesAfterAnUpdateThatNamesAnUnusableControlMember(int port) throws InterruptedException {
        start();
        nextWatch()
                .answer(update(1)
                        .addControlPeers(
                                Endpoint.newBuilder().setHost("127.0.0.1").setPort(port)));

        for (int i = 0; i < 4; i++) {
            nextWatch().answer.accept(notLeader(""));
        }
        nextWatch();
    }

    @ParameterizedTest
    @ValueSource(strings = {"127.0.0.1:65536", "127.0.0.1:", "leader:control-1", ":1"})
    void watchContinuesAfterAMalformedRedirect(String redirect) throws InterruptedException {
        start();
        nextWatch().answer.accept(notLeader(redirect));
        nextWatch();
    }

    private static Envelope notLeader(String detail) {
        return Envelopes.failureEnvelope(new FailureException(FailureType.NOT_LEADER, detail));
    }

    private void start() {
        Endpoint endpoint = Endpoint.newBuilder()
                .setHost("127.0.0.1")
                .setPort(leader.port())
                .build();
        new SystemWatch(
                        "proxy-1",
                        "domain",
                        1,
                        engine,
                        transport,
                        group.next(),
                        () -> List.of(endpoint),
                        clock,
                        EventLog.NONE)
                .start();
    }

    private Watch nextWatch() throws InterruptedException {
        Watch watch = watches.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertThat(watch).isNotNull();
        return watch;
    }

    private List<String> instanceIds() {
        return CompletableFuture.supplyAsync(() -> engine.view().instances(), group.next()).join().stream()
                .map(DatabaseInstance::instanceId)
                .toList();
    }

    private static SystemUpdate.Builder update(long version) {
        return SystemUpdate.newBuilder()
                .setLeaderTerm(1)
                .setSystemVersion(version)
                .setChanged(true);
    }

    private static RegisteredInstance instance(String id, int port) {
        return RegisteredInstance.newBuilder()
                .setInstanceId(id)
                .setService("ledger")
                .setFailureDomain("domain")
                .setSlots(2)
                .setEndpoint(Endpoint.newBuilder().setHost("10.0.0.1").setPort(port))
                .build();
    }
}
