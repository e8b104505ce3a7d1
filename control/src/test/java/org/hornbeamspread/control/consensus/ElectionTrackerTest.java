package org.hornbeamspread.control.consensus;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.hornbeamspread.core.consensus.ConsensusEffect;
import org.hornbeamspread.core.consensus.Member;
import org.hornbeamspread.core.consensus.Message;
import org.hornbeamspread.core.consensus.VoteAnswer;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.ManualClock;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.junit.jupiter.api.Test;

/** Issue 35: three members answered NOT_LEADER for good, and their logs did not show who had not answered whom. */
final class ElectionTrackerTest {
    private static final List<Member> MEMBERS =
            List.of(new Member("c1", 11, true), new Member("c2", 12, true), new Member("c3", 13, true));

    private final ManualClock clock = new ManualClock();
    private final RecordedEvents events = new RecordedEvents();
    private final ConsensusMetrics metrics = new ConsensusMetrics(new PrometheusRegistry());
    private final MemberDirectory directory = new MemberDirectory(
            Stream.of("c2", "c3").map(ElectionTrackerTest::member).toList());
    private final PeerConnectionTracker connections = new PeerConnectionTracker(clock, directory, events, metrics);
    private final ElectionTracker elections = new ElectionTracker("c1", clock, events, metrics, connections::describe);

    @Test
    void silentConnectionsShowAsOpenWithOldAnswers() {
        connections.onOpening(member("c2").getPeer()).onOpened();
        connections.onOpening(member("c3").getPeer()).onOpened();
        elections.onLeadership(1, Optional.of("c2"));
        elections.onResponse(new Message.AppendResponse(1, true, 1, 1, "c3", 13));
        advance(70_000);
        elections.onLeadership(1, Optional.empty());
        advance(1_000);
        campaign(2, true);
        advance(1_000);
        assertThat(lastReport())
                .containsAtLeast("leaderless_ms", "2000", "term", "1", "incarnation", "11", "voter", "true");
        assertThat(lastReport().get("peers")).contains("id=c2, incarnation=12, voting=true, answeredMs=never");
        assertThat(lastReport().get("peers")).contains("answeredMs=72000, answeredAs=13, requestedMs=never");
        assertThat(lastReport().get("peers")).contains("connection=open for 72000 ms");
    }

    @Test
    void aMissingVoterAndALostDiskShowAsAFailedConnectionAndAnotherIncarnation() {
        PeerConnectionTracker.Attempt attempt =
                connections.onOpening(member("c2").getPeer());
        attempt.onOpenFailed(new FailureException(FailureType.CONNECTION_REFUSED, "connection timed out"));
        campaign(2, true);
        elections.onResponse(new Message.VoteResponse(1, false, true, "c3", 99));
        advance(1_000);
        assertThat(lastReport().get("peers"))
                .contains("connection=failed for 1000 ms: the connection could not be opened");
        assertThat(lastReport().get("peers"))
                .contains("id=c3, incarnation=13, voting=true, answeredMs=1000, answeredAs=99");
        assertThat(lastReport().get("peers")).contains("lastVote=refused pre-vote, term 1, 1000 ms ago");
    }

    @Test
    void electionsWithoutAMajorityShowRisingTermsAndAnswers() {
        for (long term = 2; term < 5; term++) {
            campaign(term, true);
            elections.onResponse(new Message.VoteResponse(term, true, true, "c3", 13));
            campaign(term, false);
            elections.onResponse(new Message.VoteResponse(term, false, false, "c3", 13));
            advance(1_000);
        }
        elections.onLeadership(5, Optional.of("c3"));
        assertThat(events.of("control_election").stream()
                        .map(line -> line.get("term") + " " + line.get("pre_vote") + " " + line.get("outcome") + " "
                                + line.get("granted") + line.get("refused") + line.get("unanswered")))
                .containsExactly(
                        "2 true won [c3][][c2]",
                        "2 false no majority [][c3][c2]",
                        "3 true won [c3][][c2]",
                        "3 false no majority [][c3][c2]",
                        "4 true won [c3][][c2]",
                        "4 false leader c3 [][c3][c2]");
    }

    /** A member without a leader campaigns, votes and fails to connect several times a second. */
    @Test
    void theLogOfTenMinutesWithoutALeaderIsBounded() {
        int seconds = 600;
        for (int step = 0; step < seconds * 5; step++) {
            campaign(2, true);
            elections.onVoteAnswered(new ConsensusEffect.VoteAnswered("c3", 2, true, VoteAnswer.GRANTED));
            PeerConnectionTracker.Attempt attempt =
                    connections.onOpening(member("c2").getPeer());
            attempt.onOpenFailed(new FailureException(FailureType.CONNECTION_REFUSED, "refused"));
            advance(200);
        }
        // The first report follows a full second without a leader.
        assertThat(events.of("control_leaderless").size()).isEqualTo(seconds - 1);
        // The other three kinds repeat unchanged, which is logged once a minute.
        assertThat(events.size()).isAtMost(seconds + 3 * (seconds / 60 + 1));
        assertThat(events.of("control_vote").get(1)).containsAtLeast("answer", "GRANTED", "repeats", "299");
    }

    /** Each opened connection is a change, so only the bound per second holds. */
    @Test
    void theLogOfAFlappingConnectionIsBounded() {
        int seconds = 60;
        for (int step = 0; step < seconds * 10; step++) {
            PeerConnectionTracker.Attempt attempt =
                    connections.onOpening(member("c2").getPeer());
            attempt.onOpened();
            attempt.onClosed();
            advance(100);
        }
        assertThat(events.of("control_peer_connection").size()).isEqualTo(2 * seconds);
    }

    private void campaign(long term, boolean preVote) {
        Message.VoteRequest request = new Message.VoteRequest(term, "c1", 1, 1, preVote);
        elections.onVoteRequested("c2", request);
        elections.onVoteRequested("c3", request);
    }

    private void advance(long ms) {
        clock.advance(Duration.ofMillis(ms));
        elections.tick(() -> new ElectionTracker.MemberState(1, 11, true, MEMBERS, "synced"));
    }

    private Map<String, String> lastReport() {
        List<Map<String, String>> reports = events.of("control_leaderless");
        return reports.get(reports.size() - 1);
    }

    private static ControlMember member(String id) {
        return ControlMember.newBuilder()
                .setMemberId(id)
                .setPeer(Endpoint.newBuilder()
                        .setHost("10.0.0." + id.substring(1))
                        .setPort(1))
                .build();
    }
}
