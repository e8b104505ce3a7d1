package org.hornbeamspread.control.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.SetDepartures;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ConsensusServiceTest {
    @TempDir
    Path directory;

    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void anAcknowledgedChangeIsThereAfterAllRestart(int size) {
        try (LogCluster cluster = new LogCluster(directory, size, 50)) {
            cluster.startAll();
            String leader = cluster.awaitLeader();
            for (int i = 0; i < 300; i++) {
                propose(cluster, leader, "d" + i);
            }
            LogCluster.await(cluster.log(leader).confirmLeadership());
            for (int i = 1; i <= size; i++) {
                cluster.stop("c" + i);
            }
            cluster.startAll();
            String next = cluster.awaitLeader();
            propose(cluster, next, "last");
            assertThat(cluster.state(next).state().getDepartingDatabaseIdsCount())
                    .isEqualTo(301);
        }
    }

    private static CommandResult propose(LogCluster cluster, String memberId, String databaseId) {
        return LogCluster.await(cluster.log(memberId).propose(departure(databaseId)));
    }

    private static ControlCommand departure(String databaseId) {
        return ControlCommand.newBuilder()
                .setSetDepartures(
                        SetDepartures.newBuilder().addDatabaseIds(databaseId).setDeparting(true))
                .build();
    }
}
