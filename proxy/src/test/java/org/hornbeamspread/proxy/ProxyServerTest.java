package org.hornbeamspread.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.Effect;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.runtime.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Executes single statements through two complete proxies. Guards against writes that are acknowledged before a replica
 * holds them, and against reads that miss the session's own writes.
 */
final class ProxyServerTest {
    private final TestBed bed = new TestBed(new MonotonicClock());

    @AfterEach
    void close() {
        bed.close();
    }

    @ParameterizedTest
    @CsvSource({"at the holder, p1", "relayed to the holder, p2"})
    void aWriteIsAcknowledgedOnceAReplicaHoldsIt(String name, String proxyId) {
        CompletableFuture<ExecuteResponse> write = bed.execute(proxyId, TestBed.write("key-1"));
        bed.primary.nextCall().respondExecuted(1, 6, "done");
        assertThat(write.isDone()).isFalse();
        bed.sameRegionReplica.advanceLogTo(1, 6);
        ExecuteResponse answer = write.join();
        assertThat(answer.getEffect()).isEqualTo(Effect.DONE);
        assertThat(answer.getProxyId()).isEqualTo(proxyId);
        assertThat(answer.getResults(0).getRows(0).getColumns(0)).isEqualTo("done");
    }

    @Test
    void sessionReadsItsOwnWriteThroughAnotherProxyAtAReplica() {
        CompletableFuture<ExecuteResponse> write = bed.execute("p1", TestBed.write("key-1"));
        bed.primary.nextCall().respondExecuted(1, 6, "done");
        bed.primary.advanceLogTo(1, 6);
        bed.otherRegionReplica.advanceLogTo(1, 6);
        TestBed.awaitReadableAt(bed.second, "c", new LogPosition(1, 6));
        CompletableFuture<ExecuteResponse> read = bed.execute(
                "p2",
                TestBed.read().setSessionToken(write.join().getSessionToken()).build());
        bed.otherRegionReplica.nextCall().respondExecuted(1, 6, "seen");
        assertThat(read.join().getFromReplica()).isTrue();
        assertThat(read.join().getDatabaseId()).isEqualTo("c");
    }

    @Test
    void readResultBehindTheSessionPositionIsDiscarded() {
        TestBed.awaitReadableAt(bed.second, "c", new LogPosition(1, 5));
        CompletableFuture<ExecuteResponse> write = bed.execute("p1", TestBed.write("key-1"));
        bed.primary.nextCall().respondExecuted(1, 6, "done");
        bed.primary.advanceLogTo(1, 6);
        bed.otherRegionReplica.advanceLogTo(1, 6);
        TestBed.awaitReadableAt(bed.second, "c", new LogPosition(1, 6));
        CompletableFuture<ExecuteResponse> read = bed.execute(
                "p2",
                TestBed.read().setSessionToken(write.join().getSessionToken()).build());
        bed.otherRegionReplica.nextCall().respondExecuted(1, 5, "stale");
        bed.primary.nextCall().respondExecuted(1, 6, "fresh");
        assertThat(read.join().getResults(0).getRows(0).getColumns(0)).isEqualTo("fresh");
    }

    @Test
    void departingReplicaReceivesNoReads() {
        TestBed.awaitReadableAt(bed.first, "b", new LogPosition(1, 5));
        bed.publish(1, "p1", 1, "b");
        CompletableFuture<ExecuteResponse> read =
                bed.execute("p1", TestBed.read().build());
        bed.primary.nextCall().respondExecuted(1, 5, "at the primary");
        assertThat(read.join().getDatabaseId()).isEqualTo("a");
    }

    @Test
    void sessionWithoutTokenReadsAtThePrimarysCurrentPosition() {
        bed.primary.advanceLogTo(1, 9);
        CompletableFuture<ExecuteResponse> read =
                bed.execute("p1", TestBed.read().setSessionId("agent-7").build());
        bed.primary.nextCall().respondExecuted(1, 9, "fresh");
        assertThat(read.join().getDatabaseId()).isEqualTo("a");
    }

    @Test
    void keyedWriteIsRetriedAtTheNewHolder() {
        CompletableFuture<ExecuteResponse> write = bed.execute("p2", TestBed.write("key-1"));
        FakeDatabase.Call firstCall = bed.primary.nextCall();
        bed.publish(1, "p2", 2);
        FakeDatabase.Call retry = bed.primary.nextCall();
        assertThat(retry.request().getExecuteStatements())
                .isEqualTo(firstCall.request().getExecuteStatements());
        retry.respondExecuted(1, 6, "done");
        bed.sameRegionReplica.advanceLogTo(1, 6);
        assertThat(write.join().getEffect()).isEqualTo(Effect.DONE);
    }
}
