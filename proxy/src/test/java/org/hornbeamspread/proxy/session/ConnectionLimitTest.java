package org.hornbeamspread.proxy.session;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlStatement.Begin;
import org.hornbeamspread.core.sql.SqlStatement.Write;
import org.hornbeamspread.proxy.session.EngineHarness.Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A database that still holds the connections of machines that lost power accepts only a few new ones. Proxies must use the
 * connections that they do get: in fleetbench run ujaas-core scale-2, proxies with two of four connections left them idle for a
 * second at a time, and refused requests with NO_PRIMARY.
 */
final class ConnectionLimitTest {
    private static final int INTERVAL_MS = 10;

    /** Writes sent at the same time; more than there are connections. */
    private static final int CONCURRENT_WRITES = 3;

    private final EngineHarness harness = new EngineHarness();

    @Test
    void allAvailableConnectionsAreUsed() {
        harness.loadConfiguration(2, 28, 3);
        harness.primary.connectionLimit = 2;
        harness.primary.serviceMs = 4;
        List<Client> clients = sendAtIntervals(100);
        runInSteps(1_000);

        clients.forEach(client -> assertThat(client.lastReply().isSuccess()).isTrue());
        assertThat(harness.primary.openedConnectionCount).isEqualTo(2);
    }

    @Test
    void writesAreRefusedQuicklyWithoutConnectionsAndServedOnceConnectionsAreAvailable() {
        harness.primary.connectionLimit = 0;
        List<Client> refused = sendAtIntervals(200);
        runInSteps(200);
        refused.forEach(client -> assertThat(client.lastReply().error()).hasValue(SqlError.BUSY));
        harness.primary.connectionLimit = 28;
        runInSteps(300);
        List<Client> served = sendAtIntervals(100);
        runInSteps(300);

        served.forEach(client -> assertThat(client.lastReply().isSuccess()).isTrue());
    }

    @Test
    void proxyOpensItsShareOnceTheDatabaseAcceptsConnections() {
        harness.loadConfiguration(2, 28, 3);
        harness.primary.connectionLimit = 1;
        sendAtIntervals(50);
        harness.primary.connectionLimit = 28;
        harness.primary.serviceMs = 40;
        sendAtIntervals(100);

        assertThat(harness.primary.openConnections.size()).isAtLeast(6);
    }

    /**
     * A database keeps the connections of a proxy that loses power for some time, and they use up the connection limit that the
     * proxies need when they restart.
     */
    @Test
    void connectionsPastTheIdleTimeoutAreClosed() {
        harness.primary.serviceMs = 40;
        sendAtIntervals(50);
        assertThat(harness.primary.openConnections.size()).isAtLeast(6);
        harness.primary.serviceMs = 4;
        for (int i = 0; i < 300; i++) {
            harness.open(EngineHarness.PRIMARY_ROUTE).send("slow" + i, new Write("item", "5"));
            runInSteps(INTERVAL_MS);
        }

        assertThat(harness.primary.openConnections.size()).isAtMost(2);
    }

    /** With more proxies than connections, a proxy that keeps an idle connection deprives another of any (large trouble-1). */
    @ParameterizedTest
    @CsvSource({"3, 1", "100000, 0"})
    void idleConnectionsAreLeftToOtherProxiesWhenTheyAreScarce(int proxies, int expectedOpen) {
        harness.loadConfiguration(2, 28, proxies);
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "5"));
        runInSteps(300);

        assertThat(client.lastReply().isSuccess()).isTrue();
        assertThat(harness.primary.openConnections).hasSize(expectedOpen);
    }

    /** A transaction whose client is idle occupies one connection; with a single one, everybody else waited behind it. */
    @Test
    void idleTransactionDoesNotBlockOtherSessionsWhenConnectionsAreScarce() {
        harness.loadConfiguration(2, 28, 94);
        harness.open(EngineHarness.PRIMARY_ROUTE).send("b", new Begin(false)).send("t1", new Write("item", "5"));
        runInSteps(100);
        Client client = harness.open(EngineHarness.PRIMARY_ROUTE).send("w1", new Write("item", "6"));
        runInSteps(100);

        assertThat(client.lastReply().isSuccess()).isTrue();
    }

    private List<Client> sendAtIntervals(int steps) {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            for (int j = 0; j < CONCURRENT_WRITES; j++) {
                clients.add(harness.open(EngineHarness.PRIMARY_ROUTE).send("w" + i + "-" + j, new Write("item", "5")));
            }
            runInSteps(INTERVAL_MS);
        }
        return clients;
    }

    /** Advances the time in steps too small to count as a clock jump or a local pause. */
    private void runInSteps(long durationMs) {
        for (long ms = 0; ms < durationMs; ms += INTERVAL_MS) {
            harness.run(INTERVAL_MS);
        }
    }
}
