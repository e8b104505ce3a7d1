package org.hornbeamspread.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** With 94 proxies and 72 connections, a quarter of the proxies had none and refused 8 to 15 % of all requests. */
final class ConnectionShareTest {
    @ParameterizedTest
    @CsvSource({
        "69, 94, 2",
        "31, 8, 3",
        "25, 6, 4",
        "13, 7, 2",
        "43, 75, 2",
        "69, 1000, 2",
        "1, 6, 1",
        "0, 6, 1",
        "69, 0, 69"
    })
    void limitIsTheFairShareOrTwo(int connections, int proxies, int expectedLimit) {
        assertThat(share(connections, proxies, 0, 0).limit()).isEqualTo(expectedLimit);
    }

    /** Every proxy keeps a connection to every database as long as this takes no more than 60 % of the connections. */
    @ParameterizedTest
    @CsvSource({"31, 8", "25, 6", "13, 7", "121, 60"})
    void fewProxiesAllRetainAConnection(int connections, int proxies) {
        for (int proxy = 0; proxy < proxies; proxy++) {
            assertThat(share(connections, proxies, proxy, 0).retainsIdle()).isTrue();
        }
    }

    /** The connections that are kept while idle leave room for the proxies without one, at any number of proxies. */
    @ParameterizedTest
    @CsvSource({"69, 94", "43, 75", "55, 90", "69, 300", "69, 1000", "69, 7500"})
    void retainedConnectionsLeaveRoom(int connections, int proxies) {
        for (int database = 0; database < 42; database++) {
            int databaseIndex = database;
            long retained = IntStream.range(0, proxies)
                    .filter(proxy ->
                            share(connections, proxies, proxy, databaseIndex).retainsIdle())
                    .count();
            assertThat(retained).isAtMost((long) (0.9 * connections));
            assertThat(retained).isAtLeast((long) (0.3 * connections));
        }
    }

    /**
     * The load of one primary of 14 services behind 94 proxies, with bursts of 2.6 times the usual rate. The reference rule
     * gives each proxy one connection, which it keeps.
     */
    @ParameterizedTest
    @CsvSource({"94, 69, 42, 0.01", "94, 69, 109, 0.01", "75, 43, 42, 0.01", "300, 69, 42, 0.01", "1000, 69, 42, 0.01"})
    void noProxyIsStarved(int proxies, int connections, int requestsPerSecond, double maxRefusedFraction) {
        ConnectionLoad load = new ConnectionLoad(proxies, connections, requestsPerSecond);
        double refusedFraction = load.refusedFraction(new Random(1), proxy -> share(connections, proxies, proxy, 0));
        double referenceFraction = load.refusedFraction(new Random(1), proxy -> new ConnectionShare(1, true, 1_500));

        assertThat(refusedFraction).isAtMost(maxRefusedFraction);
        assertThat(refusedFraction).isLessThan(referenceFraction / 10);
    }

    private static ConnectionShare share(int connections, int proxies, int proxy, int database) {
        return ConnectionShare.of(connections, proxies, "frontend-zone-" + proxy, "i-" + (0x6643e44143L + database));
    }
}
