package org.hornbeamspread.core.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides when a member stands for election, asks for votes and counts them. A candidate first asks how a vote would go
 * and raises its term only when a majority would grant it; so a member that was cut off does not depose a leader that
 * the others hear when it returns. The waits are random, so that two candidates seldom split a vote.
 */
final class Election {
    private final NodeState state;
    private final RandomGenerator random;
    private Phase phase = Phase.NONE;

    /** Who granted the vote that is under way, with the incarnation that did. */
    private final Map<String, Long> grants = new HashMap<>();

    /** The persist that makes the candidate's own vote durable. */
    private long ownVotePersistId;

    private long deadlineMs;

    Election(NodeState state, RandomGenerator random) {
        this.state = state;
        this.random = random;
        schedule(state.parameters.firstElectionDelayMs(), state.parameters.firstElectionJitterMs());
    }

    /** Whether no leader was heard, and no vote given, for long enough. */
    boolean isDue() {
        return state.nowMs() >= deadlineMs;
    }

    boolean isRunning() {
        return phase != Phase.NONE;
    }

    /** Waits a whole election timeout again. */
    void resetTimeout() {
        schedule(state.parameters.electionTimeoutMs(), state.parameters.electionTimeoutMs());
    }

    /** Waits less: a vote that was split or refused is tried again sooner than a leader is given up. */
    void scheduleRetry() {
        schedule(state.parameters.electionTimeoutMs() / 2, state.parameters.electionTimeoutMs() / 2);
    }

    void cancel() {
        phase = Phase.NONE;
        grants.clear();
    }

    /** Stands for election. True when that wins it at once, as the only voter does. */
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

    /** Counts a granted vote. True when it wins the election. */
    boolean onGranted(Message.VoteResponse response) {
        boolean wanted = response.preVote()
                ? phase == Phase.PRE_VOTE && response.term() == state.term() + 1
                : phase == Phase.VOTE && response.term() == state.term();
        if (!wanted) {
            return false;
        }
        grants.put(response.voterId(), response.incarnation());
        return countGrants();
    }

    /** Counts the candidate's own vote once it is durable. True when it wins the election. */
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

    private void schedule(long shortestMs, long spreadMs) {
        deadlineMs = state.nowMs() + shortestMs + random.nextLong(spreadMs);
    }

    /** What is asked for at present. */
    private enum Phase {
        NONE,
        PRE_VOTE,
        VOTE
    }
}
