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

/** Work that arrives steadily while an instance answers nothing: neither statements nor attempts to connect. */
final class UnresponsiveInstanceTest {
    private static final int INTERVAL_MS = 10;

    private final EngineHarness harness = new EngineHarness();

    /**
     * Found by fleetbench run ujaas-core trouble-1 (a cut between proxies and instances): reads queued at the dark instances, whose
     * measured times stayed short, and were refused as waiting too long while another instance idled.
     */
    @Test
    void readsAreRoutedToResponsiveInstances() {
        sendAtIntervals(EngineHarness.SYNC, 100);
        makeUnresponsive(harness.near);
        List<Client> clients = sendAtIntervals(EngineHarness.SYNC, 400);
        harness.run(1_000);

        assertThat(clients.stream().filter(client -> client.waitedMs() <= 100).count())
                .isAtLeast(380);
        clients.forEach(client -> assertThat(client.last().isSuccess()).isTrue());
    }

    @Test
    void readPendingAtAnUnresponsiveInstanceIsRetriedElsewhereBeforeItsTimeout() {
        sendAtIntervals(EngineHarness.SYNC, 100);
        harness.near.statementsHang = true;
        Client client = harness.open(EngineHarness.SYNC).send("hanging", new Read("item"));
        harness.run(600);

        assertThat(client.last().isSuccess()).isTrue();
        assertThat(FakeDatabase.requestIds(harness.near.executedStatements)).doesNotContain("hanging");
    }

    @Test
    void transactionWhoseBeginIsPendingAtAnUnresponsiveInstanceBeginsElsewhere() {
        sendAtIntervals(EngineHarness.SYNC, 100);
        harness.near.statementsHang = true;
        Client client = harness.open(EngineHarness.SYNC).send("b", new Begin(true));
        client.send("s", new Read("item"));
        harness.run(600);
        client.send("c", new Commit());
        harness.run(100);

        assertThat(client.replies).hasSize(3);
        client.replies.forEach(reply -> assertThat(reply.isSuccess()).isTrue());
    }

    /** Until its timeout a write may have run; it is neither repeated nor denied. */
    @Test
    void writeSentToAnUnresponsiveInstanceIsNotRetried() {
        sendAtIntervals(EngineHarness.TOPUP, 20);
        harness.primary.statementsHang = true;
        Client client = harness.open(EngineHarness.TOPUP).send("w", new Write("item", "5"));
        harness.run(700);
        assertThat(client.replies).isEmpty();
        harness.run(200);

        assertThat(client.last().error()).hasValue(SqlError.IN_DOUBT);
    }

    /** A primary is dark for seven seconds; each unit that found out held a connection for the time of an attempt. */
    @Test
    void writesAreRefusedQuicklyWhileThePrimaryIsUnresponsive() {
        sendAtIntervals(EngineHarness.TOPUP, 20);
        makeUnresponsive(harness.primary);
        sendAtIntervals(EngineHarness.TOPUP, 100);
        List<Client> clients = sendAtIntervals(EngineHarness.TOPUP, 600);
        harness.run(1_000);

        clients.forEach(client -> assertThat(client.waitedMs()).isAtMost(200));
    }

    /** The times of attempts in vain were taken for the database's pace, and refused work for seconds after its return. */
    @Test
    void writesAreServedOnceThePrimaryRespondsAgain() {
        sendAtIntervals(EngineHarness.TOPUP, 20);
        makeUnresponsive(harness.primary);
        sendAtIntervals(EngineHarness.TOPUP, 500);
        harness.primary.unresponsive = false;
        harness.run(1_100);
        List<Client> clients = sendAtIntervals(EngineHarness.TOPUP, 100);
        harness.run(1_000);

        clients.forEach(client -> assertThat(client.last().isSuccess()).isTrue());
    }

    /** Units whose turn did not come in time were dropped from the queue and hung until their timeout. */
    @Test
    void queuedWriteIsRefusedOnceItCannotStartInTime() {
        harness.load(2, 4, 1);
        harness.primary.serviceMs = 5;
        sendAtIntervals(EngineHarness.TOPUP, 50);
        Client holder = harness.open(EngineHarness.TOPUP).send("b", new Begin(false));
        holder.send("s", new Read("item"));
        harness.run(50);
        Client waiting = harness.open(EngineHarness.TOPUP).send("w", new Write("item", "5"));
        harness.run(200);

        assertThat(waiting.last().error()).hasValue(SqlError.BUSY);
    }

    /** The near instance's only connection is held by a transaction whose client thinks; the others idle. */
    @Test
    void readThatWouldWaitTooLongIsServedByAnotherInstance() {
        harness.load(2, 4, 1);
        sendAtIntervals(EngineHarness.SYNC, 20);
        Client holder = harness.open(EngineHarness.SYNC).send("b", new Begin(true));
        holder.send("s", new Read("item"));
        harness.run(50);
        Client client = harness.open(EngineHarness.SYNC).send("r", new Read("item"));
        runInSteps(700);

        assertThat(client.last().isSuccess()).isTrue();
    }

    /** In steps that are no jump of the clock. */
    private void runInSteps(long forMs) {
        for (long ms = 0; ms < forMs; ms += INTERVAL_MS) {
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
            client.send(route + i, route.equals(EngineHarness.TOPUP) ? new Write("item", "5") : new Read("item"));
            clients.add(client);
            harness.run(INTERVAL_MS);
        }
        return clients;
    }
}
