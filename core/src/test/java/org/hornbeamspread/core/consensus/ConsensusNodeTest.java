package org.hornbeamspread.core.consensus;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamspread.core.misc.FailureType;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** One fault a case, each with the rule that answers it in force and left out. */
final class ConsensusNodeTest {
    private static final Duration LONG = Duration.ofSeconds(2);

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aMemberThatReturnsDisturbsNoLeaderBecauseOfPreVote(boolean inForce) {
        LogHarness harness = harness(3, ConsensusRule.PRE_VOTE, inForce);
        String leader = harness.leader().orElseThrow().id;
        long term = harness.host(leader).node.term();
        harness.cutOff.add(others(harness, leader).get(0));
        harness.runFor(LONG);
        harness.healAll();
        harness.runFor(LONG);
        assertThat(harness.host(leader).node.term() == term).isEqualTo(inForce);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anIsolatedLeaderStepsDownBecauseOfCheckQuorum(boolean inForce) {
        LogHarness harness = harness(3, ConsensusRule.CHECK_QUORUM, inForce);
        String leader = harness.leader().orElseThrow().id;
        harness.cutOff.add(leader);
        harness.runFor(LONG);
        assertThat(harness.host(leader).leads).isEqualTo(!inForce);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anOldRecordWithCopiesIsNotCommittedByThem(boolean inForce) {
        LogHarness harness = harness(3, ConsensusRule.COMMIT_OWN_TERM_ONLY, inForce);
        String first = harness.leader().orElseThrow().id;
        harness.runFor(LONG);
        harness.network.clear();
        harness.host(first).propose(Optional.empty());
        stopAlone(harness, first);
        harness.settleUntil(() -> leadsOf(harness, others(harness, first)).isPresent());
        String second = leadsOf(harness, others(harness, first)).orElseThrow();
        stopAlone(harness, second);
        String third = others(harness, first).stream()
                .filter(id -> !id.equals(second))
                .findFirst()
                .orElseThrow();
        harness.host(first).start();
        long old = harness.host(first).node.lastIndex();
        harness.settleUntil(() -> harness.host(third).node.lastIndex() == old
                && harness.host(first).node.matchIndex(third) == old);
        stopAlone(harness, first);
        harness.host(second).start();
        Runnable rest = () -> harness.settleUntil(() -> harness.host(second).ready);
        if (inForce) {
            rest.run();
        } else {
            assertThrows(RuntimeException.class, rest::run);
        }
    }

    /** All members lose power: a leader is back within three heartbeats. */
    @Test
    void membersThatStartTogetherElectSoon() {
        long totalMs = 0;
        for (long seed = 1; seed <= 50; seed++) {
            LogHarness harness = new LogHarness(3, seed, EnumSet.allOf(ConsensusRule.class)).formed();
            harness.runFor(LONG);
            harness.hosts.values().forEach(LogHarness.Host::crash);
            harness.network.clear();
            harness.runFor(LONG);
            harness.healAll();
            long startMs = harness.clock.millis();
            harness.settleUntil(() -> harness.leader().isPresent());
            totalMs += harness.clock.millis() - startMs;
        }
        assertThat(totalMs / 50).isAtMost(3 * LogHarness.HEARTBEAT_MS);
    }

    /** Repeated losses, each as soon as the log names the repaired member. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void aSecondLossRightAfterARepairLosesNothing(long seed) {
        LogHarness harness = new LogHarness(3, seed, EnumSet.allOf(ConsensusRule.class)).formed();
        for (int loss = 0; loss < 6; loss++) {
            harness.leader().orElseThrow().propose(Optional.empty());
            harness.host("c" + (1 + harness.random.nextInt(3))).loseDisk();
            harness.healAll();
            harness.settleUntil(() -> harness.isWhole() && harness.leader().isPresent());
        }
        assertThat(harness.checker.lastCommitted()).isAtLeast(12);
    }

    @Test
    void aMemberWithALostDiskHelpsNobodyToBeElectedUntilReadmitted() {
        LogHarness harness = harness(3, ConsensusRule.PRE_VOTE, true);
        String leader = harness.leader().orElseThrow().id;
        String lost = others(harness, leader).get(0);
        harness.host(lost).loseDisk();
        harness.host(leader).crash();
        harness.host(lost).start();
        harness.runFor(LONG);
        assertThat(harness.leader()).isEqualTo(Optional.empty());
        harness.healAll();
        harness.settleUntil(harness::isWhole);
    }

    @Test
    void aFollowerBehindTheLogsBeginningTakesASnapshot() {
        LogHarness harness = harness(3, ConsensusRule.PRE_VOTE, true);
        LogHarness.Host leader = harness.leader().orElseThrow();
        LogHarness.Host behind = harness.host(others(harness, leader.id).get(0));
        behind.crash();
        for (int i = 0; i < 40; i++) {
            leader.propose(Optional.empty());
            harness.runFairly();
        }
        harness.settleUntil(() -> leader.applied == leader.node.lastIndex());
        leader.snapshot();
        harness.healAll();
        harness.settleUntil(() -> behind.applied == leader.applied);
        assertThat(behind.disk.stored().snapshot().lastIndex()).isGreaterThan(0);
    }

    @Test
    void aLeaderWhoseDiskIsFullStepsDownAndRefusesNotRun() {
        LogHarness harness = harness(3, ConsensusRule.PRE_VOTE, true);
        LogHarness.Host leader = harness.leader().orElseThrow();
        leader.node.step(new ConsensusEvent.StorageStalled(FailureType.DISK_FULL));
        leader.node.step(new ConsensusEvent.Proposal(7, Payload.EMPTY, Optional.empty()));
        assertThat(leader.node.drain()).contains(new ConsensusEffect.ProposalRefused(7, FailureType.DISK_FULL));
        harness.settleUntil(() -> leadsOf(harness, others(harness, leader.id)).isPresent());
    }

    @Test
    void aMembershipChangeWaitsForTheOneBefore() {
        LogHarness harness = harness(5, ConsensusRule.PRE_VOTE, true);
        LogHarness.Host leader = harness.leader().orElseThrow();
        harness.settleUntil(() -> leader.applied == leader.node.lastIndex());
        Membership members = leader.node.membership();
        List<String> others = others(harness, leader.id);
        long first = leader.propose(Optional.of(without(members, others.get(0))));
        long second = leader.propose(Optional.of(without(leader.node.membership(), others.get(1))));
        long both = leader.propose(Optional.of(without(without(members, others.get(0)), others.get(1))));
        assertThat(leader.refused).containsExactly(second, both);
        assertThat(leader.refused).doesNotContain(first);
    }

    @Test
    void aReplacementVotesOnceItHasCaughtUp() {
        LogHarness harness = harness(3, ConsensusRule.PRE_VOTE, true);
        LogHarness.Host leader = harness.leader().orElseThrow();
        harness.settleUntil(() -> leader.applied == leader.node.lastIndex());
        String gone = others(harness, leader.id).get(0);
        harness.host(gone).loseDisk();
        LogHarness.Host added = harness.addHost("c4");
        leader.propose(Optional.of(without(leader.node.membership(), gone).with(new Member("c4", 0, false))));
        harness.settleUntil(
                () -> harness.checker.committedMembership().orElseThrow().isVoter("c4", added.disk.incarnation()));
        leader.crash();
        harness.settleUntil(() -> harness.leader().isPresent());
        assertThat(harness.leader().orElseThrow().node.membership().find(gone)).isEqualTo(Optional.empty());
    }

    /** It may have answered a leader just before it stopped, and that leader counts on no other for a while. */
    @Test
    void aRestartedMemberVotesOnlyAfterAnElectionTimeout() {
        LogHarness harness = harness(3, ConsensusRule.PRE_VOTE, true);
        LogHarness.Host voter =
                harness.host(others(harness, harness.leader().orElseThrow().id).get(0));
        voter.crash();
        voter.start();
        assertThat(grantsVote(voter)).isFalse();
        harness.clock.advance(Duration.ofMillis(LogHarness.ELECTION_TIMEOUT_MS));
        assertThat(grantsVote(voter)).isTrue();
    }

    private static boolean grantsVote(LogHarness.Host voter) {
        long term = voter.node.term() + 1;
        voter.node.step(new ConsensusEvent.Received(new Message.VoteRequest(term, "c9", 1_000, term, true), 1));
        return voter.node.drain().stream()
                .anyMatch(effect -> effect instanceof ConsensusEffect.Reply reply
                        && reply.message() instanceof Message.VoteResponse response
                        && response.granted());
    }

    private static LogHarness harness(int members, ConsensusRule rule, boolean inForce) {
        Set<ConsensusRule> rules =
                inForce ? EnumSet.allOf(ConsensusRule.class) : EnumSet.complementOf(EnumSet.of(rule));
        return new LogHarness(members, 7, rules).formed();
    }

    private static List<String> others(LogHarness harness, String id) {
        return harness.hosts.keySet().stream()
                .filter(other -> !other.equals(id))
                .toList();
    }

    private static Optional<String> leadsOf(LogHarness harness, List<String> ids) {
        return ids.stream().filter(id -> harness.host(id).leads).findFirst();
    }

    /** Lets a member sync what it has, loses its messages, and stops it. */
    private static void stopAlone(LogHarness harness, String id) {
        LogHarness.Host host = harness.host(id);
        host.sync(host.unsynced.size());
        harness.network.clear();
        host.crash();
    }

    private static Membership without(Membership members, String id) {
        return new Membership(members.members().stream()
                .filter(member -> !member.memberId().equals(id))
                .toList());
    }
}
