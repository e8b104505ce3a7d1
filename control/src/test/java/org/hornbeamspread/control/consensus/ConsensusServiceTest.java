package org.hornbeamspread.control.consensus;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.storage.WriteInterceptor;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ChangeMembers;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.RouteConfigurationDocument;
import org.hornbeamspread.protocol.schema.SetDepartures;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ConsensusServiceTest {
    @TempDir
    Path directory;

    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void acknowledgedChangesSurviveARestartOfAllMembers(int size) {
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

    /**
     * The log was bounded by 1,000 records. After hundreds of changes of a grown configuration no member had the heap to read its log
     * at a restart, and later not to hold it (review case 3). A member that was down meanwhile must catch up as well.
     */
    @Test
    void aLogOfLargeRecordsStaysWithinItsBudget() throws IOException {
        long budgetBytes = 256 << 10;
        int recordBytes = 40_000;
        int changes = 300;
        try (LogCluster cluster = new LogCluster(directory, 3, 1_000, budgetBytes)) {
            cluster.startAll();
            String leader = cluster.awaitLeader();
            String absent = leader.equals("c1") ? "c2" : "c1";
            cluster.stop(absent);
            for (int version = 1; version <= changes; version++) {
                proposeRoutes(cluster, leader, version, recordBytes);
            }
            long committed = cluster.log(leader).appliedIndex();
            cluster.start(absent);
            cluster.awaitApplied(absent, committed);
            assertThat(cluster.state(absent).state().getRoutes().getVersion()).isEqualTo(changes);
            for (int i = 1; i <= 3; i++) {
                cluster.stop("c" + i);
                // Applied and uncommitted records, retained ones, and one record beyond each limit.
                assertThat(Files.size(cluster.directory("c" + i).resolve("log")))
                        .isAtMost(budgetBytes * 9 / 4 + 3L * (recordBytes + 1_000));
            }
            cluster.startAll();
            String next = cluster.awaitLeader();
            LogCluster.await(cluster.log(next).confirmLeadership());
            assertThat(cluster.state(next).state().getRoutes().getVersion()).isEqualTo(changes);
        }
    }

    private static void proposeRoutes(LogCluster cluster, String leader, int version, int sourceBytes) {
        LogCluster.await(cluster.log(leader)
                .propose(ControlCommand.newBuilder()
                        .setReplaceRoutes(RouteConfigurationDocument.newBuilder()
                                .setVersion(version)
                                .setSource(ByteString.copyFrom(new byte[sourceBytes])))
                        .build()));
    }

    @Test
    void aMemberWithALostDiskIsReadmittedAndCountsTowardTheQuorum() throws IOException {
        try (LogCluster cluster = new LogCluster(directory, 3, 50)) {
            cluster.startAll();
            String leader = cluster.awaitLeader();
            for (int i = 0; i < 400; i++) {
                propose(cluster, leader, "d" + i);
            }
            String wipedMember = leader.equals("c3") ? "c2" : "c3";
            long before = incarnation(cluster, leader, wipedMember);
            cluster.stop(wipedMember);
            cluster.deleteDisk(wipedMember);
            cluster.start(wipedMember);
            LogCluster.await(cluster.membersMatching(
                    leader,
                    members -> members.stream()
                            .anyMatch(member -> member.getMemberId().equals(wipedMember)
                                    && member.getVoting()
                                    && member.getIncarnation() != before)));
            String other = leader.equals("c1") ? "c2" : "c1";
            cluster.stop(other.equals(wipedMember) ? "c1" : other);
            propose(cluster, cluster.awaitLeader(), "last");
            cluster.awaitApplied(wipedMember, cluster.log(leader).appliedIndex());
            assertThat(cluster.state(wipedMember).state().getDepartingDatabaseIdsCount())
                    .isEqualTo(401);
        }
    }

    @Test
    void aRetryAtTheNextLeaderReturnsTheFirstOutcome() {
        try (LogCluster cluster = new LogCluster(directory, 3, 50)) {
            cluster.startAll();
            String leader = cluster.awaitLeader();
            ControlCommand change =
                    departure("d1").toBuilder().setRequestId("operator-1").build();
            assertThat(LogCluster.await(cluster.log(leader).propose(change)).replayed())
                    .isFalse();
            cluster.stop(leader);
            String next = cluster.awaitLeader();
            assertThat(LogCluster.await(cluster.log(next).propose(change)).replayed())
                    .isTrue();
            ControlCommand other =
                    departure("d2").toBuilder().setRequestId("operator-1").build();
            assertThat(LogCluster.await(cluster.log(next).propose(other))
                            .failure()
                            .map(FailureException::type))
                    .isEqualTo(Optional.of(FailureType.REQUEST_ID_REUSED));
        }
    }

    @Test
    void aReplacementMemberTakesOverFromAStoppedMember() {
        try (LogCluster cluster = new LogCluster(directory, 3, 50)) {
            cluster.startAll();
            String leader = cluster.awaitLeader();
            propose(cluster, leader, "before");
            // Records 1 to 3 are the leader's first record, the members and "before", in any order; after them no
            // membership change is in progress.
            cluster.awaitApplied(leader, 3);
            String stoppedMember = leader.equals("c3") ? "c2" : "c3";
            cluster.stop(stoppedMember);
            ControlMember added = cluster.listen("c4");
            List<ControlMember> wanted = new ArrayList<>(cluster.log(leader).members());
            wanted.removeIf(member -> member.getMemberId().equals(stoppedMember));
            wanted.add(added);
            cluster.start("c4", wanted, WriteInterceptor.NONE);
            ControlCommand change = ControlCommand.newBuilder()
                    .setChangeMembers(ChangeMembers.newBuilder().addAllMembers(wanted))
                    .build();
            LogCluster.await(cluster.log(leader).propose(change));
            LogCluster.await(cluster.membersMatching(
                    leader,
                    members -> members.stream()
                            .anyMatch(member -> member.getMemberId().equals("c4") && member.getVoting())));
            cluster.stop(leader);
            propose(cluster, cluster.awaitLeader(), "after");
            cluster.awaitApplied("c4", 3);
            assertThat(cluster.state("c4").state().getDepartingDatabaseIdsList())
                    .contains("before");
        }
    }

    @Test
    void proposalsFailWhileTheDiskIsFullAndSucceedAfterwards() {
        AtomicBoolean full = new AtomicBoolean();
        try (LogCluster cluster = new LogCluster(directory, 1, 50)) {
            cluster.start("c1", bytes -> {
                if (full.get()) {
                    throw new IOException("No space left on device");
                }
            });
            cluster.awaitLeader();
            propose(cluster, "c1", "before");
            // Otherwise one of the leader's own records, its first record and the members, would be written to the full
            // disk.
            cluster.awaitApplied("c1", 3);
            full.set(true);
            assertThat(proposalFailure(cluster, "unsure")).isEqualTo(FailureType.LEADERSHIP_LOST);
            assertThat(proposalFailure(cluster, "refused")).isEqualTo(FailureType.DISK_FULL);
            full.set(false);
            cluster.awaitLeader();
            propose(cluster, "c1", "after");
            assertThat(cluster.state("c1").state().getDepartingDatabaseIdsList())
                    .containsExactly("before", "unsure", "after");
        }
    }

    private static FailureType proposalFailure(LogCluster cluster, String databaseId) {
        CompletionException failure = assertThrows(CompletionException.class, () -> propose(cluster, "c1", databaseId));
        return FailureException.of(failure).type();
    }

    private static long incarnation(LogCluster cluster, String leader, String memberId) {
        return LogCluster.await(cluster.membersMatching(leader, members -> members.size() == 3)).stream()
                .filter(member -> member.getMemberId().equals(memberId))
                .findFirst()
                .orElseThrow()
                .getIncarnation();
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
