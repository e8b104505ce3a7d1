package org.hornbeamspread.proxy;

import com.google.protobuf.Message;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.http.RpcClient;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.protocol.schema.Statement;
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.PeerTransport;

/**
 * Two complete proxies, p1 in failure domain bole and p2 in failure domain sabian, with a fake control and three fake
 * databases.
 */
final class ProxyHarness implements AutoCloseable {
    static final int IDLE_TRANSACTION_MS = 60_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    final PeerTransport transport = new PeerTransport(2);
    final FakeControlLeader control = new FakeControlLeader(transport);
    final FakeDatabase primary = new FakeDatabase(transport, "a", true);
    final FakeDatabase sameRegionReplica = new FakeDatabase(transport, "b", false);
    final FakeDatabase otherRegionReplica = new FakeDatabase(transport, "c", false);
    final ProxyServer first;
    final ProxyServer second;
    private final RpcClient client = new RpcClient();

    /** Starts with all logs at position (term 1, index 5) and p1 as the holder of every database. */
    ProxyHarness(Clock clock) {
        first = proxy("p1", "bole", "addis", clock);
        second = proxy("p2", "sabian", "dire-dawa", clock);
        primary.advanceLogTo(1, 5);
        sameRegionReplica.advanceLogTo(1, 5);
        otherRegionReplica.advanceLogTo(1, 5);
        first.start();
        second.start();
        publish(1, "p1", 1);
    }

    void publish(long term, String holder, long holderEpoch, String... departing) {
        control.publish(
                TestViews.group(
                        term,
                        true,
                        Stream.of(primary, sameRegionReplica, otherRegionReplica)
                                .map(
                                        database -> TestViews.database(
                                                        database.databaseId(), database.endpoint(), holder, holderEpoch)
                                                .toBuilder()
                                                .setDeparting(List.of(departing).contains(database.databaseId()))
                                                .build())
                                .toList()),
                "p1",
                "p2");
    }

    /** Blocks until the proxy may serve reads at a position from a replica. */
    static void awaitReadableAt(ProxyServer proxy, String databaseId, LogPosition position) {
        proxy.awaitApplied(TestViews.GROUP, "a", position).join();
        proxy.awaitApplied(TestViews.GROUP, databaseId, position).join();
        proxy.requestPrimaryPosition(TestViews.GROUP).join();
    }

    CompletableFuture<ExecuteResponse> execute(String proxyId, ExecuteRequest request) {
        return call(proxyId, "Execute", request, ExecuteResponse.getDefaultInstance());
    }

    <A extends Message> CompletableFuture<A> call(String proxyId, String method, Message request, A responseType) {
        Endpoint endpoint = Endpoint.newBuilder()
                .setHost("127.0.0.1")
                .setPort(("p1".equals(proxyId) ? first : second).httpPort())
                .build();
        return client.call(endpoint, "hornbeamspread.Statements/" + method, request, responseType, TIMEOUT);
    }

    static ExecuteRequest write(String key) {
        return request().setIdempotencyKey(key).build();
    }

    static ExecuteRequest.Builder read() {
        return request().setReadOnly(true);
    }

    @Override
    public void close() {
        first.close();
        second.close();
        transport.close();
    }

    private static ExecuteRequest.Builder request() {
        return ExecuteRequest.newBuilder()
                .setService("rental-core")
                .setRank("urgent")
                .setRoutingKey("club-1")
                .setCallerId("agent-7")
                .addStatements(Statement.newBuilder().setName("row.get"));
    }

    private ProxyServer proxy(String proxyId, String failureDomain, String region, Clock clock) {
        Endpoint loopback = Endpoint.newBuilder().setHost("127.0.0.1").build();
        ProxySettings settings = new ProxySettings(
                proxyId,
                loopback,
                loopback,
                failureDomain,
                region,
                List.of(control.endpoint()),
                AddressTranslator.identity(),
                0,
                IDLE_TRANSACTION_MS,
                100,
                1,
                SlotOrder.RANK,
                "hornbeamspread");
        return new ProxyServer(settings, clock);
    }
}
