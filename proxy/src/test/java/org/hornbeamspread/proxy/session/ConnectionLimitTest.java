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
final class ConnectionLimitTest {
    private static final int INTERVAL_MS = 10;

    /** Several at once need more connections than there are. */
    private static final int CONCURRENT_WRITES = 3;

    private final EngineHarness harness = new EngineHarness();

    @Test
    void allAvailableConnectionsAreUsed() {
        harness.load(2, 28, 3);
        harness.primary.connectionLimit = 2;
        harness.primary.serviceMs = 4;
        List<Client> clients = sendAtIntervals(100);
        runInSteps(1_000);

        clients.forEach(client -> assertThat(client.last().isSuccess()).isTrue());
        assertThat(harness.primary.openedConnectionCount).isEqualTo(2);
    }

    @Test
    void writesAreRefusedQuicklyWithoutConnectionsAndServedOnceConnectionsAreAvailable() {
        harness.primary.connectionLimit = 0;
        List<Client> refused = sendAtIntervals(200);
        runInSteps(200);
        refused.forEach(client -> assertThat(client.last().error()).hasValue(SqlError.BUSY));
        harness.primary.connectionLimit = 28;
        runInSteps(300);
        List<Client> served = sendAtIntervals(100);
        runInSteps(300);

        served.forEach(client -> assertThat(client.last().isSuccess()).isTrue());
    }

    @Test
    void proxyOpensItsShareOnceTheDatabaseAcceptsConnections() {
        harness.load(2, 28, 3);
        harness.primary.connectionLimit = 1;
        sendAtIntervals(50);
        harness.primary.connectionLimit = 28;
        harness.primary.serviceMs = 40;
        sendAtIntervals(100);

        assertThat(harness.primary.openConnections.size()).isAtLeast(6);
    }

    /** What a database holds for a proxy that loses power takes the room of those that return. */
    @Test
    void recentlyUnusedConnectionsAreClosed() {
        harness.primary.serviceMs = 40;
        sendAtIntervals(50);
        assertThat(harness.primary.openConnections.size()).isAtLeast(6);
        harness.primary.serviceMs = 4;
        for (int i = 0; i < 300; i++) {
            harness.open(EngineHarness.TOPUP).send("slow" + i, new Write("item", "5"));
            runInSteps(INTERVAL_MS);
        }

        assertThat(harness.primary.openConnections.size()).isAtMost(2);
    }

    private List<Client> sendAtIntervals(int steps) {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            for (int j = 0; j < CONCURRENT_WRITES; j++) {
                clients.add(harness.open(EngineHarness.TOPUP).send("w" + i + "-" + j, new Write("item", "5")));
            }
            runInSteps(INTERVAL_MS);
        }
        return clients;
    }

    /** In steps that are no jump of the clock. */
    private void runInSteps(long forMs) {
        for (long ms = 0; ms < forMs; ms += INTERVAL_MS) {
            harness.run(INTERVAL_MS);
        }
    }
}
