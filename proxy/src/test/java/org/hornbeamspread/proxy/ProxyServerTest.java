package org.hornbeamspread.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.Effect;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.runtime.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Executes single statements through two complete proxies. Guards against writes that are acknowledged before a replica
 * holds them, and against reads that miss the session's own writes.
 */
final class ProxyServerTest {
    private ProxyHarness harness;

    @BeforeEach
    void start() {
        harness = new ProxyHarness(new MonotonicClock());
    }

    @AfterEach
    void close() {
        harness.close();
    }

    @ParameterizedTest
    @CsvSource({"at the holder, p1", "relayed to the holder, p2"})
    void aWriteIsAcknowledgedOnceAReplicaHoldsIt(String name, String proxyId) {
        CompletableFuture<ExecuteResponse> write = harness.execute(proxyId, ProxyHarness.write("key-1"));
        harness.primary.nextCall().respondExecuted(1, 6, "done");
        assertThat(write.isDone()).isFalse();
        harness.sameRegionReplica.advanceLogTo(1, 6);
        ExecuteResponse response = write.join();
        assertThat(response.getEffect()).isEqualTo(Effect.DONE);
        assertThat(response.getProxyId()).isEqualTo(proxyId);
        assertThat(response.getResults(0).getRows(0).getColumns(0)).isEqualTo("done");
    }

    @Test
    void sessionReadsItsOwnWriteThroughAnotherProxyAtAReplica() {
        CompletableFuture<ExecuteResponse> write = harness.execute("p1", ProxyHarness.write("key-1"));
        harness.primary.nextCall().respondExecuted(1, 6, "done");
        harness.primary.advanceLogTo(1, 6);
        harness.otherRegionReplica.advanceLogTo(1, 6);
        ProxyHarness.awaitReadableAt(harness.second, "c", new LogPosition(1, 6));
        CompletableFuture<ExecuteResponse> read = harness.execute(
                "p2",
                ProxyHarness.read()
                        .setSessionToken(write.join().getSessionToken())
                        .build());
        harness.otherRegionReplica.nextCall().respondExecuted(1, 6, "seen");
        assertThat(read.join().getFromReplica()).isTrue();
        assertThat(read.join().getDatabaseId()).isEqualTo("c");
    }

    @Test
    void readResultBehindTheSessionPositionIsDiscarded() {
        ProxyHarness.awaitReadableAt(harness.second, "c", new LogPosition(1, 5));
        CompletableFuture<ExecuteResponse> write = harness.execute("p1", ProxyHarness.write("key-1"));
        harness.primary.nextCall().respondExecuted(1, 6, "done");
        harness.primary.advanceLogTo(1, 6);
        harness.otherRegionReplica.advanceLogTo(1, 6);
        ProxyHarness.awaitReadableAt(harness.second, "c", new LogPosition(1, 6));
        CompletableFuture<ExecuteResponse> read = harness.execute(
                "p2",
                ProxyHarness.read()
                        .setSessionToken(write.join().getSessionToken())
                        .build());
        harness.otherRegionReplica.nextCall().respondExecuted(1, 5, "stale");
        harness.primary.nextCall().respondExecuted(1, 6, "fresh");
        assertThat(read.join().getResults(0).getRows(0).getColumns(0)).isEqualTo("fresh");
    }

    @Test
    void departingReplicaReceivesNoReads() {
        ProxyHarness.awaitReadableAt(harness.first, "b", new LogPosition(1, 5));
        harness.publish(1, "p1", 1, "b");
        CompletableFuture<ExecuteResponse> read =
                harness.execute("p1", ProxyHarness.read().build());
        harness.primary.nextCall().respondExecuted(1, 5, "at the primary");
        assertThat(read.join().getDatabaseId()).isEqualTo("a");
    }

    @Test
    void sessionWithoutTokenReadsAtThePrimarysCurrentPosition() {
        harness.primary.advanceLogTo(1, 9);
        CompletableFuture<ExecuteResponse> read = harness.execute(
                "p1", ProxyHarness.read().setSessionId("agent-7").build());
        harness.primary.nextCall().respondExecuted(1, 9, "fresh");
        assertThat(read.join().getDatabaseId()).isEqualTo("a");
    }

    @Test
    void keyedWriteIsRetriedAtTheNewHolder() {
        CompletableFuture<ExecuteResponse> write = harness.execute("p2", ProxyHarness.write("key-1"));
        FakeDatabase.Call firstCall = harness.primary.nextCall();
        harness.publish(1, "p2", 2);
        FakeDatabase.Call retry = harness.primary.nextCall();
        assertThat(retry.request().getExecuteStatements())
                .isEqualTo(firstCall.request().getExecuteStatements());
        retry.respondExecuted(1, 6, "done");
        harness.sameRegionReplica.advanceLogTo(1, 6);
        assertThat(write.join().getEffect()).isEqualTo(Effect.DONE);
    }
}
