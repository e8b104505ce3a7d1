package org.hornbeamspread.proxy.session;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlStatement.Begin;
import org.hornbeamspread.core.sql.SqlStatement.Commit;
import org.hornbeamspread.core.sql.SqlStatement.Read;
import org.hornbeamspread.core.sql.SqlStatement.Write;
import org.hornbeamspread.proxy.session.EngineHarness.Client;
import org.junit.jupiter.api.Test;

/** Requests arrive at a steady rate while an instance responds to neither statements nor connection attempts. */
final class UnresponsiveInstanceTest {
    private static final int INTERVAL_MS = 10;

    private final EngineHarness harness = new EngineHarness();

    /**
     * Reads must not queue at unresponsive instances, whose measured service times stay short, and be refused with WAIT_TOO_LONG
     * while another instance is idle. Fleetbench run ujaas-core trouble-1, a network partition between proxies and instances.
     */
    @Test
    void readsAreRoutedToResponsiveInstances() {
        sendAtIntervals(EngineHarness.READ_YOUR_WRITES_ROUTE, 100);
        makeUnresponsive(harness.nearReplica);
        List<Client> clients = sendAtIntervals(EngineHarness.READ_YOUR_WRITES_ROUTE, 400);
        harness.run(1_000);

        assertThat(clients.stream()
                        .filter(client -> client.replyTimeMs() <= 100)
                        .count())
                .isAtLeast(380);
        clients.forEach(client -> assertThat(client.lastReply().isSuccess()).isTrue());
    }

    @Test
    void readPendingAtAnUnresponsiveInstanceIsRetriedElsewhereBeforeItsTimeout() {
        sendAtIntervals(EngineHarness.READ_YOUR_WRITES_ROUTE, 100);
        harness.nearReplica.statementsHang = true;
        Client client = harness.open(EngineHarness.READ_YOUR_WRITES_ROUTE).send("hanging", new Read("item"));
        harness.run(600);

        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(FakeDatabase.requestIds(harness.nearReplica.executedStatements))
                .doesNotContain("hanging");
    }

    @Test
    void transactionWhoseBeginIsPendingAtAnUnresponsiveInstanceBeginsElsewhere() {
        sendAtIntervals(EngineHarness.READ_YOUR_WRITES_ROUTE, 100);
        harness.nearReplica.statementsHang = true;
        Client client = harness.open(EngineHarness.READ_YOUR_WRITES_ROUTE).send("b", new Begin(true));
        client.send("s", new Read("item"));
        harness.run(600);
        client.send("c", new Commit());
        harness.run(100);

        assertThat(client.replies).hasSize(3);
        client.replies.forEach(reply -> assertThat(reply.isSuccess()).isTrue());
    }

    /** A write that was sent may have run, so the proxy neither retries it nor reports an outcome before the timeout. */
    @Test
    void writeSentToAnUnresponsiveInstanceIsNotRetried() {
        sendAtIntervals(EngineHarness.PRIMARY_ROUTE, 20);
        harness.primary.statementsHang = true;
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w", new Write("item", "5"));
        harness.run(700);
        assertThat(client.replies).isEmpty();
        harness.run(200);

        assertThat(client.lastReply().error()).hasValue(SqlError.IN_DOUBT);
    }

    /**
     * The primary is unresponsive for seven seconds. Writes must not each hold a connection slot for the time of a failing
     * connection attempt.
     */
    @Test
    void writesAreRefusedQuicklyWhileThePrimaryIsUnresponsive() {
        sendAtIntervals(EngineHarness.PRIMARY_ROUTE, 20);
        makeUnresponsive(harness.primary);
        sendAtIntervals(EngineHarness.PRIMARY_ROUTE, 100);
        List<Client> clients = sendAtIntervals(EngineHarness.PRIMARY_ROUTE, 600);
        harness.run(1_000);

        clients.forEach(client -> assertThat(client.replyTimeMs()).isAtMost(200));
    }

    /**
     * The durations of failed connection attempts must not count as service times, which would refuse writes for seconds after
     * the primary responds again.
     */
    @Test
    void writesAreServedOnceThePrimaryRespondsAgain() {
        sendAtIntervals(EngineHarness.PRIMARY_ROUTE, 20);
        makeUnresponsive(harness.primary);
        sendAtIntervals(EngineHarness.PRIMARY_ROUTE, 500);
        harness.primary.unresponsive = false;
        harness.run(1_100);
        List<Client> clients = sendAtIntervals(EngineHarness.PRIMARY_ROUTE, 100);
        harness.run(1_000);

        clients.forEach(client -> assertThat(client.lastReply().isSuccess()).isTrue());
    }

    /** A request that expires in the queue must be refused, not dropped without a response until the statement's timeout. */
    @Test
    void queuedWriteIsRefusedOnceItCannotStartInTime() {
        harness.loadConfiguration(2, 4, 1);
        harness.primary.serviceMs = 5;
        sendAtIntervals(EngineHarness.PRIMARY_ROUTE, 50);
        Client transactionClient = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        transactionClient.send("s", new Read("item"));
        harness.run(50);
        Client waiting = harness.open(EngineHarness.PRIMARY_ROUTE).send("w", new Write("item", "5"));
        harness.run(200);

        assertThat(waiting.lastReply().error()).hasValue(SqlError.BUSY);
    }

    /** An open transaction of an idle client holds the nearest instance's only connection; the other instances are idle. */
    @Test
    void readThatWouldWaitTooLongIsServedByAnotherInstance() {
        harness.loadConfiguration(2, 4, 1);
        sendAtIntervals(EngineHarness.READ_YOUR_WRITES_ROUTE, 20);
        Client transactionClient =
                harness.open(EngineHarness.READ_YOUR_WRITES_ROUTE).send("b", new Begin(true));
        transactionClient.send("s", new Read("item"));
        harness.run(50);
        Client client = harness.open(EngineHarness.READ_YOUR_WRITES_ROUTE).send("r", new Read("item"));
        runInSteps(700);

        assertThat(client.lastReply().isSuccess()).isTrue();
    }

    /** Advances the time in steps too small to count as a clock jump or a local pause. */
    private void runInSteps(long durationMs) {
        for (long ms = 0; ms < durationMs; ms += INTERVAL_MS) {
            harness.run(INTERVAL_MS);
        }
    }

    private void makeUnresponsive(FakeDatabase database) {
        database.unresponsive = true;
    }

    private List<Client> sendAtIntervals(String route, int requests) {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            Client client = harness.open(route);
            client.send(
                    route + i, route.equals(EngineHarness.PRIMARY_ROUTE) ? new Write("item", "5") : new Read("item"));
            clients.add(client);
            harness.run(INTERVAL_MS);
        }
        return clients;
    }
}
