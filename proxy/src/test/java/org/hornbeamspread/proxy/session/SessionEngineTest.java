package org.hornbeamspread.proxy.session;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.failover.AcknowledgedCommits;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlResult;
import org.hornbeamspread.core.sql.SqlStatement;
import org.hornbeamspread.core.sql.SqlStatement.Begin;
import org.hornbeamspread.core.sql.SqlStatement.Commit;
import org.hornbeamspread.core.sql.SqlStatement.Execute;
import org.hornbeamspread.core.sql.SqlStatement.Prepare;
import org.hornbeamspread.core.sql.SqlStatement.PreparedDefinition;
import org.hornbeamspread.core.sql.SqlStatement.Read;
import org.hornbeamspread.core.sql.SqlStatement.Rollback;
import org.hornbeamspread.core.sql.SqlStatement.SetValue;
import org.hornbeamspread.core.sql.SqlStatement.Write;
import org.hornbeamspread.core.sql.TransactionState;
import org.hornbeamspread.proxy.session.EngineHarness.Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against statements that run on the wrong instance or with another session's state, and against reported outcomes that
 * do not hold, through a session engine with one primary and two replicas.
 */
final class SessionEngineTest {
    private final EngineHarness harness = new EngineHarness();

    @Test
    void aWriteRunsAtThePrimaryUnderItsRequestIdAndReturnsASignature() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(100);

        assertThat(client.lastReply().signature()).isEqualTo("signed-p");
        assertThat(client.lastReply().state()).isEqualTo(TransactionState.IDLE);
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("w1");
    }

    @Test
    void anUnknownDatabaseIsRefused() {
        assertThat(harness.open("nobody").refusal).hasValue(SqlError.UNKNOWN_DATABASE);
    }

    /** Responses carry no id, so a refusal ahead of its turn is taken for the response to the oldest request (review case 5). */
    @Test
    void theRefusalOfARequestFollowsTheResponsesBeforeIt() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        client.send("s1", new SetValue("zone", "z1"));
        client.session.orElseThrow().refuse(SqlError.TOO_LARGE, "");
        client.send("w2", new Write("item", "6"));
        assertThat(client.refusal).isEmpty();
        harness.run(1_000);

        assertThat(client.replies.stream().map(SqlResult::signature))
                .containsExactly("signed-p", "-")
                .inOrder();
        assertThat(client.refusal).hasValue(SqlError.TOO_LARGE);
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("w1");
    }

    /** Each pipelined request took stack frames of its own; the sessions' thread has a stack of 256 KiB. */
    @Test
    void pipelinedRequestsBehindAStatementFitASmallStack() throws InterruptedException {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        for (int i = 0; i < 1_000; i++) {
            client.send("s" + i, new SetValue("zone", "z" + i));
        }
        Thread sessions = new Thread(null, () -> harness.run(1_000), "sessions", 256 << 10);
        sessions.start();
        sessions.join();

        assertThat(client.replies).hasSize(1 + 1_000);
    }

    /** The refusal of one request too many was sent ahead of the responses, and those were never sent. */
    @Test
    void pipelinedRequestsUpToTheLimitAreAnsweredBeforeTheSessionIsRefused() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        for (int i = 0; i < 1_100; i++) {
            client.send("b" + i, i % 2 == 0 ? new Begin(false) : new Rollback());
        }
        harness.run(1_000);

        assertThat(client.replies).hasSize(1 + 1_024);
        assertThat(client.replies.stream().allMatch(SqlResult::isSuccess)).isTrue();
        assertThat(client.refusal).hasValue(SqlError.TOO_LARGE);
    }

    @Test
    void aReadOfAPrimaryRouteRunsInAReadWriteTransactionOnThePrimary() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("r1", new Read("item"));
        harness.run(100);

        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(harness.primary.executedStatements.get(0).transactionIds()).containsExactly("r1");
    }

    /** The proxy has not received the promotion yet: the demoted primary refuses the read, and nothing runs there. */
    @Test
    void aReadOfAPrimaryRouteNeverRunsOnADemotedPrimary() {
        harness.primary.primary = false;
        harness.nearReplica.primary = true;
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("r1", new Read("item"));
        harness.run(400);

        assertThat(harness.primary.executedStatements).isEmpty();
        assertThat(client.lastReply().error()).hasValue(SqlError.BUSY);
        harness.loadConfiguration(2, 28, 1);
        client.send("r2", new Read("item"));
        harness.run(200);
        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(harness.nearReplica.executedStatements.get(0).onPrimary()).isTrue();
    }

    @Test
    void aBoundedStalenessReadRunsOnAReplicaThatHoldsTheSampledPosition() {
        harness.primary.logEntries = 50;
        harness.nearReplica.logEntries = 49;
        harness.farReplica.logEntries = 50;
        Client client = harness.open(EngineHarness.BOUNDED_STALENESS_ROUTE).send("r1", new Read("item"));
        harness.run(300);

        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(harness.nearReplica.executedStatements).isEmpty();
    }

    /** 94 proxies that each ask 14 primaries for their position need as many connections there (large trouble-1). */
    @ParameterizedTest
    @CsvSource({"1000, 0", "1200, 1"})
    void aRecentPositionFromControlNeedsNoConnectionToThePrimary(long ageMs, int expectedConnections) {
        harness.deliverPositionFromControl(ageMs);
        Client client = harness.open(EngineHarness.BOUNDED_STALENESS_ROUTE).send("r1", new Read("item"));
        harness.run(100);

        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(harness.primary.openedConnectionCount).isEqualTo(expectedConnections);
    }

    @Test
    void noReplicaIsReadAfterAClockJumpInvalidatesTheSamples() {
        Client client = harness.open(EngineHarness.BOUNDED_STALENESS_ROUTE).send("r1", new Read("item"));
        harness.run(100);
        assertThat(client.lastReply().isSuccess()).isTrue();
        harness.primary.reachable = false;
        harness.primary.resetConnections();
        harness.wallClock.advance(Duration.ofSeconds(5));
        client.send("r2", new Read("item"));
        harness.run(1_300);

        assertThat(client.lastReply().error()).hasValue(SqlError.BUSY);
    }

    @Test
    void aSessionReadsItsOwnWrite() {
        harness.open(EngineHarness.BOUNDED_STALENESS_ROUTE).send("r0", new Read("item"));
        harness.run(100);
        Client client = harness.open(EngineHarness.READ_YOUR_WRITES_ROUTE).send("w1", new Write("item", "5"));
        harness.run(100);
        client.send("r1", new Read("item"));
        harness.run(300);

        assertThat(client.lastReply().signature()).isEqualTo("signed-p");
    }

    @Test
    void aTransactionStaysOnOneConnection() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE)
                .send("b", new Begin(false))
                .send("s1", new Read("item"))
                .send("s2", new Write("item", "5"))
                .send("c", new Commit());
        harness.run(200);

        assertThat(client.replies.get(0).signature()).isEqualTo("-");
        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(harness.primary.executedStatements.get(2).transactionIds())
                .containsExactly("s1", "s2", "c")
                .inOrder();
    }

    @Test
    void valuesAndPreparedStatementsAreIsolatedBetweenSessions() {
        Client first = harness.open(EngineHarness.PRIMARY_ROUTE).send("1", new SetValue("zone", "addis"));
        first.send("2", new Prepare("s", new PreparedDefinition(true, "q1")));
        first.send("w1", new Execute("s", "item", Optional.of("5")));
        harness.run(100);
        Client second = harness.open(EngineHarness.PRIMARY_ROUTE)
                .send("3", new Prepare("s", new PreparedDefinition(true, "q2")));
        second.send("w2", new Execute("s", "item", Optional.of("6")));
        harness.run(100);

        assertThat(harness.primary.executedStatements.get(0).values()).isEqualTo(Map.of("zone", "addis"));
        assertThat(harness.primary.executedStatements.get(1).values()).isEmpty();
        assertThat(((Execute) harness.primary.executedStatements.get(1).statement()).name())
                .contains("q2");
    }

    /** A write ran with the values of the client before, because it had been sent behind a SET that failed (review, ValuesCase). */
    @ParameterizedTest
    @CsvSource({"primary, false", "primary, true", "bounded_staleness, false"})
    void noStatementRunsWithoutItsSessionsValues(String route, boolean transaction) {
        harness.databases.forEach(database -> database.injectedError =
                request -> request.statement() instanceof SetValue ? Optional.of(SqlError.FAILED) : Optional.empty());
        Client client = harness.open(
                        route.equals("primary") ? EngineHarness.PRIMARY_ROUTE : EngineHarness.BOUNDED_STALENESS_ROUTE)
                .send("1", new SetValue("zone", "addis"));
        if (transaction) {
            client.send("b", new Begin(false));
        }
        SqlStatement statement = route.equals("primary") ? new Write("item", "5") : new Read("item");
        client.send("s1", statement);
        harness.run(3_000);

        harness.databases.forEach(
                database -> assertThat(database.executedStatements).isEmpty());
        assertThat(client.lastReply().error().orElseThrow().isNotRun()
                        || client.lastReply().hasError(SqlError.TIMEOUT))
                .isTrue();
    }

    /** A statement whose PREPARE failed may have run another definition; its success is not delivered. */
    @Test
    void aWriteBehindAFailedPrepareIsInDoubt() {
        harness.primary.injectedError =
                request -> request.statement() instanceof Prepare ? Optional.of(SqlError.FAILED) : Optional.empty();
        harness.primary.acceptsUnprepared = true;
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE)
                .send("1", new Prepare("s", new PreparedDefinition(true, "q1")));
        client.send("w1", new Execute("s", "item", Optional.of("5")));
        harness.run(2_000);

        assertThat(client.lastReply().error()).hasValue(SqlError.IN_DOUBT);
    }

    /** The response to the ROLLBACK of an abandoned transaction was lost, and its connection was never used again. */
    @Test
    void aConnectionWhoseRollbackHasNoResponseIsClosed() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        client.send("s1", new Write("item", "5"));
        harness.run(100);
        FakeDatabase.Connection connection = harness.primary.openConnections.get(0);
        harness.primary.statementsHang = true;
        client.session.orElseThrow().onClosed();
        harness.run(10);
        harness.primary.statementsHang = false;
        harness.run(900);

        assertThat(connection.isOpen()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"s", "other"})
    void executingAnUnknownPreparedStatementIsRefused(String name) {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE)
                .send("1", new Prepare("s", new PreparedDefinition(true, "q")));
        client.send("2", new SqlStatement.Deallocate("s"));
        client.send("3", new Execute(name, "item", Optional.of("5")));

        assertThat(client.lastReply().error()).hasValue(SqlError.UNKNOWN_PREPARED);
    }

    /** The error is BUSY if the write certainly did not run, and the database's own error otherwise. */
    @ParameterizedTest
    @CsvSource({"BUSY, BUSY", "READ_ONLY, BUSY", "FAILED, FAILED", "TIMEOUT, TIMEOUT"})
    void theErrorOfAFailedWriteStatesWhetherItMayHaveRun(SqlError databaseError, SqlError reportedError) {
        harness.primary.injectedError =
                request -> request.id().equals("w1") ? Optional.of(databaseError) : Optional.empty();
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(2_000);

        assertThat(client.replies).hasSize(1);
        assertThat(client.lastReply().error()).hasValue(reportedError);
    }

    @Test
    void aWriteWhoseConnectionBreaksIsInDoubtAndNotRetried() {
        harness.primary.serviceMs = 50;
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(20);
        harness.primary.resetConnections();
        harness.run(500);

        assertThat(client.lastReply().error()).hasValue(SqlError.IN_DOUBT);
        assertThat(harness.primary.executedStatements).isEmpty();
    }

    /** A primary stops responding during a read: a probe gets no response either, and the read ends before its timeout. */
    @Test
    void aReadAtAnUnresponsivePrimaryEndsBeforeItsTimeout() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w0", new Write("item", "5"));
        harness.run(100);
        harness.primary.statementsHang = true;
        client.send("r1", new Read("item"));
        harness.open(EngineHarness.BOUNDED_STALENESS_ROUTE).send("r2", new Read("item"));
        harness.run(1_500);
        harness.open(EngineHarness.BOUNDED_STALENESS_ROUTE).send("r3", new Read("item"));
        harness.run(700);

        assertThat(client.replies).hasSize(2);
    }

    @Test
    void aWriteWithoutAResponseIsInDoubtAtItsTimeout() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w0", new Write("item", "5"));
        harness.run(100);
        harness.primary.statementsHang = true;
        client.send("w1", new Write("item", "5"));
        harness.run(799);
        assertThat(client.replies).hasSize(1);
        harness.run(10);

        assertThat(client.lastReply().error()).hasValue(SqlError.IN_DOUBT);
    }

    @ParameterizedTest
    @EnumSource(
            value = SqlError.class,
            names = {"FAILED", "TIMEOUT", "BUSY"})
    void aFailedBoundedStalenessReadIsRetriedOnAnotherInstance(SqlError databaseError) {
        harness.nearReplica.injectedError =
                request -> request.id().equals("r1") ? Optional.of(databaseError) : Optional.empty();
        Client client = harness.open(EngineHarness.BOUNDED_STALENESS_ROUTE).send("r1", new Read("item"));
        harness.run(300);

        assertThat(client.lastReply().isSuccess()).isTrue();
    }

    @Test
    void aTransactionWhoseConnectionBreaksBeforeCommitIsAborted() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        client.send("s1", new Write("item", "5"));
        harness.run(100);
        harness.primary.resetConnections();
        client.send("s2", new Read("item"));
        harness.run(50);

        assertThat(client.lastReply().error()).hasValue(SqlError.ABORTED);
        assertThat(client.lastReply().state()).isEqualTo(TransactionState.FAILED);
        client.send("s3", new Read("item"));
        assertThat(client.lastReply().error()).hasValue(SqlError.MALFORMED);
        client.send("e", new Rollback());
        assertThat(client.lastReply().state()).isEqualTo(TransactionState.IDLE);
    }

    @Test
    void aCommitWhoseConnectionBreaksIsInDoubt() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        client.send("s1", new Write("item", "5"));
        harness.run(100);
        client.send("c", new Commit());
        harness.primary.resetConnections();
        harness.run(50);

        assertThat(client.lastReply().error()).hasValue(SqlError.IN_DOUBT);
        assertThat(client.lastReply().state()).isEqualTo(TransactionState.IDLE);
    }

    @Test
    void aStatementRefusedAsBusyInsideATransactionIsRetried() {
        int[] remainingRefusals = {3};
        harness.primary.injectedError = request ->
                request.id().equals("s2") && remainingRefusals[0]-- > 0 ? Optional.of(SqlError.BUSY) : Optional.empty();
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        client.send("s1", new Read("item")).send("s2", new Write("item", "5"));
        harness.run(300);

        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(client.lastReply().state()).isEqualTo(TransactionState.OPEN);
    }

    @Test
    void anIdleTransactionIsAborted() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        client.send("s1", new Read("item"));
        harness.run(4_000);
        assertThat(harness.primary.openConnections).hasSize(1);
        client.send("s2", new Read("item"));

        assertThat(client.lastReply().error()).hasValue(SqlError.ABORTED);
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("s1");
    }

    /** A client disconnects inside a transaction: its writes are rolled back before another session uses the connection. */
    @Test
    void aTransactionIsRolledBackWhenItsClientDisconnects() {
        harness.loadConfiguration(2, 4, 1);
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        client.send("s1", new Write("item", "5"));
        harness.run(100);
        client.session.orElseThrow().onClosed();
        Client other = harness.open(EngineHarness.PRIMARY_ROUTE).send("w2", new Write("item", "6"));
        harness.run(100);

        assertThat(other.lastReply().isSuccess()).isTrue();
        assertThat(harness.primary.openedConnectionCount).isEqualTo(1);
        assertThat(harness.primary.executedStatements.get(1).transactionIds()).isEmpty();
    }

    /** Regression (fleetbench run ujaas-core trouble-1): the client disconnected while its statement was queued. */
    @Test
    void aQueuedStatementIsNotSentAfterItsClientDisconnects() {
        harness.loadConfiguration(2, 28, 90);
        harness.primary.serviceMs = 100;
        Client disconnecting = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        disconnecting.send("s1", new Read("item"));
        harness.run(150);
        harness.loadConfiguration(3, 280, 6);
        List<Client> busy = List.of(
                harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "1")),
                harness.open(EngineHarness.PRIMARY_ROUTE).send("w2", new Write("item", "1")),
                harness.open(EngineHarness.PRIMARY_ROUTE).send("w3", new Write("item", "1")));
        harness.run(10);
        disconnecting.send("s2", new Read("item"));
        harness.run(10);
        disconnecting.session.orElseThrow().onClosed();
        harness.run(500);

        busy.forEach(client -> assertThat(client.lastReply().isSuccess()).isTrue());
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("s1", "w1", "w2", "w3");
    }

    @Test
    void changesOfTheProxyCountNeverExceedTheShareOfConnections() {
        harness.loadConfiguration(2, 15, 3);
        for (int i = 0; i < 20; i++) {
            harness.open(EngineHarness.PRIMARY_ROUTE)
                    .send("b" + i, new Begin(false))
                    .send("s" + i, new Read("item"));
        }
        harness.run(50);
        for (int version = 3; version < 20; version++) {
            harness.loadConfiguration(version, 15, 3 + version % 2);
            harness.run(5);
        }

        assertThat(harness.primary.openConnections.size()).isAtMost(4);
    }

    @Test
    void withoutAPrimaryAWriteIsRefusedAsNotRunAfterAShortWait() {
        harness.primary.reachable = false;
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(200);

        assertThat(client.lastReply().error()).hasValue(SqlError.BUSY);
    }

    @Test
    void aRemovedRouteIsRefusedFromTheNextStatementAfterATransaction() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        client.send("s1", new Read("item"));
        harness.run(100);
        harness.loadConfiguration(2, List.of(), 28, 1);
        client.send("c", new Commit());
        harness.run(100);
        assertThat(client.lastReply().isSuccess()).isTrue();
        client.send("r", new Read("item"));

        assertThat(client.lastReply().error()).hasValue(SqlError.UNKNOWN_DATABASE);
    }

    @Test
    void aDrainKeepsSessionsUntilTheLoadBalancerDetectsItAndThenClosesThem() {
        Client idle = harness.open(EngineHarness.PRIMARY_ROUTE);
        Client inTransaction = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        inTransaction.send("s1", new Read("item"));
        harness.run(100);
        harness.engine.drain(6_000);
        assertThat(harness.engine.isReady()).isFalse();
        harness.run(2_100);
        assertThat(idle.closed).isFalse();
        Client late = harness.open(EngineHarness.PRIMARY_ROUTE);
        assertThat(late.accepted).isTrue();
        harness.run(1_000);

        assertThat(idle.closed).isTrue();
        assertThat(late.closed).isTrue();
        assertThat(harness.open(EngineHarness.PRIMARY_ROUTE).refusal).hasValue(SqlError.BUSY);
        inTransaction.send("c", new Commit());
        assertThat(inTransaction.lastReply().error()).hasValue(SqlError.ABORTED);
        assertThat(inTransaction.closed).isTrue();
        assertThat(harness.engine.isDrained()).isTrue();
    }

    /**
     * A draining primary without a successor serves for 4 s after its announcement. A proxy that started or was reached late counted from its
     * own first view, which remains so if control sends no age (review case 15).
     */
    @ParameterizedTest
    @CsvSource({"3800, 100, true", "3800, 300, false", "'', 3900, true", "'', 4100, false"})
    void aDrainingPrimaryServesUntilItsTimeSinceTheAnnouncementIsOver(String ageMs, long sentAfterMs, boolean served) {
        harness.run(10_000);
        harness.announceDrainingPrimary(
                ageMs.isEmpty()
                        ? Map.of()
                        : Map.of(harness.primary.id, harness.clock.millis() - Long.parseLong(ageMs)));
        harness.run(sentAfterMs);
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(2_000);

        assertThat(client.lastReply().isSuccess()).isEqualTo(served);
        assertThat(harness.primary.executedStatements).hasSize(served ? 1 : 0);
    }

    /**
     * After a restart of all control members, the age of an announcement is not known: a proxy that had not observed it sent past the limit
     * (issue 56). One that had counts on.
     */
    @ParameterizedTest
    @CsvSource({"false, 100, false", "true, 3900, true", "true, 4100, false"})
    void aDrainingPrimaryOfUnknownAgeServesOnlyProxiesThatObservedItsAnnouncement(
            boolean observed, long sentAfterMs, boolean served) {
        harness.run(10_000);
        if (observed) {
            harness.announceDrainingPrimary(Map.of(harness.primary.id, harness.clock.millis()));
        }
        harness.run(100);
        harness.announceDrainingPrimary(Map.of(harness.primary.id, SystemView.UNKNOWN_TIME));
        harness.run(sentAfterMs - 100);
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(2_000);

        assertThat(client.lastReply().isSuccess()).isEqualTo(served);
        assertThat(harness.primary.executedStatements).hasSize(served ? 1 : 0);
    }

    /** An instance that had drained, and was announced as ready again, led without getting any write: its time to drain was over. */
    @Test
    void anInstanceThatDrainsNoMoreServesAgain() {
        harness.run(10_000);
        harness.announceDrainingPrimary(Map.of());
        harness.run(4_100);
        harness.announceReadyPrimary();
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(2_000);

        assertThat(client.lastReply().isSuccess()).isTrue();
    }

    /** The COMMIT was answered with IN_DOUBT, since the proxy closed the connection below it (review case 14). */
    @ParameterizedTest
    @CsvSource({"2950, 300", "2999, 700"})
    void aCommitAtWorkIsNotBrokenOffByADrain(long sentMs, long workMs) {
        harness.primary.serviceMs = 1;
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        client.send("s1", new Write("item", "5"));
        harness.run(100);
        harness.engine.drain(6_000);
        harness.run(1_400);
        client.send("s2", new Read("item"));
        harness.run(sentMs - 1_400);
        assertThat(client.lastReply().isSuccess()).isTrue();
        harness.primary.serviceMs = workMs;
        client.send("c", new Commit());
        harness.run(workMs - 10);
        assertThat(client.replies).hasSize(3);
        assertThat(harness.engine.isDrained()).isFalse();
        harness.run(100);

        assertThat(client.lastReply().error()).isEmpty();
        assertThat(harness.primary.executedStatements.get(2).transactionIds())
                .containsExactly("s1", "s2", "c")
                .inOrder();
        assertThat(client.closed).isTrue();
        assertThat(harness.engine.isDrained()).isTrue();
    }

    /** An open transaction has exactly the first half of the grace period. */
    @ParameterizedTest
    @CsvSource({"2990, true", "3010, false"})
    void aDrainAbortsOpenTransactionsAfterHalfOfTheGracePeriod(long sentMs, boolean runs) {
        harness.primary.serviceMs = 1;
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        client.send("s1", new Write("item", "5"));
        harness.run(100);
        harness.engine.drain(6_000);
        harness.run(1_400);
        client.send("s2", new Read("item"));
        harness.run(sentMs - 1_400);
        client.send("s3", new Read("item"));
        harness.run(5);

        assertThat(client.lastReply().isSuccess()).isEqualTo(runs);
    }

    /**
     * The primary is unreachable, or is no longer the primary. Regression of the second case (fleetbench run ujaas-core,
     * trouble-1): four of six proxies refused statements for six seconds, and the load balancer kept routing to them.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aProxyWithNeitherControlNorAPrimaryIsNotReadyAndClosesItsSessions(boolean reachable) {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE);
        harness.engine.setControlReachable(false);
        harness.primary.reachable = reachable;
        harness.primary.primary = !reachable;
        client.send("w0", new Write("item", "5"));
        harness.run(100);
        assertThat(harness.engine.isReady()).isTrue();
        for (int i = 1; i < 11; i++) {
            client.send("w" + i, new Write("item", "5"));
            harness.run(500);
        }

        assertThat(harness.engine.isReady()).isFalse();
        assertThat(client.closed).isTrue();
    }

    @Test
    void withoutControlAProxyFindsThePromotedInstanceByItself() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE);
        harness.engine.setControlReachable(false);
        harness.primary.primary = false;
        harness.farReplica.primary = true;
        client.send("w1", new Write("item", "5"));
        harness.run(300);

        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(harness.engine.isReady()).isTrue();
    }

    /** Incident inc1 of ujaas-core: the former primary acknowledged commits that the promoted instance did not have. */
    @Test
    void theFormerPrimaryIsNotUsedWhileAPromotionIsInProgress() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(100);
        harness.announcePromotion(harness.nearReplica);
        client.send("w2", new Write("item", "6"));
        harness.run(300);
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("w1");
        assertThat(client.lastReply().error()).hasValue(SqlError.BUSY);
        harness.primary.primary = false;
        harness.nearReplica.primary = true;
        client.send("w3", new Write("item", "7"));
        harness.run(200);

        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(FakeDatabase.requestIds(harness.nearReplica.executedStatements))
                .containsExactly("w3");
    }

    @Test
    void aProxyKeepsServingWhileOnlyControlIsUnreachable() {
        harness.engine.setControlReachable(false);
        harness.run(60_000);

        assertThat(harness.engine.isReady()).isTrue();
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(100);
        assertThat(client.lastReply().isSuccess()).isTrue();
    }

    @Test
    void internalStatementsCarryTheInternalRequestId() {
        harness.open(EngineHarness.BOUNDED_STALENESS_ROUTE).send("r1", new Read("item"));
        harness.run(300);

        harness.databases.forEach(database -> assertThat(FakeDatabase.requestIds(database.executedStatements))
                .doesNotContain(SqlRequest.INTERNAL_ID));
    }

    /** Commits that the old primary acknowledged while its successor was chosen were missing at the successor (issue 53). */
    @Test
    void aWriteDuringASealIsNotSentAndRefusedAsNotRun() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(100);
        harness.seal(1, 1);
        client.send("w2", new Write("item", "6"));
        harness.run(200);

        assertThat(client.lastReply().error()).hasValue(SqlError.BUSY);
        assertThat(client.replyTimeMs()).isAtMost(200);
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("w1");
    }

    /** The commit may be missing at the successor: its success is not passed on. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aCommitInFlightWhenTheSealComesIsInDoubt(boolean transaction) {
        harness.primary.serviceMs = 60;
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE);
        if (transaction) {
            client.send("b", new Begin(false)).send("s1", new Write("item", "5"));
            harness.run(100);
            client.send("c", new Commit());
        } else {
            client.send("w1", new Write("item", "5"));
        }
        harness.run(20);
        harness.seal(1, 1);
        harness.run(100);

        assertThat(client.lastReply().error()).hasValue(SqlError.IN_DOUBT);
        assertThat(harness.sealedResults(SqlError.IN_DOUBT)).isEqualTo(1);
        assertThat(client.lastReply().state()).isEqualTo(TransactionState.IDLE);
        assertThat(harness.engine
                        .acknowledgedCommits()
                        .get(FakeDatabase.SERVICE)
                        .acknowledged())
                .isEqualTo(AcknowledgedCommits.NONE);
    }

    @Test
    void aTransactionWithWritesIsAbortedAtItsCommitDuringASeal() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE)
                .send("b", new Begin(false))
                .send("s1", new Write("item", "5"));
        harness.run(100);
        harness.seal(1, 1);
        client.send("c", new Commit());
        harness.run(100);

        assertThat(client.lastReply().error()).hasValue(SqlError.ABORTED);
        assertThat(harness.sealedResults(SqlError.ABORTED)).isEqualTo(1);
        assertThat(client.lastReply().state()).isEqualTo(TransactionState.IDLE);
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("s1");
        assertThat(harness.primary.openConnections).isEmpty();
    }

    /** Reads need no successor; a COMMIT that wrote nothing acknowledges nothing. */
    @Test
    void readsAndReadOnlyTransactionsContinueDuringASeal() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE)
                .send("b1", new Begin(false))
                .send("s1", new Read("item"));
        Client reader = harness.open(EngineHarness.BOUNDED_STALENESS_ROUTE).send("r0", new Read("item"));
        harness.run(100);
        harness.seal(1, 1);
        client.send("c1", new Commit())
                .send("b2", new Begin(true))
                .send("s2", new Read("item"))
                .send("c2", new Commit())
                .send("r1", new Read("item"));
        reader.send("r2", new Read("item"));
        harness.run(200);

        assertThat(client.replies).hasSize(7);
        assertThat(client.replies.stream().allMatch(SqlResult::isSuccess)).isTrue();
        assertThat(reader.lastReply().isSuccess()).isTrue();
        assertThat(harness.engine
                        .acknowledgedCommits()
                        .get(FakeDatabase.SERVICE)
                        .acknowledged())
                .isEqualTo(AcknowledgedCommits.NONE);
    }

    /** The seal lasts until the takeover is known; the successor's commits must not wait for that. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theSuccessorIsWrittenToWhileTheSealOfTheEarlierTermLasts(boolean announced) {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(100);
        harness.seal(1, 1);
        client.send("w2", new Write("item", "6"));
        harness.run(30);
        harness.primary.primary = false;
        harness.nearReplica.primary = true;
        harness.nearReplica.logTerm = 2;
        if (announced) {
            harness.loadConfiguration(2, 28, 1);
        }
        harness.announcePromotion(harness.nearReplica);
        harness.run(60);

        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(FakeDatabase.requestIds(harness.nearReplica.executedStatements))
                .containsExactly("w2");
        client.send("b", new Begin(false)).send("s", new Write("item", "7")).send("c", new Commit());
        harness.run(100);
        assertThat(client.lastReply().isSuccess()).isTrue();
    }

    /** A proxy that is cut off from control looks for the successor by itself, also during a seal. */
    @Test
    void withoutControlTheSuccessorIsFoundDuringASeal() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(100);
        harness.seal(1, 1);
        harness.engine.setControlReachable(false);
        harness.primary.primary = false;
        harness.farReplica.primary = true;
        harness.farReplica.logTerm = 2;
        client.send("w2", new Write("item", "6"));
        harness.run(200);

        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(FakeDatabase.requestIds(harness.farReplica.executedStatements))
                .containsExactly("w2");
    }

    /** A primary that is kept after all was refused its writes for as long as a seal can last. */
    @Test
    void aPrimaryThatIsKeptIsWrittenToOnceTheSealHasEnded() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(100);
        harness.seal(1, 1);
        client.send("w2", new Write("item", "6"));
        harness.run(30);
        harness.endSeal(harness.primary, 1);
        harness.run(60);

        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(harness.engine
                        .acknowledgedCommits()
                        .get(FakeDatabase.SERVICE)
                        .acknowledged())
                .isEqualTo(new AcknowledgedCommits(new LogPosition(1, 12), new LogPosition(1, 12)));
    }

    /** A response to a client that has gone was not passed on: the session must not hold the connection or stop the engine. */
    @Test
    void aClientThatDisconnectsDuringASealLeavesNoWriteBehind() {
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(100);
        harness.seal(1, 1);
        client.send("w2", new Write("item", "6"));
        harness.run(20);
        client.session.orElseThrow().onClosed();
        harness.endSeal(harness.primary, 1);
        harness.run(300);

        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("w1");
    }

    /** A proxy that had no proof of the primary sent all its writes there, and each of them was in doubt. */
    @Test
    void aWriteOfAProxyThatHasNotUsedThePrimaryIsNotSentDuringASeal() {
        harness.seal(1, 1);
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        harness.run(300);

        assertThat(client.lastReply().error()).hasValue(SqlError.BUSY);
        assertThat(harness.primary.executedStatements).isEmpty();
    }

    /** A write that waited for a connection when the seal came was sent, and was in doubt although it need not have run. */
    @Test
    void aQueuedWriteIsNotSentOnceItsPrimaryIsSealed() {
        harness.loadConfiguration(2, 4, 1);
        harness.primary.serviceMs = 60;
        Client first = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        Client queued = harness.open(EngineHarness.PRIMARY_ROUTE).send("w2", new Write("item", "6"));
        harness.run(20);
        harness.seal(1, 1);
        harness.run(300);

        assertThat(first.lastReply().error()).hasValue(SqlError.IN_DOUBT);
        assertThat(queued.lastReply().error()).hasValue(SqlError.BUSY);
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("w1");
    }

    /** Requests that are pipelined behind a write in flight are held back like others, and the session goes on afterwards. */
    @Test
    void pipelinedWritesOfASessionAreHeldBackDuringASeal() {
        harness.primary.serviceMs = 40;
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE)
                .send("w1", new Write("item", "5"))
                .send("w2", new Write("item", "6"))
                .send("r1", new Read("item"));
        harness.run(20);
        harness.seal(1, 1);
        harness.run(400);

        assertThat(client.replies.stream()
                        .map(reply -> reply.error().map(Enum::name).orElse("DONE")))
                .containsExactly("IN_DOUBT", "BUSY", "DONE")
                .inOrder();
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("r1", "w1");
    }

    /** A COMMIT that the database had refused as BUSY was sent again during the seal, and its result was in doubt. */
    @Test
    void aCommitIsNotSentAgainDuringASeal() {
        harness.primary.injectedError =
                request -> request.id().equals("c") ? Optional.of(SqlError.BUSY) : Optional.empty();
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE)
                .send("b", new Begin(false))
                .send("s1", new Write("item", "5"));
        harness.run(100);
        client.send("c", new Commit());
        harness.run(15);
        harness.seal(1, 1);
        harness.primary.injectedError = request -> Optional.empty();
        harness.run(200);

        assertThat(client.lastReply().error()).hasValue(SqlError.ABORTED);
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("s1");
    }
}
