package org.hornbeamspread.control.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.protocol.schema.ChangeMembers;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.NoOperation;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A member with a port out of range halted each leader that connected to it, also after a restart of all members. */
final class UnusableMembersTest {
    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(10);

    @TempDir
    Path directory;

    @ParameterizedTest
    @CsvSource({"10.0.0.9, 65536", "10.0.0.9, -1", "10.0.0.9, 0", "'', 5000"})
    void theLogGoesOnWithAMemberThatHasNoUsableEndpoint(String host, int port) {
        try (LogCluster cluster = new LogCluster(directory, 3, 1_000)) {
            cluster.startAll();
            String leader = cluster.awaitLeader();
            assertThat(propose(
                                    cluster,
                                    leader,
                                    ControlCommand.newBuilder().setNoOperation(NoOperation.getDefaultInstance()))
                            .failure())
                    .isEmpty();
            // The leader's first record, the members and the no-operation; no membership change is in progress after
            // them.
            cluster.awaitApplied(leader, 3);
            List<ControlMember> members = new ArrayList<>(cluster.log(leader).members());
            members.add(ControlMember.newBuilder()
                    .setMemberId("c4")
                    .setPeer(Endpoint.newBuilder().setHost(host).setPort(port))
                    .build());
            propose(
                    cluster,
                    leader,
                    ControlCommand.newBuilder()
                            .setChangeMembers(ChangeMembers.newBuilder().addAllMembers(members)));
            assertAcceptsCommands(cluster);

            cluster.runningMembers().forEach(cluster::stop);
            cluster.startAll();
            assertAcceptsCommands(cluster);
        }
    }

    private static void assertAcceptsCommands(LogCluster cluster) {
        ControlCommand.Builder command = ControlCommand.newBuilder().setNoOperation(NoOperation.getDefaultInstance());
        for (int i = 0; i < 20; i++) {
            assertThat(propose(cluster, cluster.awaitLeader(), command).failure())
                    .isEmpty();
            CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(100, TimeUnit.MILLISECONDS))
                    .join();
        }
    }

    private static CommandResult propose(LogCluster cluster, String leader, ControlCommand.Builder command) {
        return cluster.log(leader)
                .propose(command.build())
                .orTimeout(COMMIT_TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .join();
    }
}
