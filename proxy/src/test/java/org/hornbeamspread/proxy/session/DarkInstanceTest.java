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
final class DarkInstanceTest {
    private static final int GAP_MS = 10;

    private final EngineHarness harness = new EngineHarness();

    /**
     * Found by fleetbench run ujaas-core trouble-1 (a cut between proxies and instances): reads queued at the dark instances, whose
     * measured times stayed short, and were refused as waiting too long while another instance idled.
     */
    @Test
    void readsGoToTheInstancesThatAnswer() {
        stream(EngineHarness.READ_YOUR_WRITES_ROUTE, 100);
        darken(harness.nearReplica);
        List<Client> clients = stream(EngineHarness.READ_YOUR_WRITES_ROUTE, 400);
        harness.run(1_000);

        assertThat(clients.stream()
                        .filter(client -> client.replyTimeMs() <= 100)
                        .count())
                .isAtLeast(380);
        clients.forEach(client -> assertThat(client.lastReply().isSuccess()).isTrue());
    }

    @Test
    void aReadThatHangsAtADarkInstanceIsRunElsewhereBeforeItsTimeout() {
        stream(EngineHarness.READ_YOUR_WRITES_ROUTE, 100);
        harness.nearReplica.silent = true;
        Client client = harness.open(EngineHarness.READ_YOUR_WRITES_ROUTE).send("hanging", new Read("item"));
        harness.run(600);

        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(FakeDatabase.ids(harness.nearReplica.runs)).doesNotContain("hanging");
    }

    @Test
    void aTransactionWhoseBeginHangsAtADarkInstanceIsBegunElsewhere() {
        stream(EngineHarness.READ_YOUR_WRITES_ROUTE, 100);
        harness.nearReplica.silent = true;
        Client client = harness.open(EngineHarness.READ_YOUR_WRITES_ROUTE).send("b", new Begin(true));
        client.send("s", new Read("item"));
        harness.run(600);
        client.send("c", new Commit());
        harness.run(100);

        assertThat(client.replies).hasSize(3);
        client.replies.forEach(reply -> assertThat(reply.isSuccess()).isTrue());
    }

    /** Until its timeout a write may have run; it is neither repeated nor denied. */
    @Test
    void aWriteThatWasSentToADarkInstanceIsNotRepeated() {
        stream(EngineHarness.PRIMARY_ROUTE, 20);
        harness.primary.silent = true;
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w", new Write("item", "5"));
        harness.run(700);
        assertThat(client.replies).isEmpty();
        harness.run(200);

        assertThat(client.lastReply().error()).hasValue(SqlError.IN_DOUBT);
    }

    /** A primary is dark for seven seconds; each unit that found out held a connection for the time of an attempt. */
    @Test
    void whileThePrimaryIsDarkWritesAreRefusedSoon() {
        stream(EngineHarness.PRIMARY_ROUTE, 20);
        darken(harness.primary);
        stream(EngineHarness.PRIMARY_ROUTE, 100);
        List<Client> clients = stream(EngineHarness.PRIMARY_ROUTE, 600);
        harness.run(1_000);

        clients.forEach(client -> assertThat(client.replyTimeMs()).isAtMost(200));
    }

    /** The times of attempts in vain were taken for the database's pace, and refused work for seconds after its return. */
    @Test
    void onceThePrimaryIsBackWritesAreServed() {
        stream(EngineHarness.PRIMARY_ROUTE, 20);
        darken(harness.primary);
        stream(EngineHarness.PRIMARY_ROUTE, 500);
        harness.primary.dark = false;
        harness.run(1_100);
        List<Client> clients = stream(EngineHarness.PRIMARY_ROUTE, 100);
        harness.run(1_000);

        clients.forEach(client -> assertThat(client.lastReply().isSuccess()).isTrue());
    }

    /** Units whose turn did not come in time were dropped from the queue and hung until their timeout. */
    @Test
    void aUnitThatCanNoMoreStartInTimeIsRefusedThen() {
        harness.loadConfiguration(2, 4, 1);
        harness.primary.workMs = 5;
        stream(EngineHarness.PRIMARY_ROUTE, 50);
        Client holder = harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false));
        holder.send("s", new Read("item"));
        harness.run(50);
        Client waiting = harness.open(EngineHarness.PRIMARY_ROUTE).send("w", new Write("item", "5"));
        harness.run(200);

        assertThat(waiting.lastReply().error()).hasValue(SqlError.BUSY);
    }

    /** The near instance's only connection is held by a transaction whose client thinks; the others idle. */
    @Test
    void aReadThatWouldWaitTooLongIsServedWhereThereIsRoom() {
        harness.loadConfiguration(2, 4, 1);
        stream(EngineHarness.READ_YOUR_WRITES_ROUTE, 20);
        Client holder = harness.open(EngineHarness.READ_YOUR_WRITES_ROUTE).send("b", new Begin(true));
        holder.send("s", new Read("item"));
        harness.run(50);
        Client client = harness.open(EngineHarness.READ_YOUR_WRITES_ROUTE).send("r", new Read("item"));
        run(700);

        assertThat(client.lastReply().isSuccess()).isTrue();
    }

    /** In steps that are no jump of the clock. */
    private void run(long forMs) {
        for (long ms = 0; ms < forMs; ms += GAP_MS) {
            harness.run(GAP_MS);
        }
    }

    private void darken(FakeDatabase database) {
        database.dark = true;
    }

    private List<Client> stream(String route, int requests) {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            Client client = harness.open(route);
            client.send(
                    route + i, route.equals(EngineHarness.PRIMARY_ROUTE) ? new Write("item", "5") : new Read("item"));
            clients.add(client);
            harness.run(GAP_MS);
        }
        return clients;
    }
}
