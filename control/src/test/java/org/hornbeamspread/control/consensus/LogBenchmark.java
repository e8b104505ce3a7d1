package org.hornbeamspread.control.consensus;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.SetGroupTerms;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Measures latency and throughput of a log of three members on loopback with real files. Not part of the test run;
 * start it by name:
 * {@code mvn -o -Dfast test -pl control -am -Dtest=LogBenchmark -Dsurefire.failIfNoSpecifiedTests=false}.
 */
final class LogBenchmark {
    private static final long RUN_NS = TimeUnit.SECONDS.toNanos(5);
    private static final long WARM_UP_NS = TimeUnit.SECONDS.toNanos(3);
    private static final int MAX_RECORDS = 200_000;
    private static final int LEADER_LOSSES = 20;
    private static final double NS_PER_MS = 1e6;

    @TempDir
    Path directory;

    @ParameterizedTest
    @ValueSource(ints = {1, 16, 256})
    void proposeToApplied(int inFlight) {
        try (LogCluster cluster = new LogCluster(directory, 3, 5_000)) {
            cluster.startAll();
            ConsensusService log = cluster.log(cluster.awaitLeader());
            propose(log, inFlight, WARM_UP_NS);
            long startNs = System.nanoTime();
            List<Long> latenciesNs = propose(log, inFlight, RUN_NS);
            double seconds = (System.nanoTime() - startNs) / 1e9;
            System.out.printf(
                    "propose to applied, %d in flight: %d records, %.0f records/s, p50 %.2f ms, p99 %.2f ms, max %.2f ms%n",
                    inFlight,
                    latenciesNs.size(),
                    latenciesNs.size() / seconds,
                    percentileMs(latenciesNs, 0.5),
                    percentileMs(latenciesNs, 0.99),
                    percentileMs(latenciesNs, 1));
        }
    }

    /** Measures the time from an unannounced stop of the leader to the first record that the next leader applies. */
    @Test
    void leaderLoss() {
        try (LogCluster cluster = new LogCluster(directory, 3, 5_000)) {
            cluster.startAll();
            List<Long> gapsNs = new ArrayList<>();
            for (int i = 0; i < LEADER_LOSSES; i++) {
                String stoppedLeader = cluster.awaitLeader();
                LogCluster.await(cluster.log(stoppedLeader).propose(command(i)));
                cluster.stop(stoppedLeader);
                long startNs = System.nanoTime();
                String next = cluster.awaitLeader();
                LogCluster.await(cluster.log(next).propose(command(i)));
                gapsNs.add(System.nanoTime() - startNs);
                cluster.start(stoppedLeader);
                cluster.awaitApplied(stoppedLeader, cluster.log(next).appliedIndex());
            }
            System.out.printf(
                    "gap after a leader's loss, %d losses: p50 %.0f ms, max %.0f ms%n",
                    LEADER_LOSSES, percentileMs(gapsNs, 0.5), percentileMs(gapsNs, 1));
        }
    }

    private static List<Long> propose(ConsensusService log, int inFlight, long durationNs) {
        Semaphore available = new Semaphore(inFlight);
        ConcurrentLinkedQueue<Long> latenciesNs = new ConcurrentLinkedQueue<>();
        long startNs = System.nanoTime();
        for (int i = 0; i < MAX_RECORDS && System.nanoTime() - startNs < durationNs; i++) {
            available.acquireUninterruptibly();
            long proposedNs = System.nanoTime();
            log.propose(command(i)).whenComplete((result, failure) -> {
                if (failure == null) {
                    latenciesNs.add(System.nanoTime() - proposedNs);
                }
                available.release();
            });
        }
        available.acquireUninterruptibly(inFlight);
        return new ArrayList<>(latenciesNs);
    }

    private static ControlCommand command(long term) {
        return ControlCommand.newBuilder()
                .setSetGroupTerms(SetGroupTerms.newBuilder()
                        .addGroups(GroupTerm.newBuilder()
                                .setGroup("rental-core-1")
                                .setTerm(term)
                                .setPrimaryId("rental-core-1-bole")))
                .build();
    }

    private static double percentileMs(List<Long> valuesNs, double percentile) {
        List<Long> sorted = new ArrayList<>(valuesNs);
        Collections.sort(sorted);
        int index = (int) Math.ceil(percentile * sorted.size()) - 1;
        return sorted.isEmpty() ? 0 : sorted.get(Math.max(0, index)) / NS_PER_MS;
    }
}
