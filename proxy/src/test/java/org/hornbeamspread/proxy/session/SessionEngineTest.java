package org.hornbeamspread.proxy.session;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlRequest;
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

final class SessionEngineTest {
    private final EngineHarness harness = new EngineHarness();

    @Test
    void aWriteRunsAtThePrimaryWithItsIdAndIsSigned() {
        Client client = harness.open(EngineHarness.TOPUP).send("w1", new Write("item", "5"));
        harness.run(100);

        assertThat(client.last().signature()).isEqualTo("signed-p");
        assertThat(client.last().state()).isEqualTo(TransactionState.IDLE);
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("w1");
    }

    @Test
    void anUnknownDatabaseIsRefused() {
        assertThat(harness.open("nobody").refusal).hasValue(SqlError.UNKNOWN_DATABASE);
    }

    @Test
    void aReadOfAPrimaryRouteRunsWhereAPlainTransactionIsAccepted() {
        Client client = harness.open(EngineHarness.TOPUP).send("r1", new Read("item"));
        harness.run(100);

        assertThat(client.last().isSuccess()).isTrue();
        assertThat(harness.primary.executedStatements.get(0).transactionIds()).containsExactly("r1");
    }

    /** The proxy has not heard of a promotion yet: the deposed primary refuses, and nothing runs there. */
    @Test
    void aReadOfAPrimaryRouteNeverRunsOnADeposedPrimary() {
        harness.primary.primary = false;
        harness.near.primary = true;
        Client client = harness.open(EngineHarness.TOPUP).send("r1", new Read("item"));
        harness.run(400);

        assertThat(harness.primary.executedStatements).isEmpty();
        assertThat(client.last().error()).hasValue(SqlError.BUSY);
        harness.load(2, 28, 1);
        client.send("r2", new Read("item"));
        harness.run(200);
        assertThat(client.last().isSuccess()).isTrue();
        assertThat(harness.near.executedStatements.get(0).onPrimary()).isTrue();
    }

    @Test
    void aBoundedReadRunsOnAReplicaThatHoldsTheSampledPosition() {
        harness.primary.logEntries = 50;
        harness.near.logEntries = 49;
        harness.far.logEntries = 50;
        Client client = harness.open(EngineHarness.BALANCE).send("r1", new Read("item"));
        harness.run(300);

        assertThat(client.last().isSuccess()).isTrue();
        assertThat(harness.near.executedStatements).isEmpty();
    }

    @Test
    void noReplicaIsReadOnceTheClockCantTellTheAgeOfASample() {
        Client client = harness.open(EngineHarness.BALANCE).send("r1", new Read("item"));
        harness.run(100);
        assertThat(client.last().isSuccess()).isTrue();
        harness.primary.reachable = false;
        harness.primary.resetConnections();
        harness.timeOfDay.advance(Duration.ofSeconds(5));
        client.send("r2", new Read("item"));
        harness.run(1_300);

        assertThat(client.last().error()).hasValue(SqlError.BUSY);
    }

    @Test
    void aSessionReadsItsOwnWrite() {
        harness.open(EngineHarness.BALANCE).send("r0", new Read("item"));
        harness.run(100);
        Client client = harness.open(EngineHarness.SYNC).send("w1", new Write("item", "5"));
        harness.run(100);
        client.send("r1", new Read("item"));
        harness.run(300);

        assertThat(client.last().signature()).isEqualTo("signed-p");
    }

    @Test
    void aTransactionStaysOnOneConnection() {
        Client client = harness.open(EngineHarness.TOPUP)
                .send("b", new Begin(false))
                .send("s1", new Read("item"))
                .send("s2", new Write("item", "5"))
                .send("c", new Commit());
        harness.run(200);

        assertThat(client.replies.get(0).signature()).isEqualTo("-");
        assertThat(client.last().isSuccess()).isTrue();
        assertThat(harness.primary.executedStatements.get(2).transactionIds())
                .containsExactly("s1", "s2", "c")
                .inOrder();
    }

    @Test
    void valuesAndPreparedNamesFollowTheSession() {
        Client first = harness.open(EngineHarness.TOPUP).send("1", new SetValue("zone", "addis"));
        first.send("2", new Prepare("s", new PreparedDefinition(true, "q1")));
        first.send("w1", new Execute("s", "item", Optional.of("5")));
        harness.run(100);
        Client second =
                harness.open(EngineHarness.TOPUP).send("3", new Prepare("s", new PreparedDefinition(true, "q2")));
        second.send("w2", new Execute("s", "item", Optional.of("6")));
        harness.run(100);

        assertThat(harness.primary.executedStatements.get(0).values()).isEqualTo(Map.of("zone", "addis"));
        assertThat(harness.primary.executedStatements.get(1).values()).isEmpty();
        assertThat(((Execute) harness.primary.executedStatements.get(1).statement()).name())
                .contains("q2");
    }

    @ParameterizedTest
    @ValueSource(strings = {"s", "other"})
    void aNameThatIsNotPreparedIsRefused(String name) {
        Client client =
                harness.open(EngineHarness.TOPUP).send("1", new Prepare("s", new PreparedDefinition(true, "q")));
        client.send("2", new SqlStatement.Deallocate("s"));
        client.send("3", new Execute(name, "item", Optional.of("5")));

        assertThat(client.last().error()).hasValue(SqlError.UNKNOWN_PREPARED);
    }

    /** What is known of a write's effect decides the answer. */
    @ParameterizedTest
    @CsvSource({"BUSY, BUSY", "READ_ONLY, BUSY", "FAILED, FAILED", "TIMEOUT, TIMEOUT"})
    void aWriteThatFailsIsAnsweredWithWhatIsKnown(SqlError met, SqlError told) {
        harness.primary.injectedError = request -> request.id().equals("w1") ? Optional.of(met) : Optional.empty();
        Client client = harness.open(EngineHarness.TOPUP).send("w1", new Write("item", "5"));
        harness.run(2_000);

        assertThat(client.replies).hasSize(1);
        assertThat(client.last().error()).hasValue(told);
    }

    @Test
    void aWriteWhoseConnectionBreaksIsInDoubtAndNotRepeated() {
        harness.primary.serviceMs = 50;
        Client client = harness.open(EngineHarness.TOPUP).send("w1", new Write("item", "5"));
        harness.run(20);
        harness.primary.resetConnections();
        harness.run(500);

        assertThat(client.last().error()).hasValue(SqlError.IN_DOUBT);
        assertThat(harness.primary.executedStatements).isEmpty();
    }

    /** A primary goes dark under a read: another question is not answered either, and the read ends before its timeout. */
    @Test
    void aReadAtAPrimaryThatFellSilentIsNotHeldUntilItsTimeout() {
        Client client = harness.open(EngineHarness.TOPUP).send("w0", new Write("item", "5"));
        harness.run(100);
        harness.primary.statementsHang = true;
        client.send("r1", new Read("item"));
        harness.open(EngineHarness.BALANCE).send("r2", new Read("item"));
        harness.run(1_500);
        harness.open(EngineHarness.BALANCE).send("r3", new Read("item"));
        harness.run(700);

        assertThat(client.replies).hasSize(2);
    }

    @Test
    void aWriteWithoutAnAnswerIsInDoubtAtItsTimeout() {
        Client client = harness.open(EngineHarness.TOPUP).send("w0", new Write("item", "5"));
        harness.run(100);
        harness.primary.statementsHang = true;
        client.send("w1", new Write("item", "5"));
        harness.run(799);
        assertThat(client.replies).hasSize(1);
        harness.run(10);

        assertThat(client.last().error()).hasValue(SqlError.IN_DOUBT);
    }

    @ParameterizedTest
    @EnumSource(
            value = SqlError.class,
            names = {"FAILED", "TIMEOUT", "BUSY"})
    void aBoundedReadIsTriedElsewhere(SqlError met) {
        harness.near.injectedError = request -> request.id().equals("r1") ? Optional.of(met) : Optional.empty();
        Client client = harness.open(EngineHarness.BALANCE).send("r1", new Read("item"));
        harness.run(300);

        assertThat(client.last().isSuccess()).isTrue();
    }

    @Test
    void aTransactionWhoseConnectionBreaksBeforeCommitIsAborted() {
        Client client = harness.open(EngineHarness.TOPUP).send("b", new Begin(false));
        client.send("s1", new Write("item", "5"));
        harness.run(100);
        harness.primary.resetConnections();
        client.send("s2", new Read("item"));
        harness.run(50);

        assertThat(client.last().error()).hasValue(SqlError.ABORTED);
        assertThat(client.last().state()).isEqualTo(TransactionState.FAILED);
        client.send("s3", new Read("item"));
        assertThat(client.last().error()).hasValue(SqlError.MALFORMED);
        client.send("e", new Rollback());
        assertThat(client.last().state()).isEqualTo(TransactionState.IDLE);
    }

    @Test
    void aCommitWhoseConnectionBreaksIsInDoubt() {
        Client client = harness.open(EngineHarness.TOPUP).send("b", new Begin(false));
        client.send("s1", new Write("item", "5"));
        harness.run(100);
        client.send("c", new Commit());
        harness.primary.resetConnections();
        harness.run(50);

        assertThat(client.last().error()).hasValue(SqlError.IN_DOUBT);
        assertThat(client.last().state()).isEqualTo(TransactionState.IDLE);
    }

    @Test
    void aStatementThatMeetsNoCapacityInsideATransactionIsSentAgain() {
        int[] refusals = {3};
        harness.primary.injectedError = request ->
                request.id().equals("s2") && refusals[0]-- > 0 ? Optional.of(SqlError.BUSY) : Optional.empty();
        Client client = harness.open(EngineHarness.TOPUP).send("b", new Begin(false));
        client.send("s1", new Read("item")).send("s2", new Write("item", "5"));
        harness.run(300);

        assertThat(client.last().isSuccess()).isTrue();
        assertThat(client.last().state()).isEqualTo(TransactionState.OPEN);
    }

    @Test
    void anIdleTransactionIsAborted() {
        Client client = harness.open(EngineHarness.TOPUP).send("b", new Begin(false));
        client.send("s1", new Read("item"));
        harness.run(4_000);
        assertThat(harness.primary.openConnections).hasSize(1);
        client.send("s2", new Read("item"));

        assertThat(client.last().error()).hasValue(SqlError.ABORTED);
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("s1");
    }

    /** A client that leaves inside a transaction: what it wrote is rolled back before another uses the connection. */
    @Test
    void aTransactionThatIsAbandonedIsRolledBack() {
        harness.load(2, 4, 1);
        Client client = harness.open(EngineHarness.TOPUP).send("b", new Begin(false));
        client.send("s1", new Write("item", "5"));
        harness.run(100);
        client.session.orElseThrow().onClosed();
        Client other = harness.open(EngineHarness.TOPUP).send("w2", new Write("item", "6"));
        harness.run(100);

        assertThat(other.last().isSuccess()).isTrue();
        assertThat(harness.primary.openedConnectionCount).isEqualTo(1);
        assertThat(harness.primary.executedStatements.get(1).transactionIds()).isEmpty();
    }

    /** Found by fleetbench score ujaas-core trouble-1: the statement waited for its turn while its client left. */
    @Test
    void aStatementThatWaitsForItsTurnIsNotSentOnceItsClientHasLeft() {
        harness.load(2, 28, 90);
        harness.primary.serviceMs = 100;
        Client leaving = harness.open(EngineHarness.TOPUP).send("b", new Begin(false));
        leaving.send("s1", new Read("item"));
        harness.run(150);
        harness.load(3, 280, 6);
        List<Client> busy = List.of(
                harness.open(EngineHarness.TOPUP).send("w1", new Write("item", "1")),
                harness.open(EngineHarness.TOPUP).send("w2", new Write("item", "1")),
                harness.open(EngineHarness.TOPUP).send("w3", new Write("item", "1")));
        harness.run(10);
        leaving.send("s2", new Read("item"));
        harness.run(10);
        leaving.session.orElseThrow().onClosed();
        harness.run(500);

        busy.forEach(client -> assertThat(client.last().isSuccess()).isTrue());
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("s1", "w1", "w2", "w3");
    }

    @Test
    void aChangeOfTheNumberOfProxiesDoesNotOpenMoreThanThePart() {
        harness.load(2, 15, 3);
        for (int i = 0; i < 20; i++) {
            harness.open(EngineHarness.TOPUP).send("b" + i, new Begin(false)).send("s" + i, new Read("item"));
        }
        harness.run(50);
        for (int version = 3; version < 20; version++) {
            harness.load(version, 15, 3 + version % 2);
            harness.run(5);
        }

        assertThat(harness.primary.openConnections.size()).isAtMost(4);
    }

    @Test
    void withoutAPrimaryAWriteIsRefusedAsNotRunAfterAShortWait() {
        harness.primary.reachable = false;
        Client client = harness.open(EngineHarness.TOPUP).send("w1", new Write("item", "5"));
        harness.run(200);

        assertThat(client.last().error()).hasValue(SqlError.BUSY);
    }

    @Test
    void aDroppedRouteHoldsFromTheNextStatement() {
        Client client = harness.open(EngineHarness.TOPUP).send("b", new Begin(false));
        client.send("s1", new Read("item"));
        harness.run(100);
        harness.load(2, List.of(), 28, 1);
        client.send("c", new Commit());
        harness.run(100);
        assertThat(client.last().isSuccess()).isTrue();
        client.send("r", new Read("item"));

        assertThat(client.last().error()).hasValue(SqlError.UNKNOWN_DATABASE);
    }

    @Test
    void aDrainKeepsSessionsUntilTheBalancerHasNoticedAndThenClosesThem() {
        Client idle = harness.open(EngineHarness.TOPUP);
        Client inTransaction = harness.open(EngineHarness.TOPUP).send("b", new Begin(false));
        inTransaction.send("s1", new Read("item"));
        harness.run(100);
        harness.engine.drain(6_000);
        assertThat(harness.engine.isReady()).isFalse();
        harness.run(2_100);
        assertThat(idle.closed).isFalse();
        Client late = harness.open(EngineHarness.TOPUP);
        assertThat(late.accepted).isTrue();
        harness.run(1_000);

        assertThat(idle.closed).isTrue();
        assertThat(late.closed).isTrue();
        assertThat(harness.open(EngineHarness.TOPUP).refusal).hasValue(SqlError.BUSY);
        inTransaction.send("c", new Commit());
        assertThat(inTransaction.last().error()).hasValue(SqlError.ABORTED);
        assertThat(inTransaction.closed).isTrue();
        assertThat(harness.engine.isDrained()).isTrue();
    }

    /**
     * The primary is out of reach, or lost the lead. The latter was found by fleetbench score ujaas-core, trouble-1: four of six proxies
     * refused for six seconds, and stayed in rotation.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aProxyWithNeitherControlNorAPrimaryIsNotReadyAndSendsItsSessionsAway(boolean reachable) {
        Client client = harness.open(EngineHarness.TOPUP);
        harness.engine.onControlHeard(false);
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
        Client client = harness.open(EngineHarness.TOPUP);
        harness.engine.onControlHeard(false);
        harness.primary.primary = false;
        harness.far.primary = true;
        client.send("w1", new Write("item", "5"));
        harness.run(300);

        assertThat(client.last().isSuccess()).isTrue();
        assertThat(harness.engine.isReady()).isTrue();
    }

    /** Incident inc1 of ujaas-core: the primary before a promotion acknowledged commits that its successor did not have. */
    @Test
    void thePrimaryBeforeAPromotionIsNotUsedWhileItsSuccessorTakesOver() {
        Client client = harness.open(EngineHarness.TOPUP).send("w1", new Write("item", "5"));
        harness.run(100);
        harness.promoted(harness.near);
        client.send("w2", new Write("item", "6"));
        harness.run(300);
        assertThat(FakeDatabase.requestIds(harness.primary.executedStatements)).containsExactly("w1");
        assertThat(client.last().error()).hasValue(SqlError.BUSY);
        harness.primary.primary = false;
        harness.near.primary = true;
        client.send("w3", new Write("item", "7"));
        harness.run(200);

        assertThat(client.last().isSuccess()).isTrue();
        assertThat(FakeDatabase.requestIds(harness.near.executedStatements)).containsExactly("w3");
    }

    @Test
    void withoutControlAloneAProxyGoesOn() {
        harness.engine.onControlHeard(false);
        harness.run(60_000);

        assertThat(harness.engine.isReady()).isTrue();
        Client client = harness.open(EngineHarness.TOPUP).send("w1", new Write("item", "5"));
        harness.run(100);
        assertThat(client.last().isSuccess()).isTrue();
    }

    @Test
    void ownStatementsCarryTheSystemsId() {
        harness.open(EngineHarness.BALANCE).send("r1", new Read("item"));
        harness.run(300);

        harness.databases.forEach(database -> assertThat(FakeDatabase.requestIds(database.executedStatements))
                .doesNotContain(SqlRequest.INTERNAL_ID));
    }
}
