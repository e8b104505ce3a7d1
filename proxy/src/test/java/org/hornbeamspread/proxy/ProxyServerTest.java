package org.hornbeamspread.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.http.RpcClient;
import org.hornbeamspread.protocol.schema.Effect;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.protocol.schema.Statement;
import org.hornbeamspread.runtime.MonotonicClock;
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.PeerTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Two whole proxies, p1 in bole and p2 in sabian, between a scripted control and three scripted databases. */
final class ProxyServerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final PeerTransport transport = new PeerTransport(2);
    private final FakeControl control = new FakeControl(transport);
    private final FakeDatabase primary = new FakeDatabase(transport, "a", true);
    private final FakeDatabase near = new FakeDatabase(transport, "b", false);
    private final FakeDatabase far = new FakeDatabase(transport, "c", false);
    private final RpcClient client = new RpcClient();
    private final ProxyServer first = proxy("p1", "bole", "addis");
    private final ProxyServer second = proxy("p2", "sabian", "dire-dawa");

    @BeforeEach
    void start() {
        primary.moveTo(1, 5);
        near.moveTo(1, 5);
        far.moveTo(1, 5);
        first.start();
        second.start();
        publish(1, "p1", 1);
    }

    @AfterEach
    void close() {
        first.close();
        second.close();
        transport.close();
    }

    @ParameterizedTest
    @CsvSource({"at the holder, p1", "relayed to the holder, p2"})
    void aWriteIsAcknowledgedOnceAReplicaHoldsIt(String name, String proxyId) {
        CompletableFuture<ExecuteResponse> write = execute(proxyId, write("key-1"));
        primary.next().executed(1, 6, "done");
        assertThat(write.isDone()).isFalse();
        near.moveTo(1, 6);
        ExecuteResponse answer = write.join();
        assertThat(answer.getEffect()).isEqualTo(Effect.DONE);
        assertThat(answer.getProxyId()).isEqualTo(proxyId);
        assertThat(answer.getResults(0).getRows(0).getColumns(0)).isEqualTo("done");
    }

    @Test
    void aSessionThatRoamsReadsItsOwnWriteAtAReplicaThatHoldsIt() {
        CompletableFuture<ExecuteResponse> write = execute("p1", write("key-1"));
        primary.next().executed(1, 6, "done");
        primary.moveTo(1, 6);
        far.moveTo(1, 6);
        awaitSeen(second, "c", new LogPosition(1, 6));
        CompletableFuture<ExecuteResponse> read = execute(
                "p2", read().setSessionToken(write.join().getSessionToken()).build());
        far.next().executed(1, 6, "seen");
        assertThat(read.join().getFromReplica()).isTrue();
        assertThat(read.join().getDatabaseId()).isEqualTo("c");
    }

    @Test
    void anAnswerThatIsBehindTheSessionIsNotPassedOn() {
        CompletableFuture<ExecuteResponse> write = execute("p1", write("key-1"));
        primary.next().executed(1, 6, "done");
        primary.moveTo(1, 6);
        far.moveTo(1, 6);
        awaitSeen(second, "c", new LogPosition(1, 6));
        CompletableFuture<ExecuteResponse> read = execute(
                "p2", read().setSessionToken(write.join().getSessionToken()).build());
        far.next().executed(1, 5, "stale");
        primary.next().executed(1, 6, "fresh");
        assertThat(read.join().getResults(0).getRows(0).getColumns(0)).isEqualTo("fresh");
    }

    @Test
    void aSessionWithoutItsTokenIsServedFromThePrimarysPositionOnArrival() {
        primary.moveTo(1, 9);
        CompletableFuture<ExecuteResponse> read =
                execute("p1", read().setSessionId("agent-7").build());
        primary.next().executed(1, 9, "fresh");
        assertThat(read.join().getDatabaseId()).isEqualTo("a");
    }

    /** The first statement times out; its answer comes late and must not reach the second one. */
    @Test
    void aLateAnswerNeverReachesAnotherStatementAndItsConnectionIsNotUsedAgain() {
        CompletableFuture<ExecuteResponse> slow =
                execute("p1", write("").toBuilder().setTimeoutMs(300).build());
        FakeDatabase.Call late = primary.next();
        assertThat(slow.join().getFailure().getType()).isEqualTo("TIMEOUT_AFTER_SEND");
        assertThat(slow.join().getEffect()).isEqualTo(Effect.UNKNOWN);
        CompletableFuture<ExecuteResponse> next = execute("p1", write("key-2"));
        FakeDatabase.Call second = primary.next();
        assertThat(second.connection()).isNotSameInstanceAs(late.connection());
        late.executed(1, 6, "of the first");
        second.executed(1, 7, "of the second");
        near.moveTo(1, 7);
        assertThat(next.join().getResults(0).getRows(0).getColumns(0)).isEqualTo("of the second");
    }

    @Test
    void aKeyedWriteIsSentAgainToTheNewHolder() {
        CompletableFuture<ExecuteResponse> write = execute("p2", write("key-1"));
        FakeDatabase.Call lost = primary.next();
        publish(1, "p2", 2);
        FakeDatabase.Call again = primary.next();
        assertThat(again.request().getExecuteStatements())
                .isEqualTo(lost.request().getExecuteStatements());
        again.executed(1, 6, "done");
        near.moveTo(1, 6);
        assertThat(write.join().getEffect()).isEqualTo(Effect.DONE);
    }

    /** Until the proxy may serve a position from a replica. */
    private static void awaitSeen(ProxyServer proxy, String databaseId, LogPosition position) {
        proxy.awaitApplied(TestViews.GROUP, "a", position).join();
        proxy.awaitApplied(TestViews.GROUP, databaseId, position).join();
        proxy.askPrimary(TestViews.GROUP).join();
    }

    private void publish(long term, String holder, long holderEpoch) {
        control.publish(
                TestViews.group(
                        term,
                        true,
                        Stream.of("a", "b", "c")
                                .map(id -> TestViews.database(id, database(id).endpoint(), holder, holderEpoch))
                                .toList()),
                "p1",
                "p2");
    }

    private FakeDatabase database(String id) {
        return "a".equals(id) ? primary : "b".equals(id) ? near : far;
    }

    private CompletableFuture<ExecuteResponse> execute(String proxyId, ExecuteRequest request) {
        Endpoint endpoint = Endpoint.newBuilder()
                .setHost("127.0.0.1")
                .setPort(("p1".equals(proxyId) ? first : second).httpPort())
                .build();
        return client.call(
                endpoint, "hornbeamspread.Statements/Execute", request, ExecuteResponse.getDefaultInstance(), TIMEOUT);
    }

    private static ExecuteRequest write(String key) {
        return request().setIdempotencyKey(key).build();
    }

    private static ExecuteRequest.Builder read() {
        return request().setReadOnly(true);
    }

    private static ExecuteRequest.Builder request() {
        return ExecuteRequest.newBuilder()
                .setService("rental-core")
                .setRank("urgent")
                .setRoutingKey("club-1")
                .setCallerId("agent-7")
                .addStatements(Statement.newBuilder().setName("row.get"));
    }

    private ProxyServer proxy(String proxyId, String failureDomain, String region) {
        Endpoint loopback = Endpoint.newBuilder().setHost("127.0.0.1").build();
        ProxySettings settings = new ProxySettings(
                proxyId,
                loopback.toBuilder().setPort(freePort()).build(),
                loopback,
                failureDomain,
                region,
                List.of(control.endpoint()),
                AddressTranslator.identity(),
                0,
                1_000,
                100,
                1);
        return new ProxyServer(settings, new MonotonicClock());
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
