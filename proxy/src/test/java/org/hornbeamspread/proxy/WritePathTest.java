package org.hornbeamspread.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.session.SessionToken;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.protocol.schema.ExecuteStatements;
import org.hornbeamspread.protocol.schema.Position;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.protocol.schema.Statement;
import org.hornbeamspread.protocol.schema.StatementsExecuted;
import org.hornbeamspread.transport.PeerTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs writes on a manual clock; the test controls the database's response, the position reports and the lease. Guards
 * against a write that is acknowledged without a majority, or under an expired lease after another primary was promoted.
 */
final class WritePathTest {
    private static final Duration LEASE = Duration.ofSeconds(1);

    private final ManualDispatcher dispatcher = new ManualDispatcher();
    private final ViewPublisher publisher = new ViewPublisher(dispatcher.clock());
    private final PeerTransport transport = new PeerTransport(1);
    private final ClusterMonitor clusterMonitor =
            new ClusterMonitor(dispatcher, transport, publisher, new ProxyMetrics(new PrometheusRegistry()), "addis");
    private final InFlightAttempts inFlight = new InFlightAttempts();
    private final List<ExecuteStatements> sentStatements = new ArrayList<>();
    private final List<CompletableFuture<StatementsExecuted>> databaseResponses = new ArrayList<>();
    private final WritePath writePath =
            new WritePath(dispatcher, publisher, clusterMonitor, this::executeAtDatabase, inFlight);
    private long version;
    private boolean departing;

    @BeforeEach
    void grantFirstLease() {
        renewView(2, true);
        report("a", 5);
    }

    @AfterEach
    void close() {
        transport.close();
    }

    @Test
    void writeIsAcknowledgedOnceAMajorityHoldsIt() {
        CompletableFuture<ExecuteResponse> write = write("key-1");
        databaseResponses.get(0).complete(executed(2, 7));
        assertThat(write.isDone()).isFalse();
        report("b", 6);
        assertThat(write.isDone()).isFalse();
        report("b", 7);
        assertThat(write.join().getEffect().name()).isEqualTo("DONE");
        SessionToken token = SessionToken.decode(write.join().getSessionToken());
        assertThat(token.positionOf(TestViews.GROUP).orElseThrow().lastWrite().indexEntries())
                .isEqualTo(7);
    }

    /** The proxy is paused during a write and resumes after its lease expired: it must not acknowledge the write. */
    @ParameterizedTest
    @ValueSource(strings = {"before the response", "before the majority", "between the majority and the response"})
    void pausedProxyDoesNotAcknowledgeAfterItsLeaseExpired(String pausePoint) {
        CompletableFuture<ExecuteResponse> write = write("key-1");
        pauseIf(pausePoint.equals("before the response"));
        databaseResponses.get(0).complete(executed(2, 7));
        pauseIf(pausePoint.equals("before the majority"));
        pauseIf(pausePoint.equals("between the majority and the response"));
        report("b", 7);
        dispatcher.runPending();
        assertThat(write.isDone()).isFalse();
        renewView(3, true);
        dispatcher.advance(Duration.ofMillis(10));
        assertThat(failureOf(write)).isEqualTo(FailureType.TERM_CHANGED_AFTER_SEND);
    }

    @Test
    void writeIsAcknowledgedAfterLeaseRenewalAtTheSameTerm() {
        CompletableFuture<ExecuteResponse> write = write("key-1");
        databaseResponses.get(0).complete(executed(2, 7));
        dispatcher.jumpClock(LEASE);
        report("b", 7);
        assertThat(write.isDone()).isFalse();
        renewView(2, true);
        dispatcher.advance(Duration.ofMillis(10));
        assertThat(write.join().getReplayed()).isFalse();
    }

    @Test
    void outcomeIsUnknownWhenTheLeaseIsNotRenewed() {
        CompletableFuture<ExecuteResponse> write = write("key-1");
        databaseResponses.get(0).complete(executed(2, 7));
        dispatcher.jumpClock(LEASE);
        report("b", 7);
        dispatcher.advance(Duration.ofSeconds(2));
        assertThat(failureOf(write)).isEqualTo(FailureType.LEASE_LOST_AFTER_SEND);
    }

    @Test
    void writeIsNotSentWithoutAValidLeaseAndAWritablePrimary() {
        dispatcher.jumpClock(LEASE);
        assertThat(failureOf(write("key-1"))).isEqualTo(FailureType.VIEW_EXPIRED);
        renewView(2, false);
        assertThat(failureOf(write("key-1"))).isEqualTo(FailureType.NO_PRIMARY);
        assertThat(sentStatements).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"a keyed write can be retried at once, key-1, true", "a write without a key waits, '', false"})
    void newTermFailsPendingKeyedWritesAtOnce(String name, String key, boolean failsAtOnce) {
        CompletableFuture<ExecuteResponse> write = write(key);
        renewView(3, true);
        inFlight.updateView(publisher.current().view());
        assertThat(write.isDone()).isEqualTo(failsAtOnce);
        databaseResponses.get(0).complete(executed(2, 7));
        assertThat(failureOf(write)).isEqualTo(FailureType.TERM_CHANGED_AFTER_SEND);
    }

    @Test
    void outcomeIsUnknownWithoutAMajorityBeforeTheDeadline() {
        CompletableFuture<ExecuteResponse> write = write("key-1");
        databaseResponses.get(0).complete(executed(2, 7));
        dispatcher.advance(Duration.ofMillis(1_999));
        assertThat(write.isDone()).isFalse();
        dispatcher.advance(Duration.ofMillis(1));
        assertThat(failureOf(write)).isEqualTo(FailureType.NO_QUORUM_IN_TIME);
    }

    @Test
    void departingPrimaryAcceptsWritesOnlyDuringTheGracePeriod() {
        departing = true;
        renewView(2, true);
        dispatcher.jumpClock(Duration.ofMillis(1_999));
        renewView(2, true);
        assertThat(write("key-1").isDone()).isFalse();
        dispatcher.jumpClock(Duration.ofMillis(1));
        assertThat(failureOf(write("key-2"))).isEqualTo(FailureType.DEPARTING);
        assertThat(sentStatements).hasSize(1);
    }

    private void pauseIf(boolean condition) {
        if (condition) {
            dispatcher.jumpClock(LEASE);
        }
    }

    private CompletableFuture<ExecuteResponse> write(String key) {
        ExecuteRequest request = ExecuteRequest.newBuilder()
                .setService("rental-core")
                .setRank("urgent")
                .setIdempotencyKey(key)
                .setTimeoutMs(2_000)
                .addStatements(Statement.newBuilder().setName("row.add"))
                .build();
        Instant now = dispatcher.clock().instant();
        return writePath.attempt(
                StatementRequest.of(request, publisher.current().view(), now));
    }

    private CompletableFuture<StatementsExecuted> executeAtDatabase(
            ViewSnapshot view, DatabaseEntry database, RequestContext context, ExecuteStatements statements) {
        sentStatements.add(statements);
        databaseResponses.add(new CompletableFuture<>());
        return databaseResponses.get(databaseResponses.size() - 1);
    }

    private void renewView(long term, boolean writable) {
        version++;
        List<DatabaseEntry> entries = TestViews.FAILURE_DOMAINS.keySet().stream()
                .map(id -> TestViews.database(id, Endpoint.getDefaultInstance(), "p1", 1).toBuilder()
                        .setDeparting(departing)
                        .build())
                .toList();
        publisher.apply(
                TestViews.lease(version, TestViews.group(term, writable, entries), List.of()),
                dispatcher.clock().instant());
        ViewSnapshot view = publisher.current().view();
        clusterMonitor
                .groupState(TestViews.GROUP)
                .updateView(view.group(TestViews.GROUP).orElseThrow(), 3);
        writePath.updateView(view);
    }

    private void report(String id, long index) {
        Position position = Position.newBuilder().setTerm(2).setIndex(index).build();
        clusterMonitor
                .groupState(TestViews.GROUP)
                .onReport(
                        PositionReport.newBuilder()
                                .setDatabaseId(id)
                                .setIncarnation(1)
                                .setTerm(2)
                                .setFollowedTerm(2)
                                .setTrusted(true)
                                .setSynced(position)
                                .setApplied(position)
                                .build(),
                        dispatcher.clock().instant());
    }

    private static StatementsExecuted executed(long term, long index) {
        return StatementsExecuted.newBuilder()
                .setTerm(term)
                .setPosition(Position.newBuilder().setTerm(term).setIndex(index))
                .build();
    }

    private static FailureType failureOf(CompletableFuture<ExecuteResponse> write) {
        return FailureException.of(write.handle((response, error) -> error).join())
                .type();
    }
}
