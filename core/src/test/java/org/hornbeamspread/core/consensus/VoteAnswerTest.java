package org.hornbeamspread.core.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.EnumSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The reason that a member gives for its vote. */
final class VoteAnswerTest {
    @ParameterizedTest
    @CsvSource({
        "0, 1, 1000, true, LEADER_ACTIVE",
        "0, 1, 1000, false, LEADER_ACTIVE",
        "500, 0, 1000, true, OUTDATED_TERM",
        "500, -1, 1000, false, OUTDATED_TERM",
        "500, 0, 1000, false, ALREADY_VOTED",
        "500, 1, 0, true, LOG_BEHIND",
        "500, 1, 0, false, LOG_BEHIND",
        "500, 1, 1000, true, GRANTED",
        "500, 1, 1000, false, GRANTED",
    })
    void aVoteRequestIsAnsweredWithItsReason(
            long silentMs, long termsAhead, long lastIndex, boolean preVote, VoteAnswer expected) {
        LogHarness harness = new LogHarness(3, 7, EnumSet.allOf(ConsensusRule.class)).awaitBootstrap();
        String leader = harness.leader().orElseThrow().id;
        ConsensusNode voter = harness.hosts.values().stream()
                .filter(host -> !host.id.equals(leader))
                .findFirst()
                .orElseThrow()
                .node;
        harness.clock.advance(Duration.ofMillis(silentMs));
        long term = voter.term() + termsAhead;
        voter.step(new ConsensusEvent.Received(
                new Message.VoteRequest(term, "c9", lastIndex, lastIndex == 0 ? 0 : term, preVote), 1));
        assertThat(voter.drain()).contains(new ConsensusEffect.VoteAnswered("c9", term, preVote, expected));
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aMemberWithoutMembershipMayNotVote(boolean preVote) {
        LogHarness harness = new LogHarness(3, 7, EnumSet.allOf(ConsensusRule.class));
        ConsensusNode voter = harness.hosts.values().iterator().next().node;
        voter.step(new ConsensusEvent.Received(new Message.VoteRequest(1, "c9", 1, 1, preVote), 1));
        assertThat(voter.drain())
                .contains(new ConsensusEffect.VoteAnswered("c9", 1, preVote, VoteAnswer.NOT_ALLOWED_TO_VOTE));
    }
}
