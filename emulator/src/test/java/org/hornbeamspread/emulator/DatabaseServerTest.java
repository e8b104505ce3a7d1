package org.hornbeamspread.emulator;

import static com.google.common.truth.Truth.assertThat;
import static org.hornbeamspread.emulator.TestDatabase.fenceRequest;
import static org.hornbeamspread.emulator.TestDatabase.readRequest;
import static org.hornbeamspread.emulator.TestDatabase.statement;
import static org.hornbeamspread.emulator.TestDatabase.writeRequest;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Announce;
import org.hornbeamspread.protocol.schema.BeginTransaction;
import org.hornbeamspread.protocol.schema.CommitTransaction;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.LookUpKey;
import org.hornbeamspread.protocol.schema.StatementsExecuted;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost, duplicated or prematurely visible writes when requests, replication and failovers of emulated
 * databases overlap.
 */
final class DatabaseServerTest {
    private final TestDatabase first = new TestDatabase("d1", 0, List.of());
    private final TestDatabase second = new TestDatabase("d2", 0, List.of());

    @AfterEach
    void close() {
        first.close();
        second.close();
    }

    @Test
    void aWriteIsReplicatedToTheFollower() {
        first.promoteAt(1);
        second.request(first.followRequest(1));
        StatementsExecuted written = first.request(writeRequest(1, "", statement("row.put", "t", "k", "v")))
                .getStatementsExecuted();
        second.awaitReport(
                report -> report.getApplied().equals(written.getPosition()) && report.getFollowedTerm() == 1);
        assertThat(second.readValue("t", "k")).isEqualTo("v");
    }

    @Test
    void anEntryIsReportedOnlyAfterTheReplicationLag() {
        Duration lag = Duration.ofMillis(60);
        try (TestDatabase slow = new TestDatabase("slow", lag.toMillis(), List.of())) {
            first.promoteAt(1);
            slow.request(first.followRequest(1));
            long startNs = System.nanoTime();
            StatementsExecuted written = first.request(writeRequest(1, "", statement("row.put", "t", "k", "v")))
                    .getStatementsExecuted();
            slow.awaitReport(report -> report.getSynced().equals(written.getPosition()));
            assertThat(Duration.ofNanos(System.nanoTime() - startNs)).isAtLeast(lag);
        }
    }

    @Test
    void aFenceRejectsWritesOfALowerTerm() {
        first.promoteAt(1);
        first.request(fenceRequest(2));
        assertThat(first.failureOf(writeRequest(1, "", statement("row.put", "t", "k", "v")))
                        .type())
                .isEqualTo(FailureType.WRONG_TERM);
        assertThat(first.failureOf(writeRequest(2, "", statement("row.put", "t", "k", "v")))
                        .type())
                .isEqualTo(FailureType.NOT_PRIMARY);
        assertThat(first.readValue("t", "k")).isEmpty();
        assertThat(first.failureOf(fenceRequest(2)).type()).isEqualTo(FailureType.WRONG_TERM);
    }

    @Test
    void promotionRequiresAFenceAtTheSameTerm() {
        first.request(fenceRequest(3));
        assertThat(first.failureOf(TestDatabase.promoteRequest(2)).type()).isEqualTo(FailureType.WRONG_TERM);
        assertThat(first.failureOf(TestDatabase.promoteRequest(4)).type()).isEqualTo(FailureType.WRONG_TERM);
        assertThat(first.request(TestDatabase.promoteRequest(3))
                        .getPromoted()
                        .getMarker()
                        .getTerm())
                .isEqualTo(3);
    }

    @Test
    void aDivergentTailIsTruncatedToThePrimarysLog() {
        first.promoteAt(1);
        second.request(first.followRequest(1));
        StatementsExecuted replicatedWrite = first.request(
                        writeRequest(1, "", statement("row.put", "t", "k", "shared")))
                .getStatementsExecuted();
        second.awaitReport(report -> report.getApplied().equals(replicatedWrite.getPosition()));
        second.promoteAt(2);
        first.request(writeRequest(1, "stale", statement("row.put", "t", "k", "stale")));
        first.request(writeRequest(1, "", statement("row.put", "t", "other", "stale")));
        StatementsExecuted latestWrite = second.request(writeRequest(2, "", statement("row.put", "t", "new", "kept")))
                .getStatementsExecuted();
        assertThat(first.request(second.followRequest(2)).getFollowing().getEntriesSetAside())
                .isEqualTo(2);
        first.awaitReport(report -> report.getApplied().equals(latestWrite.getPosition()));
        assertThat(first.readValue("t", "k")).isEqualTo("shared");
        assertThat(first.readValue("t", "other")).isEmpty();
        assertThat(first.readValue("t", "new")).isEqualTo("kept");
    }

    @Test
    void aRepeatedIdempotencyKeyReturnsTheFirstResultAlsoAfterAFailover() {
        first.promoteAt(1);
        second.request(first.followRequest(1));
        Envelope.Builder keyedWrite = writeRequest(1, "key", statement("row.add", "t", "k", "1"));
        StatementsExecuted firstResult = first.request(keyedWrite).getStatementsExecuted();
        StatementsExecuted repeatedResult = first.request(keyedWrite).getStatementsExecuted();
        assertThat(repeatedResult)
                .isEqualTo(firstResult.toBuilder().setReplayed(true).build());
        second.awaitReport(report -> report.getApplied().equals(firstResult.getPosition()));
        second.promoteAt(2);
        StatementsExecuted afterFailover = second.request(writeRequest(2, "key", statement("row.add", "t", "k", "1")))
                .getStatementsExecuted();
        assertThat(afterFailover.getReplayed()).isTrue();
        assertThat(afterFailover.getResultsList()).isEqualTo(firstResult.getResultsList());
        assertThat(afterFailover.getPosition()).isEqualTo(firstResult.getPosition());
        assertThat(second.readValue("t", "k")).isEqualTo("1");
    }

    @Test
    void concurrentRequestsWithOneKeyRunOnceAndALookUpWaitsForThem() {
        first.promoteAt(1);
        PeerConnection other = first.openConnection();
        other.request(TestDatabase.connectRequest().build(), TestDatabase.TIMEOUT)
                .join();
        CompletableFuture<Envelope> slotHolder = first.requestAsync(readRequest(statement("sleep", "20")));
        Envelope keyedWrite = writeRequest(
                        1, "key", statement("row.insert", "t", "row", "v"), statement("row.add", "t", "k", "1"))
                .build();
        CompletableFuture<Envelope> firstWrite = first.requestAsync(keyedWrite.toBuilder());
        CompletableFuture<Envelope> secondWrite = other.request(keyedWrite, TestDatabase.TIMEOUT);
        CompletableFuture<Envelope> lookUp = first.requestAsync(Envelope.newBuilder()
                .setLookUpKey(LookUpKey.newBuilder().setTerm(1).setIdempotencyKey("key")));
        slotHolder.join();
        assertThat(List.of(
                        firstWrite.join().getStatementsExecuted().getReplayed(),
                        secondWrite.join().getStatementsExecuted().getReplayed()))
                .containsExactly(true, false);
        assertThat(lookUp.join().getKeyLookedUp().getFound()).isTrue();
        assertThat(first.readValue("t", "k")).isEqualTo("1");
    }

    @Test
    void uncommittedWritesAreVisibleOnlyToTheirTransaction() {
        first.promoteAt(1);
        PeerConnection other = first.openConnection();
        other.request(TestDatabase.connectRequest().build(), TestDatabase.TIMEOUT)
                .join();
        first.request(Envelope.newBuilder()
                .setBeginTransaction(BeginTransaction.newBuilder().setTerm(1)));
        first.request(writeRequest(1, "", statement("row.insert", "t", "k", "v")));
        assertThat(first.readValue("t", "k")).isEqualTo("v");
        Envelope outsideRead = other.request(
                        readRequest(statement("row.count", "t", "")).build(), TestDatabase.TIMEOUT)
                .join();
        assertThat(outsideRead.getStatementsExecuted().getResults(0).getRows(0).getColumns(0))
                .isEqualTo("0");
        first.request(Envelope.newBuilder().setCommitTransaction(CommitTransaction.getDefaultInstance()));
        Envelope after = other.request(
                        readRequest(statement("row.count", "t", "")).build(), TestDatabase.TIMEOUT)
                .join();
        assertThat(after.getStatementsExecuted().getResults(0).getRows(0).getColumns(0))
                .isEqualTo("1");
    }

    @Test
    void aRunningStatementCommitsNothingAfterItsConnectionCloses() {
        first.promoteAt(1);
        PeerConnection closedConnection = first.openConnection();
        closedConnection
                .request(TestDatabase.connectRequest().build(), TestDatabase.TIMEOUT)
                .join();
        Envelope begin = Envelope.newBuilder()
                .setBeginTransaction(BeginTransaction.newBuilder().setTerm(1))
                .build();
        closedConnection.request(begin, TestDatabase.TIMEOUT).join();
        CompletableFuture<Envelope> running = closedConnection.request(
                writeRequest(1, "", statement("row.put", "t", "k", "v"), statement("sleep", "20"))
                        .build(),
                TestDatabase.TIMEOUT);
        CompletableFuture<Envelope> queuedRead = first.requestAsync(readRequest(statement("row.get", "t", "k")));
        closedConnection.close();
        assertThat(queuedRead.join().getStatementsExecuted().getResults(0).getRowsCount())
                .isEqualTo(0);
        assertThrows(CompletionException.class, running::join);
        assertThat(first.request(writeRequest(1, "", statement("row.put", "t", "next", "v")))
                        .getStatementsExecuted()
                        .getPosition()
                        .getIndex())
                .isEqualTo(2);
    }

    @Test
    void anIdempotencyKeySentWithAStatementIsCommittedWithItsTransaction() {
        first.promoteAt(1);
        first.request(Envelope.newBuilder()
                .setBeginTransaction(BeginTransaction.newBuilder().setTerm(1)));
        first.request(writeRequest(1, "key", statement("row.add", "t", "k", "1")));
        first.request(Envelope.newBuilder().setCommitTransaction(CommitTransaction.getDefaultInstance()));
        assertThat(first.request(writeRequest(1, "key", statement("row.add", "t", "k", "1")))
                        .getStatementsExecuted()
                        .getReplayed())
                .isTrue();
        assertThat(first.readValue("t", "k")).isEqualTo("1");
    }

    @Test
    void anInvalidStatementChangesNoRows() {
        first.promoteAt(1);
        assertThat(first.failureOf(writeRequest(1, "", statement("row.put", "t", "k", "v"), statement("row.drop", "t")))
                        .type())
                .isEqualTo(FailureType.INVALID_STATEMENT);
        assertThat(first.readValue("t", "k")).isEmpty();
    }

    @Test
    void aConnectionBeyondTheLimitIsRefused() {
        first.openConnection()
                .request(TestDatabase.connectRequest().build(), TestDatabase.TIMEOUT)
                .join();
        CompletableFuture<Envelope> refusedConnect =
                first.openConnection().request(TestDatabase.connectRequest().build(), TestDatabase.TIMEOUT);
        FailureException failure = FailureException.of(assertThrows(CompletionException.class, refusedConnect::join));
        assertThat(failure.type()).isEqualTo(FailureType.CONNECTION_LIMIT);
    }

    @Test
    void theServerAnnouncesItselfAndItsDeparture() {
        CompletableFuture<Announce> announced = new CompletableFuture<>();
        CompletableFuture<Announce> departed = new CompletableFuture<>();
        try (PeerTransport transport = new PeerTransport(1)) {
            Endpoint loopback = Endpoint.newBuilder().setHost("127.0.0.1").build();
            PeerServer control = transport
                    .listen(loopback, announcementHandler(announced, departed))
                    .join();
            TestDatabase database = new TestDatabase(
                    "d3",
                    0,
                    List.of(loopback.toBuilder().setPort(control.port()).build()));
            assertThat(announced.join().getReport().getTrusted()).isTrue();
            assertThat(announced.join().getEndpoint())
                    .isEqualTo(database.server().endpoint());
            CompletableFuture<Void> departure = database.server().depart();
            assertThat(departed.join().getDatabaseId()).isEqualTo("d3");
            database.disconnect();
            departure.join();
            database.close();
        }
    }

    private static PeerHandler announcementHandler(
            CompletableFuture<Announce> announced, CompletableFuture<Announce> departed) {
        return new PeerHandler() {
            @Override
            public void onRequest(
                    PeerConnection connection, Envelope request, java.util.function.Consumer<Envelope> answer) {}

            @Override
            public void onPush(PeerConnection connection, Envelope push) {
                announced.complete(push.getAnnounce());
                if (push.getAnnounce().getDeparting()) {
                    departed.complete(push.getAnnounce());
                }
            }
        };
    }
}
