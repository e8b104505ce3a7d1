package org.hornbeamspread.control.consensus;

import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.hornbeamspread.core.consensus.ConsensusEffect;
import org.hornbeamspread.core.consensus.ConsensusNode;
import org.hornbeamspread.core.consensus.Member;
import org.hornbeamspread.core.consensus.Membership;
import org.hornbeamspread.core.consensus.Message;
import org.hornbeamspread.core.misc.EventLog;

/**
 * Logs the elections that a member takes part in and, while it has no leader, what it last received from each voter.
 * Takes no part in the decisions of the consensus node. Used by the consensus thread.
 */
final class ElectionTracker {
    /** The interval of the reports of a member without a leader, and of the gauges. */
    private static final long REPORT_INTERVAL_MS = 1_000;

    private static final String NEVER = "never";

    private final String selfId;
    private final Clock clock;
    private final EventLog events;
    private final ConsensusMetrics metrics;
    private final UnaryOperator<String> describeConnection;
    private final RepeatFilter repeatFilter;
    private final Map<String, Contact> contacts = new TreeMap<>();
    private Optional<Campaign> campaign = Optional.empty();
    private OptionalLong leaderlessSinceMs;
    private long nextTickMs;

    ElectionTracker(
            String selfId,
            Clock clock,
            EventLog events,
            ConsensusMetrics metrics,
            UnaryOperator<String> describeConnection) {
        this.selfId = selfId;
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
        this.describeConnection = describeConnection;
        this.repeatFilter = new RepeatFilter(clock);
        this.leaderlessSinceMs = OptionalLong.of(clock.millis());
    }

    /**
     * The state of this member that decides whether it can be elected.
     *
     * @param term the current term
     * @param incarnation this member's incarnation
     * @param isVoter whether the membership counts this incarnation
     * @param members the members of the log
     * @param storage whether writes are synced; see {@link StorageTracker}
     */
    record MemberState(long term, long incarnation, boolean isVoter, List<Member> members, String storage) {
        /** Copies the list. */
        MemberState {
            members = List.copyOf(members);
        }

        /** The state of a node; the members of the settings before the log is bootstrapped. */
        static MemberState of(ConsensusNode node, ConsensusSettings settings, StorageTracker storage) {
            Membership membership = node.membership();
            List<Member> members = membership.members().isEmpty()
                    ? settings.members().stream()
                            .map(member -> new Member(member.getMemberId(), 0, false))
                            .toList()
                    : membership.members();
            boolean isVoter = membership.isVoter(settings.memberId(), node.incarnation());
            return new MemberState(node.term(), node.incarnation(), isVoter, members, storage.describe());
        }
    }

    void onRequest(Message request) {
        long nowMs = clock.millis();
        if (request instanceof Message.VoteRequest vote) {
            contact(vote.candidateId()).requestedAtMs = OptionalLong.of(nowMs);
        } else if (request instanceof Message.AppendRequest append) {
            contact(append.leaderId()).requestedAtMs = OptionalLong.of(nowMs);
        } else if (request instanceof Message.SnapshotRequest snapshot) {
            contact(snapshot.leaderId()).requestedAtMs = OptionalLong.of(nowMs);
        } else if (request instanceof Message.IntroduceRequest introduce) {
            contact(introduce.memberId()).requestedAtMs = OptionalLong.of(nowMs);
        }
    }

    void onResponse(Message response) {
        if (response instanceof Message.VoteResponse vote) {
            onAnswer(vote.voterId(), vote.incarnation());
            contact(vote.voterId()).lastVote = Optional.of(vote);
            contact(vote.voterId()).votedAtMs = clock.millis();
            campaign.ifPresent(current -> current.onAnswer(vote));
        } else if (response instanceof Message.AppendResponse append) {
            onAnswer(append.memberId(), append.incarnation());
        } else if (response instanceof Message.SnapshotResponse snapshot) {
            onAnswer(snapshot.memberId(), snapshot.incarnation());
        } else if (response instanceof Message.IntroduceResponse introduce) {
            onAnswer(introduce.memberId(), introduce.incarnation());
        }
    }

    /** A campaign sends one request to each other voter, so a second request to one of them starts the next campaign. */
    void onVoteRequested(String toMemberId, Message.VoteRequest request) {
        boolean isNext = campaign.filter(current -> current.covers(request) && !current.isAsked(toMemberId))
                .isEmpty();
        if (isNext) {
            boolean wonPreVote =
                    campaign.filter(current -> current.isPreVoteOf(request)).isPresent();
            endCampaign(wonPreVote ? "won" : "no majority");
            campaign = Optional.of(new Campaign(request, clock.millis()));
        }
        campaign.get().onAsked(toMemberId);
    }

    void onVoteAnswered(ConsensusEffect.VoteAnswered vote) {
        String key = "vote " + vote.candidateId() + ' ' + vote.preVote();
        OptionalLong dropped = repeatFilter.admit(key, vote);
        if (dropped.isPresent()) {
            events.record(
                    "control_vote",
                    "candidate",
                    vote.candidateId(),
                    "term",
                    vote.term(),
                    "pre_vote",
                    vote.preVote(),
                    "answer",
                    vote.answer(),
                    "repeats",
                    dropped.getAsLong());
        }
    }

    void onLeadership(long term, Optional<String> leaderId) {
        if (leaderId.isPresent()) {
            endCampaign(leaderId.get().equals(selfId) ? "won" : "leader " + leaderId.get());
            leaderlessSinceMs = OptionalLong.empty();
            return;
        }
        if (campaign.filter(current -> current.term() < term).isPresent()) {
            endCampaign("term " + term + " began");
        }
        if (leaderlessSinceMs.isEmpty()) {
            leaderlessSinceMs = OptionalLong.of(clock.millis());
        }
    }

    /** Updates the gauges and reports a missing leader, once per interval. */
    void tick(Supplier<MemberState> state) {
        long nowMs = clock.millis();
        if (nowMs < nextTickMs) {
            return;
        }
        nextTickMs = nowMs + REPORT_INTERVAL_MS;
        long leaderlessMs = nowMs - leaderlessSinceMs.orElse(nowMs);
        metrics.onLeaderless(leaderlessMs);
        contacts.forEach((memberId, contact) ->
                contact.answeredAtMs.ifPresent(atMs -> metrics.onSilence(memberId, nowMs - atMs)));
        if (leaderlessMs >= REPORT_INTERVAL_MS) {
            report(state.get(), leaderlessMs);
        }
    }

    private void report(MemberState state, long leaderlessMs) {
        events.record(
                "control_leaderless",
                "leaderless_ms",
                leaderlessMs,
                "term",
                state.term(),
                "incarnation",
                state.incarnation(),
                "voter",
                state.isVoter(),
                "storage",
                state.storage(),
                "peers",
                state.members().stream()
                        .filter(member -> !member.memberId().equals(selfId))
                        .map(this::describe)
                        .toList());
    }

    private PeerStatus describe(Member member) {
        Contact contact = contacts.getOrDefault(member.memberId(), new Contact());
        return new PeerStatus(
                member.memberId(),
                member.incarnation(),
                member.voting(),
                age(contact.answeredAtMs),
                contact.incarnation,
                age(contact.requestedAtMs),
                contact.lastVote
                        .map(vote -> (vote.granted() ? "granted" : "refused") + (vote.preVote() ? " pre-vote" : " vote")
                                + ", term " + vote.term() + ", " + (clock.millis() - contact.votedAtMs) + " ms ago")
                        .orElse(NEVER),
                describeConnection.apply(member.memberId()));
    }

    private String age(OptionalLong atMs) {
        return atMs.isPresent() ? String.valueOf(clock.millis() - atMs.getAsLong()) : NEVER;
    }

    private void endCampaign(String outcome) {
        campaign.ifPresent(ended -> {
            String key = "campaign " + ended.isPreVote() + ' ' + outcome;
            OptionalLong dropped = repeatFilter.admit(key, ended.result());
            if (dropped.isPresent()) {
                events.record(
                        "control_election",
                        "term",
                        ended.term(),
                        "pre_vote",
                        ended.isPreVote(),
                        "outcome",
                        outcome,
                        "elapsed_ms",
                        clock.millis() - ended.startedMs(),
                        "granted",
                        ended.granted(),
                        "refused",
                        ended.refused(),
                        "unanswered",
                        ended.unanswered(),
                        "repeats",
                        dropped.getAsLong());
            }
        });
        campaign = Optional.empty();
    }

    private void onAnswer(String memberId, long incarnation) {
        contact(memberId).answeredAtMs = OptionalLong.of(clock.millis());
        contact(memberId).incarnation = incarnation;
    }

    private Contact contact(String memberId) {
        return contacts.computeIfAbsent(memberId, id -> new Contact());
    }

    /** What this member last received from another one. */
    private static final class Contact {
        OptionalLong answeredAtMs = OptionalLong.empty();
        OptionalLong requestedAtMs = OptionalLong.empty();

        /** The incarnation in the last answer; 0 before the first. */
        long incarnation;

        Optional<Message.VoteResponse> lastVote = Optional.empty();
        long votedAtMs;
    }

    /**
     * A member in the report.
     *
     * @param incarnation the incarnation that the membership counts
     * @param answeredMs the time since its last answer
     * @param answeredAs the incarnation in that answer
     * @param requestedMs the time since its last request to this member
     */
    private record PeerStatus(
            String id,
            long incarnation,
            boolean voting,
            String answeredMs,
            long answeredAs,
            String requestedMs,
            String lastVote,
            String connection) {}
}
