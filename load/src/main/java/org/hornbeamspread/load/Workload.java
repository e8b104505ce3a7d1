package org.hornbeamspread.load;

import java.util.List;
import java.util.stream.IntStream;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * The workload of one user.
 *
 * @param user the user's short name
 * @param service the called service
 * @param groups the service's groups, in configuration order
 * @param agents the number of agents; each has one session and one routing key
 * @param ranks the ranks, most urgent first: payments, session reads, and nightly requests
 */
record Workload(String user, String service, List<String> groups, int agents, List<RankWorkload> ranks) {
    private static final int AGENTS = 240;
    private static final int URGENT_TARGET_MS = 300;
    private static final int READ_TARGET_MS = 500;
    private static final int NIGHTLY_TARGET_MS = 5_000;
    private static final int URGENT_TIMEOUT_MS = 2_000;
    private static final int READ_TIMEOUT_MS = 2_000;
    private static final int NIGHTLY_TIMEOUT_MS = 6_000;
    private static final int URGENT_MAX_ATTEMPTS = 10;
    private static final int READ_MAX_ATTEMPTS = 3;
    private static final int NIGHTLY_MAX_ATTEMPTS = 4;

    Workload {
        groups = List.copyOf(groups);
        ranks = List.copyOf(ranks);
    }

    /** The workload of entoto or ujaas over a number of groups. Fails with INVALID_SETTING for another user. */
    static Workload of(String user, int groupCount) {
        List<String> groups =
                IntStream.rangeClosed(1, groupCount).mapToObj(i -> "g" + i).toList();
        return switch (user) {
            case "entoto" ->
                new Workload(
                        user,
                        "rental-core",
                        groups,
                        AGENTS,
                        List.of(
                                urgent(45, 500),
                                reads("stock", 120),
                                nightly("ledger", RequestKind.LEDGER_SCAN, 15, 600)));
            case "ujaas" ->
                new Workload(
                        user,
                        "ledger",
                        groups,
                        AGENTS,
                        List.of(
                                urgent(60, 500),
                                reads("balance", 90),
                                nightly("sync", RequestKind.SYNC_WRITE, 10, 400)));
            default ->
                throw new FailureException(FailureType.INVALID_SETTING, "--user must be entoto or ujaas, not " + user);
        };
    }

    private static RankWorkload urgent(double perSecond, double floodPerSecond) {
        return new RankWorkload(
                "urgent",
                RequestKind.PAYMENT,
                perSecond,
                floodPerSecond,
                URGENT_TARGET_MS,
                URGENT_TIMEOUT_MS,
                URGENT_MAX_ATTEMPTS);
    }

    private static RankWorkload reads(String name, double perSecond) {
        return new RankWorkload(
                name, RequestKind.SESSION_READ, perSecond, 0, READ_TARGET_MS, READ_TIMEOUT_MS, READ_MAX_ATTEMPTS);
    }

    private static RankWorkload nightly(String name, RequestKind kind, double perSecond, double floodPerSecond) {
        return new RankWorkload(
                name, kind, perSecond, floodPerSecond, NIGHTLY_TARGET_MS, NIGHTLY_TIMEOUT_MS, NIGHTLY_MAX_ATTEMPTS);
    }

    /** The rank of the payments. */
    RankWorkload urgentRank() {
        return ranks.get(0);
    }

    /** The rank of the session reads. */
    RankWorkload readRank() {
        return ranks.get(1);
    }
}
