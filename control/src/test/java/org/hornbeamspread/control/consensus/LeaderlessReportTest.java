package org.hornbeamspread.control.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Issue 35: a member whose peers accept its connections and answer nothing must say so in its log. */
final class LeaderlessReportTest {
    @TempDir
    Path directory;

    @Test
    void aMemberWithSilentPeersReportsOpenConnectionsAndUnansweredRequests() {
        try (LogCluster cluster = new LogCluster(directory, 3, 50)) {
            cluster.startAll();
            String leader = cluster.awaitLeader();
            RecordedEvents events = cluster.events(leader);
            CompletableFuture<Map<String, String>> report =
                    events.next(line -> line.get("event").equals("control_leaderless"));
            CompletableFuture<Map<String, String>> election =
                    events.next(line -> line.get("event").equals("control_election"));
            cluster.initialMemberIds().stream().filter(id -> !id.equals(leader)).forEach(cluster::stop);
            assertThat(LogCluster.await(report).get("peers"))
                    .containsMatch("answeredMs=[0-9]{4,},.*connection=open for [0-9]{4,} ms");
            assertThat(LogCluster.await(election))
                    .containsAtLeast("outcome", "no majority", "granted", "[]", "refused", "[]");
        }
    }
}
