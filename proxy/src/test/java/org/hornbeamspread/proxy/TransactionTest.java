package org.hornbeamspread.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.ManualClock;
import org.hornbeamspread.protocol.schema.BeginRequest;
import org.hornbeamspread.protocol.schema.BeginResponse;
import org.hornbeamspread.protocol.schema.Effect;
import org.hornbeamspread.protocol.schema.EndRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses and open transactions that reach another user of the same connection, with two complete
 * proxies. The proxies use a manual clock and the transport a real timer, so a request times out only when a response
 * is missing.
 */
final class TransactionTest {
    private final ManualClock clock = new ManualClock();
    private ProxyHarness harness;

    @BeforeEach
    void start() {
        harness = new ProxyHarness(clock);
    }

    @AfterEach
    void close() {
        harness.close();
    }

    /** While a transaction is open, statements outside the transaction run on other connections. */
    @ParameterizedTest
    @ValueSource(strings = {"p1", "p2"})
    void transactionHasAnExclusiveConnectionFromBeginToCommit(String proxyId) {
        CompletableFuture<BeginResponse> begin = begin(proxyId, 0);
        FakeDatabase.Call begun = harness.primary.nextCall();
        begun.respondBegun();
        String id = begin.join().getTransactionId();

        CompletableFuture<ExecuteResponse> other = harness.execute(proxyId, ProxyHarness.write("key-1"));
        FakeDatabase.Call otherCall = harness.primary.nextCall();
        CompletableFuture<ExecuteResponse> inside = execute(proxyId, id);
        FakeDatabase.Call insideCall = harness.primary.nextCall();
        assertThat(otherCall.connection()).isNotSameInstanceAs(begun.connection());
        assertThat(insideCall.connection()).isSameInstanceAs(begun.connection());
        insideCall.respondExecuted(1, 5, "inside");
        otherCall.respondExecuted(1, 6, "other");
        assertThat(inside.join().getResults(0).getRows(0).getColumns(0)).isEqualTo("inside");

        CompletableFuture<ExecuteResponse> commit = end(proxyId, "Commit", id);
        FakeDatabase.Call committed = harness.primary.nextCall();
        assertThat(committed.connection()).isSameInstanceAs(begun.connection());
        committed.respondEnded(1, 7);
        assertThat(commit.isDone()).isFalse();
        harness.sameRegionReplica.advanceLogTo(1, 7);
        assertThat(commit.join().getEffect()).isEqualTo(Effect.DONE);
        assertThat(commit.join().getProxyId()).isEqualTo("p1");
        assertThat(other.join().getResults(0).getRows(0).getColumns(0)).isEqualTo("other");
    }

    @Test
    void idleTransactionIsClosedWithItsConnection() {
        CompletableFuture<BeginResponse> begin = begin("p1", 0);
        FakeDatabase.Call begun = harness.primary.nextCall();
        begun.respondBegun();
        String id = begin.join().getTransactionId();
        clock.advance(Duration.ofMillis(ProxyHarness.IDLE_TRANSACTION_MS));
        harness.primary.closeFuture(begun.connection()).join();
        assertFailed(execute("p1", id), "UNKNOWN_TRANSACTION", Effect.NOT_RUN);
        assertFailed(end("p2", "Commit", id), "TRANSACTION_LOST", Effect.UNKNOWN);
    }

    /** The first statement times out; its late response must not reach the second statement. */
    @Test
    void lateResponseNeverReachesAnotherStatementAndItsConnectionIsNotReused() {
        CompletableFuture<ExecuteResponse> slow = harness.execute(
                "p1", ProxyHarness.write("").toBuilder().setTimeoutMs(300).build());
        FakeDatabase.Call late = harness.primary.nextCall();
        assertThat(slow.join().getFailure().getType()).isEqualTo("TIMEOUT_AFTER_SEND");
        assertThat(slow.join().getEffect()).isEqualTo(Effect.UNKNOWN);
        CompletableFuture<ExecuteResponse> next = harness.execute("p1", ProxyHarness.write("key-2"));
        FakeDatabase.Call second = harness.primary.nextCall();
        assertThat(second.connection()).isNotSameInstanceAs(late.connection());
        late.respondExecuted(1, 6, "of the first");
        second.respondExecuted(1, 7, "of the second");
        harness.sameRegionReplica.advanceLogTo(1, 7);
        assertThat(next.join().getResults(0).getRows(0).getColumns(0)).isEqualTo("of the second");
    }

    /** The response does not arrive in time: the outcome is unknown, and the connection is never reused. */
    @ParameterizedTest
    @CsvSource({"Execute, TRANSACTION_LOST", "Commit, TIMEOUT_AFTER_SEND"})
    void missingResponseEndsTheTransaction(String method, String type) {
        CompletableFuture<BeginResponse> begin = begin("p1", 3_000);
        FakeDatabase.Call begun = harness.primary.nextCall();
        begun.respondBegun();
        String id = begin.join().getTransactionId();
        CompletableFuture<ExecuteResponse> late = "Execute".equals(method) ? execute("p1", id) : end("p1", method, id);
        harness.primary.nextCall();
        harness.primary.closeFuture(begun.connection()).join();
        assertFailed(late, type, Effect.UNKNOWN);
        assertFailed(execute("p1", id), "UNKNOWN_TRANSACTION", Effect.NOT_RUN);
    }

    /** The token was decoded after the response: a commit that had taken effect was reported as not run. */
    @ParameterizedTest
    @ValueSource(strings = {"Execute", "Commit"})
    void malformedSessionTokenIsRefusedBeforeAnythingIsSent(String method) {
        CompletableFuture<BeginResponse> begin = begin("p1", 0);
        harness.primary.nextCall().respondBegun();
        String id = begin.join().getTransactionId();
        CompletableFuture<ExecuteResponse> malformed =
                "Execute".equals(method) ? execute("p1", id, "not a token") : end("p1", method, id, "not a token");
        assertFailed(malformed, "INVALID_TOKEN", Effect.NOT_RUN);

        CompletableFuture<ExecuteResponse> rollback = end("p1", "Rollback", id);
        FakeDatabase.Call next = harness.primary.nextCall();
        assertThat(next.request().hasRollbackTransaction()).isTrue();
        next.respondEnded(1, 5);
        assertThat(rollback.join().getEffect()).isEqualTo(Effect.DONE);
    }

    @ParameterizedTest
    @CsvSource({
        "p1, p1:1:00, UNKNOWN_TRANSACTION, NOT_RUN",
        "p2, gone:1:00, UNKNOWN_TRANSACTION, NOT_RUN",
        "p2, p1:1:00, UNKNOWN_TRANSACTION, NOT_RUN",
        "p1, nonsense, UNKNOWN_TRANSACTION, NOT_RUN",
    })
    void transactionOfAnUnknownOrRestartedProxyIsLost(String proxyId, String id, String type, Effect effect) {
        assertFailed(execute(proxyId, id), type, effect);
        if (!"nonsense".equals(id)) {
            assertFailed(end(proxyId, "Commit", id), "TRANSACTION_LOST", Effect.UNKNOWN);
        }
    }

    private static void assertFailed(CompletableFuture<ExecuteResponse> response, String type, Effect effect) {
        assertThat(response.join().getFailure().getType()).isEqualTo(type);
        assertThat(response.join().getEffect()).isEqualTo(effect);
    }

    private CompletableFuture<BeginResponse> begin(String proxyId, int timeoutMs) {
        BeginRequest request = BeginRequest.newBuilder()
                .setService("rental-core")
                .setRank("urgent")
                .setRoutingKey("club-1")
                .setTimeoutMs(timeoutMs)
                .build();
        return harness.call(proxyId, "Begin", request, BeginResponse.getDefaultInstance());
    }

    private CompletableFuture<ExecuteResponse> execute(String proxyId, String id) {
        return execute(proxyId, id, "");
    }

    private CompletableFuture<ExecuteResponse> execute(String proxyId, String id, String sessionToken) {
        return harness.execute(
                proxyId,
                ProxyHarness.write("").toBuilder()
                        .setTransactionId(id)
                        .setSessionToken(sessionToken)
                        .build());
    }

    private CompletableFuture<ExecuteResponse> end(String proxyId, String method, String id) {
        return end(proxyId, method, id, "");
    }

    private CompletableFuture<ExecuteResponse> end(String proxyId, String method, String id, String sessionToken) {
        EndRequest request = EndRequest.newBuilder()
                .setTransactionId(id)
                .setSessionToken(sessionToken)
                .build();
        return harness.call(proxyId, method, request, ExecuteResponse.getDefaultInstance());
    }
}
