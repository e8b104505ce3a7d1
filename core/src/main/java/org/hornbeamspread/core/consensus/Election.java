package org.hornbeamspread.core.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides when a member becomes a candidate, requests votes and counts them. A candidate first runs a pre-vote and
 * raises its term only when a majority would grant the vote, so a member that returns from a partition does not depose
 * a leader that the others still receive heartbeats from. The timeouts are random, so that two candidates seldom split
 * a vote.
 */
final class Election {
    private final NodeState state;
    private final RandomGenerator random;
    private Phase phase = Phase.NONE;

    /** The voters that granted the vote or pre-vote in progress, each with its incarnation. */
    private final Map<String, Long> grants = new HashMap<>();

    /** The id of the persist that makes the candidate's own vote durable. */
    private long ownVotePersistId;

    private long deadlineMs;

    Election(NodeState state, RandomGenerator random) {
        this.state = state;
        this.random = random;
        schedule(state.parameters.firstElectionDelayMs(), state.parameters.firstElectionJitterMs());
    }

    /** Whether the election timeout has elapsed since the last message of a leader and the last granted vote. */
    boolean isDue() {
        return state.nowMs() >= deadlineMs;
    }

    boolean isRunning() {
        return phase != Phase.NONE;
    }

    /** Restarts the timeout with a full election timeout plus jitter. */
    void resetTimeout() {
        schedule(state.parameters.electionTimeoutMs(), state.parameters.electionTimeoutMs());
    }

    /**
     * Schedules the next attempt after half an election timeout plus jitter: a split or rejected vote is retried early.
     */
    void scheduleRetry() {
        schedule(state.parameters.electionTimeoutMs() / 2, state.parameters.electionTimeoutMs() / 2);
    }

    void cancel() {
        phase = Phase.NONE;
        grants.clear();
    }

    /** Starts a campaign. Returns true when the member wins it immediately, as a sole voter does. */
    boolean campaign() {
        if (!state.isEnabled(ConsensusRule.PRE_VOTE)) {
            return startVote();
        }
        phase = Phase.PRE_VOTE;
        grants.clear();
        grants.put(state.selfId, state.incarnation);
        requestVotes(state.term() + 1, true);
        return countGrants();
    }

    /** Counts a granted vote. True when the vote wins the election. */
    boolean onGranted(Message.VoteResponse response) {
        boolean matchesPhase = response.preVote()
                ? phase == Phase.PRE_VOTE && response.term() == state.term() + 1
                : phase == Phase.VOTE && response.term() == state.term();
        if (!matchesPhase) {
            return false;
        }
        grants.put(response.voterId(), response.incarnation());
        return countGrants();
    }

    /** Counts the candidate's own vote once the vote is durable. True when the vote wins the election. */
    boolean countOwnVote() {
        if (phase != Phase.VOTE || !state.outbox.isSynced(ownVotePersistId)) {
            return false;
        }
        grants.put(state.selfId, state.incarnation);
        return countGrants();
    }

    private boolean startVote() {
        phase = Phase.VOTE;
        grants.clear();
        state.setTermAndVote(state.term() + 1, Optional.of(state.selfId));
        ownVotePersistId = state.outbox.requiredPersistId();
        scheduleRetry();
        requestVotes(state.term(), false);
        return countOwnVote();
    }

    private void requestVotes(long term, boolean preVote) {
        Message request =
                new Message.VoteRequest(term, state.selfId, state.log.lastIndex(), state.log.lastTerm(), preVote);
        state.log.membership().voters().stream()
                .map(Member::memberId)
                .filter(id -> !id.equals(state.selfId))
                .forEach(id -> state.outbox.emitWhenSynced(new ConsensusEffect.Send(id, request)));
    }

    private boolean countGrants() {
        boolean majority = state.log
                .membership()
                .isMajority(voter -> grants.containsKey(voter.memberId())
                        && state.isVoter(voter.memberId(), grants.get(voter.memberId())));
        if (!majority) {
            return false;
        }
        return phase == Phase.VOTE || startVote();
    }

    private void schedule(long minDelayMs, long jitterMs) {
        deadlineMs = state.nowMs() + minDelayMs + random.nextLong(jitterMs);
    }

    /** The kind of vote in progress. */
    private enum Phase {
        NONE,
        PRE_VOTE,
        VOTE
    }
}
