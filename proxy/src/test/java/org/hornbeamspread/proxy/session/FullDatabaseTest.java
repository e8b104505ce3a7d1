package org.hornbeamspread.proxy.session;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlStatement.Write;
import org.hornbeamspread.proxy.session.EngineHarness.Client;
import org.junit.jupiter.api.Test;

/**
 * Databases that still hold the connections of machines that lost power, and have room for few. Found by fleetbench run ujaas-core
 * scale-2: proxies that had two of four connections left them idle for a second at a time, and refused for want of a primary.
 */
final class FullDatabaseTest {
    private static final int GAP_MS = 10;

    /** Several at once need more connections than there are. */
    private static final int AT_ONCE = 3;

    private final EngineHarness harness = new EngineHarness();

    @Test
    void whatConnectionsThereAreAreUsed() {
        harness.loadConfiguration(2, 28, 3);
        harness.primary.connectionLimit = 2;
        harness.primary.workMs = 4;
        List<Client> clients = stream(100);
        run(1_000);

        clients.forEach(client -> assertThat(client.lastReply().isSuccess()).isTrue());
        assertThat(harness.primary.opened).isEqualTo(2);
    }

    @Test
    void withoutAnyConnectionAWriteIsRefusedSoonAndServedOnceThereIsRoom() {
        harness.primary.connectionLimit = 0;
        List<Client> refused = stream(200);
        run(200);
        refused.forEach(client -> assertThat(client.lastReply().error()).hasValue(SqlError.BUSY));
        harness.primary.connectionLimit = 28;
        run(300);
        List<Client> served = stream(100);
        run(300);

        served.forEach(client -> assertThat(client.lastReply().isSuccess()).isTrue());
    }

    @Test
    void onceThereIsRoomTheProxyTakesItsPart() {
        harness.loadConfiguration(2, 28, 3);
        harness.primary.connectionLimit = 1;
        stream(50);
        harness.primary.connectionLimit = 28;
        harness.primary.workMs = 40;
        stream(100);

        assertThat(harness.primary.open.size()).isAtLeast(6);
    }

    /** What a database holds for a proxy that loses power takes the room of those that return. */
    @Test
    void connectionsThatWereNotNeededOfLateAreClosed() {
        harness.primary.workMs = 40;
        stream(50);
        assertThat(harness.primary.open.size()).isAtLeast(6);
        harness.primary.workMs = 4;
        for (int i = 0; i < 300; i++) {
            harness.open(EngineHarness.PRIMARY_ROUTE).send("slow" + i, new Write("item", "5"));
            run(GAP_MS);
        }

        assertThat(harness.primary.open.size()).isAtMost(2);
    }

    private List<Client> stream(int steps) {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            for (int j = 0; j < AT_ONCE; j++) {
                clients.add(harness.open(EngineHarness.PRIMARY_ROUTE).send("w" + i + "-" + j, new Write("item", "5")));
            }
            run(GAP_MS);
        }
        return clients;
    }

    /** In steps that are no jump of the clock. */
    private void run(long forMs) {
        for (long ms = 0; ms < forMs; ms += GAP_MS) {
            harness.run(GAP_MS);
        }
    }
}
