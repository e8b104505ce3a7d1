package org.hornbeamspread.proxy;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.IntConsumer;
import org.hornbeamspread.core.acknowledgement.LogStatusReport;
import org.hornbeamspread.core.acknowledgement.QuorumTracker;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.routing.GroupRouting;
import org.hornbeamspread.core.routing.Proximity;
import org.hornbeamspread.core.routing.ReadCandidate;
import org.hornbeamspread.core.routing.ReadRouter;
import org.hornbeamspread.core.routing.ReplicaStaleness;
import org.hornbeamspread.core.session.SessionToken;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.ViewLease;

/**
 * Measures the CPU time of the decisions made for every statement, for increasing numbers of groups. Run {@link #main};
 * a run takes about a minute and prints a table.
 */
public final class HotPathBenchmark {
    private static final int[] GROUP_COUNTS = {10, 100, 1_000, 5_000};
    private static final int REPETITIONS = 5;
    private static final Duration WARM_UP_TIME = Duration.ofMillis(300);
    private static final Duration MEASUREMENT_TIME = Duration.ofMillis(200);
    private static final int OPERATIONS_PER_BATCH = 100;
    private static final Set<String> MEMBERS = Set.of("a", "b", "c");
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** Consumes the results, so that the JIT compiler can't eliminate the measured code. */
    private static volatile Object sink;

    private HotPathBenchmark() {}

    /** Runs all benchmarks and prints the table. */
    public static void main(String[] arguments) {
        System.out.println("| decision | groups | microseconds of CPU, median | lowest | highest |");
        System.out.println("|---|---|---|---|---|");
        for (int groups : new int[] {1, 8, 32}) {
            SessionToken token = token(groups);
            String text = token.encode();
            report("token decode, " + text.length() + " characters", groups, i -> sink = SessionToken.decode(text));
            report(
                    "token after a write, encoded",
                    groups,
                    i -> sink = token.withWrite("group-0", new LogPosition(3, 1_000_000L + i))
                            .encode());
        }
        for (int groups : GROUP_COUNTS) {
            List<String> names = groupNames(groups);
            report("group of a routing key", groups, i -> sink = GroupRouting.groupOf(names, "club-" + i));
            benchmarkRouting(groups);
            benchmarkQuorum(groups);
            benchmarkViewDelta(groups);
        }
    }

    private static void benchmarkRouting(int groups) {
        ReadRouter router = new ReadRouter(Duration.ofMillis(20), Duration.ofMillis(16));
        Instant now = Instant.EPOCH.plusSeconds(100);
        List<ReplicaStaleness> stalenessByGroup = new ArrayList<>();
        for (int i = 0; i < groups; i++) {
            ReplicaStaleness staleness = new ReplicaStaleness(128);
            for (int sample = 0; sample < 128; sample++) {
                staleness.addSample(now.minusMillis(12_800 - 100L * sample), new LogPosition(1, sample));
            }
            stalenessByGroup.add(staleness);
        }
        report("read: ages, candidates, decision", groups, i -> {
            ReplicaStaleness staleness = stalenessByGroup.get(i % groups);
            sink = router.decide(
                    List.of(
                            candidate("a", true, new LogPosition(1, 127), staleness, now),
                            candidate("b", false, new LogPosition(1, 120), staleness, now),
                            candidate("c", false, new LogPosition(1, 126), staleness, now)),
                    new LogPosition(1, 125),
                    Duration.ofSeconds(2),
                    true);
        });
    }

    private static ReadCandidate candidate(
            String id, boolean primary, LogPosition applied, ReplicaStaleness staleness, Instant now) {
        return new ReadCandidate(
                id,
                primary,
                true,
                Proximity.SAME_REGION,
                applied,
                staleness.upperBound(applied, now),
                java.util.Optional.of(Duration.ofMillis(2)),
                0);
    }

    private static void benchmarkQuorum(int groups) {
        List<QuorumTracker> trackers = new ArrayList<>();
        long[] index = new long[groups];
        for (int i = 0; i < groups; i++) {
            QuorumTracker tracker = new QuorumTracker();
            tracker.updateView(1, MEMBERS, 3);
            tracker.onReport(new LogStatusReport("a", 1, 1, 1, true, new LogPosition(1, 1)));
            trackers.add(tracker);
        }
        report("write: wait, three reports, acknowledged", groups, i -> {
            int group = i % groups;
            LogPosition position = new LogPosition(1, ++index[group] + 1);
            QuorumTracker tracker = trackers.get(group);
            sink = tracker.awaitQuorum(1, position, "a");
            tracker.onReport(new LogStatusReport("a", 1, 1, 1, true, position));
            tracker.onReport(new LogStatusReport("b", 1, 1, 1, true, position));
            tracker.onReport(new LogStatusReport("c", 1, 1, 1, true, position));
        });
    }

    private static void benchmarkViewDelta(int groups) {
        ViewLease.Builder full = TestViews.lease(1, TestViews.group(1, true, databases("x")), List.of()).toBuilder();
        for (String name : groupNames(groups)) {
            full.addGroups(TestViews.group(1, true, databases(name)).toBuilder().setGroup(name));
        }
        ViewSnapshot snapshot = ViewSnapshot.NONE.apply(full.build());
        ViewLease delta = ViewLease.newBuilder()
                .setLeaderTerm(1)
                .setViewVersion(2)
                .addGroups(TestViews.group(2, true, databases("group-0")).toBuilder()
                        .setGroup("group-0"))
                .build();
        report("view: change of one group", groups, i -> sink = snapshot.apply(delta));
    }

    private static List<DatabaseEntry> databases(String prefix) {
        return MEMBERS.stream()
                .map(id -> TestViews.database(id, Endpoint.getDefaultInstance(), "p1", 1).toBuilder()
                        .setDatabaseId(prefix + "-" + id)
                        .build())
                .toList();
    }

    private static SessionToken token(int groups) {
        SessionToken token = SessionToken.EMPTY;
        for (int i = 0; i < groups; i++) {
            token = token.withWrite("group-" + i, new LogPosition(3, 1_000_000L + i))
                    .withRead("group-" + i, new LogPosition(3, 1_000_100L + i));
        }
        return token;
    }

    private static List<String> groupNames(int groups) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < groups; i++) {
            names.add("group-" + i);
        }
        return names;
    }

    private static void report(String decision, int groups, IntConsumer operation) {
        measure(operation, WARM_UP_TIME);
        double[] micros = new double[REPETITIONS];
        for (int i = 0; i < REPETITIONS; i++) {
            micros[i] = measure(operation, MEASUREMENT_TIME);
        }
        java.util.Arrays.sort(micros);
        System.out.printf(
                "| %s | %d | %.2f | %.2f | %.2f |%n",
                decision, groups, micros[REPETITIONS / 2], micros[0], micros[REPETITIONS - 1]);
    }

    /** CPU time of this thread per operation, in microseconds. */
    private static double measure(IntConsumer operation, Duration duration) {
        long endNs = System.nanoTime() + duration.toNanos();
        long startCpuNs = THREADS.getCurrentThreadCpuTime();
        int operations = 0;
        while (System.nanoTime() < endNs) {
            for (int i = 0; i < OPERATIONS_PER_BATCH; i++) {
                operation.accept(operations + i);
            }
            operations += OPERATIONS_PER_BATCH;
        }
        return (THREADS.getCurrentThreadCpuTime() - startCpuNs) / 1_000.0 / operations;
    }
}
