package org.hornbeamspread.core.consensus;

import java.time.Clock;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * One member of a replicated log, in which a record is committed once a majority of the voters holds it, as in Raft.
 *
 * <p>The problem: several members hold copies of a log, any of them may crash or be partitioned, and a record that was
 * acknowledged must never be lost or changed. A single writer that copies to the others is not enough: when it is
 * partitioned and a second writer takes over, both continue to write. Time is therefore divided into terms with at most
 * one leader each. A member votes once per term, a leader needs the votes of a majority, and a committed record needs
 * copies on a majority. Any two majorities share a member, so at least one voter of a new leader holds every committed
 * record, and a member votes only for a candidate whose log is at least as up to date as its own. The other rules, and
 * the failure that each prevents, are listed in {@link ConsensusRule}.
 *
 * <p>The class performs no I/O. {@link #step} takes one event; {@link #drain} returns the effects of all steps since
 * the last drain, so that the owner can batch: one sync and one message then serve many proposals. Effects that
 * acknowledge durable state are withheld until the owner reports the sync. Not thread-safe.
 */
public final class ConsensusNode {
    private final NodeState state;
    private final Bootstrap bootstrap;
    private final Election election;
    private Optional<String> leaderId = Optional.empty();

    /** Present while this member leads. */
    private Optional<LeaderRole> leaderRole = Optional.empty();

    /**
     * When the last append or snapshot of a leader was received. A restarted member may have acknowledged a leader just
     * before it stopped. It therefore grants no votes until {@link ConsensusParameters#firstElectionDelayMs} after its
     * start; an active leader sends its next heartbeat by then.
     */
    private long lastLeaderContactMs;

    /** Present while the disk accepts no writes. */
    private Optional<FailureType> stallReason = Optional.empty();

    private ConsensusEffect.LeadershipChanged lastPublishedLeadership;

    /**
     * Creates a member with all rules enabled.
     *
     * @param mode how this member takes part in the bootstrap of the log
     */
    public ConsensusNode(
            String memberId,
            List<String> initialMemberIds,
            BootstrapMode mode,
            StoredState stored,
            ConsensusParameters parameters,
            Clock clock,
            RandomGenerator random) {
        this(memberId, initialMemberIds, mode, stored, parameters, clock, random, EnumSet.allOf(ConsensusRule.class));
    }

    ConsensusNode(
            String memberId,
            List<String> initialMemberIds,
            BootstrapMode mode,
            StoredState stored,
            ConsensusParameters parameters,
            Clock clock,
            RandomGenerator random,
            Set<ConsensusRule> rules) {
        this.state = new NodeState(memberId, stored, parameters, rules, clock);
        this.bootstrap = new Bootstrap(state, initialMemberIds, mode, stored.initialMembership());
        this.election = new Election(state, random);
        this.lastLeaderContactMs = stored.term() > 0
                ? state.nowMs() + parameters.firstElectionDelayMs() - parameters.electionTimeoutMs()
                : Long.MIN_VALUE / 2;
        this.lastPublishedLeadership = new ConsensusEffect.LeadershipChanged(stored.term(), Optional.empty(), false);
    }

    /** Processes one event. */
    public void step(ConsensusEvent event) {
        if (event instanceof ConsensusEvent.Received received) {
            onMessage(received.message(), received.replyId());
        } else if (event instanceof ConsensusEvent.Tick) {
            tick();
        } else if (event instanceof ConsensusEvent.Proposal proposal) {
            propose(proposal);
        } else if (event instanceof ConsensusEvent.Read read) {
            read(read.readId());
        } else if (event instanceof ConsensusEvent.Departure departure) {
            leaderRole.ifPresent(leader -> leader.onDeparture(departure.memberId()));
        } else if (event instanceof ConsensusEvent.Synced synced) {
            onSynced(synced.persistId());
        } else if (event instanceof ConsensusEvent.StorageStalled stall) {
            onStalled(stall.reason());
        } else if (event instanceof ConsensusEvent.SnapshotTaken taken) {
            onSnapshotTaken(taken);
        }
    }

    /** Returns the effects of the steps since the last drain, to be carried out in order. */
    public List<ConsensusEffect> drain() {
        leaderRole.ifPresent(LeaderRole::flush);
        if (leaderRole.isPresent() && !state.isSelfVoter() && isMembershipCommitted()) {
            becomeFollower(state.term(), Optional.empty());
        }
        publishLeadership();
        return state.outbox.drain();
    }

    /** The current term. */
    public long term() {
        return state.term();
    }

    /** The number drawn when this member's disk was empty. */
    public long incarnation() {
        return state.incarnation;
    }

    /** The index of the last committed record. */
    public long commitIndex() {
        return state.commitIndex();
    }

    /** The index of the last record, committed or not. */
    public long lastIndex() {
        return state.log.lastIndex();
    }

    /** The membership set by the last record that changes it, committed or not. */
    public Membership membership() {
        return state.log.membership();
    }

    /** The index up to which a member has acknowledged synced records; 0 unless this member leads. */
    public long matchIndex(String memberId) {
        return leaderRole.map(leader -> leader.matchIndex(memberId)).orElse(0L);
    }

    /** Milliseconds since the last response of a member to this leader; 0 unless this member leads. */
    public long silentMs(String memberId) {
        return leaderRole.map(leader -> leader.silentMs(memberId)).orElse(0L);
    }

    /** Whether this member has neither voted, nor stored a record, nor taken part in the bootstrap of the log. */
    public boolean isBlank() {
        return bootstrap.isBlank();
    }

    private void onMessage(Message message, long replyId) {
        if (message instanceof Message.VoteRequest request) {
            onVoteRequest(request, replyId);
        } else if (message instanceof Message.VoteResponse response) {
            onVoteResponse(response);
        } else if (message instanceof Message.AppendRequest request) {
            onAppendRequest(request, replyId);
        } else if (message instanceof Message.AppendResponse response) {
            adoptHigherTerm(response.term());
            if (response.term() == state.term()) {
                leaderRole.ifPresent(leader -> leader.onAppendResponse(response));
            }
        } else if (message instanceof Message.SnapshotRequest request) {
            onSnapshotRequest(request, replyId);
        } else if (message instanceof Message.SnapshotResponse response) {
            adoptHigherTerm(response.term());
            if (response.term() == state.term()) {
                leaderRole.ifPresent(leader -> leader.onSnapshotResponse(response));
            }
        } else if (message instanceof Message.IntroduceRequest request) {
            state.outbox.emit(new ConsensusEffect.Reply(replyId, bootstrap.onRequest(request)));
        } else if (message instanceof Message.IntroduceResponse response) {
            bootstrap.onResponse(response);
        }
    }

    private void tick() {
        bootstrap.tick();
        if (leaderRole.isPresent()) {
            if (!leaderRole.get().tick()) {
                becomeFollower(state.term(), Optional.empty());
            }
        } else if (election.isDue()) {
            election.scheduleRetry();
            if (state.isSelfVoter() && stallReason.isEmpty()) {
                leaderId = Optional.empty();
                becomeLeaderIf(election.campaign());
            }
        }
    }

    private void becomeLeaderIf(boolean won) {
        if (!won) {
            return;
        }
        election.cancel();
        leaderId = Optional.of(state.selfId);
        leaderRole = Optional.of(new LeaderRole(state));
    }

    private void onVoteRequest(Message.VoteRequest request, long replyId) {
        if (!bootstrap.mayVote()) {
            replyToVote(replyId, request, VoteAnswer.NOT_ALLOWED_TO_VOTE);
            return;
        }
        boolean leaderActive = state.isEnabled(ConsensusRule.PRE_VOTE) && hasLeaderContact();
        if (request.preVote()) {
            replyToVote(replyId, request, preVoteAnswer(request, leaderActive));
            return;
        }
        if (leaderActive && request.term() > state.term()) {
            replyToVote(replyId, request, VoteAnswer.LEADER_ACTIVE);
            return;
        }
        adoptHigherTerm(request.term());
        VoteAnswer answer = voteAnswer(request);
        if (answer == VoteAnswer.GRANTED) {
            if (state.votedFor().isEmpty()) {
                state.setTermAndVote(state.term(), Optional.of(request.candidateId()));
            }
            election.resetTimeout();
        }
        replyToVote(replyId, request, answer);
    }

    private VoteAnswer preVoteAnswer(Message.VoteRequest request, boolean leaderActive) {
        if (leaderActive) {
            return VoteAnswer.LEADER_ACTIVE;
        }
        if (request.term() <= state.term()) {
            return VoteAnswer.OUTDATED_TERM;
        }
        return isLogUpToDate(request) ? VoteAnswer.GRANTED : VoteAnswer.LOG_BEHIND;
    }

    private VoteAnswer voteAnswer(Message.VoteRequest request) {
        if (request.term() != state.term()) {
            return VoteAnswer.OUTDATED_TERM;
        }
        boolean votedForOther =
                state.votedFor().filter(id -> !id.equals(request.candidateId())).isPresent();
        if (votedForOther) {
            return VoteAnswer.ALREADY_VOTED;
        }
        return isLogUpToDate(request) ? VoteAnswer.GRANTED : VoteAnswer.LOG_BEHIND;
    }

    private void replyToVote(long replyId, Message.VoteRequest request, VoteAnswer answer) {
        boolean granted = answer == VoteAnswer.GRANTED;
        long term = granted ? request.term() : state.term();
        state.outbox.emit(
                new ConsensusEffect.VoteAnswered(request.candidateId(), request.term(), request.preVote(), answer));
        state.outbox.emitWhenSynced(new ConsensusEffect.Reply(
                replyId, new Message.VoteResponse(term, granted, request.preVote(), state.selfId, state.incarnation)));
    }

    private boolean hasLeaderContact() {
        return leaderRole.isPresent() || state.nowMs() - lastLeaderContactMs < state.parameters.electionTimeoutMs();
    }

    private boolean isLogUpToDate(Message.VoteRequest request) {
        if (!state.isEnabled(ConsensusRule.VOTE_FOR_COMPLETE_LOG)) {
            return true;
        }
        return request.lastTerm() > state.log.lastTerm()
                || (request.lastTerm() == state.log.lastTerm() && request.lastIndex() >= state.log.lastIndex());
    }

    private void onVoteResponse(Message.VoteResponse response) {
        if (!response.granted()) {
            adoptHigherTerm(response.term());
            return;
        }
        becomeLeaderIf(election.onGranted(response));
    }

    private void onAppendRequest(Message.AppendRequest request, long replyId) {
        if (!acceptLeader(request.term(), request.leaderId())) {
            replyToAppend(replyId, request, false, 0);
            return;
        }
        long previous = request.previousIndex();
        boolean matches = previous < state.log.baseIndex() || state.log.matches(previous, request.previousTerm());
        if (!matches) {
            replyToAppend(replyId, request, false, conflictHint(previous));
            return;
        }
        long match = previous + request.records().size();
        request.records().forEach(this::appendFromLeader);
        state.commitTo(Math.min(request.commitIndex(), match));
        if (request.records().isEmpty() && state.outbox.isVoteSynced()) {
            long synced = Math.min(match, state.outbox.syncedIndex());
            state.outbox.emit(new ConsensusEffect.Reply(replyId, appendResponse(request, true, synced)));
        } else {
            replyToAppend(replyId, request, true, match);
        }
    }

    private void appendFromLeader(LogRecord record) {
        if (record.index() <= state.log.baseIndex() || state.log.matches(record.index(), record.term())) {
            return;
        }
        if (record.index() <= state.commitIndex()) {
            throw new FailureException(
                    FailureType.LOG_CORRUPTED,
                    "append from the leader conflicts with committed record " + record.index());
        }
        if (record.index() <= state.log.lastIndex()) {
            state.log.truncateFrom(record.index());
            state.outbox.onTruncated(record.index());
        }
        state.log.append(record);
        state.outbox.stageRecord(record);
    }

    /** A hint for a leader whose record at {@code previous} differs: the last index at which the logs may match. */
    private long conflictHint(long previous) {
        if (previous > state.log.lastIndex()) {
            return state.log.lastIndex();
        }
        return Math.max(state.commitIndex(), state.log.firstIndexOfTermAt(previous) - 1);
    }

    private void replyToAppend(long replyId, Message.AppendRequest request, boolean success, long matchIndex) {
        state.outbox.emitWhenSynced(new ConsensusEffect.Reply(replyId, appendResponse(request, success, matchIndex)));
    }

    private Message appendResponse(Message.AppendRequest request, boolean success, long matchIndex) {
        return new Message.AppendResponse(
                state.term(), success, matchIndex, request.round(), state.selfId, state.incarnation);
    }

    private void onSnapshotRequest(Message.SnapshotRequest request, long replyId) {
        long match = 0;
        if (acceptLeader(request.term(), request.leaderId())) {
            if (request.snapshot().lastIndex() > state.commitIndex()) {
                state.install(request.snapshot());
            }
            match = request.snapshot().lastIndex();
        }
        state.outbox.emitWhenSynced(new ConsensusEffect.Reply(
                replyId, new Message.SnapshotResponse(state.term(), match, state.selfId, state.incarnation)));
    }

    /** Follows the sender of an append or a snapshot, unless its term is outdated. */
    private boolean acceptLeader(long term, String sender) {
        if (term < state.term()) {
            return false;
        }
        becomeFollower(term, Optional.of(sender));
        lastLeaderContactMs = state.nowMs();
        election.resetTimeout();
        return true;
    }

    private void adoptHigherTerm(long term) {
        if (term > state.term()) {
            becomeFollower(term, Optional.empty());
        }
    }

    private void becomeFollower(long term, Optional<String> leader) {
        if (term > state.term()) {
            state.setTermAndVote(term, Optional.empty());
        }
        leaderRole.ifPresent(LeaderRole::refuseReads);
        leaderRole = Optional.empty();
        election.cancel();
        leaderId = leader;
    }

    private void propose(ConsensusEvent.Proposal proposal) {
        if (leaderRole.isPresent() && stallReason.isEmpty()) {
            leaderRole.get().propose(proposal);
        } else {
            state.outbox.emit(new ConsensusEffect.ProposalRefused(
                    proposal.proposalId(), stallReason.orElse(FailureType.NOT_LEADER)));
        }
    }

    private void read(long readId) {
        if (leaderRole.isPresent()) {
            leaderRole.get().read(readId);
        } else {
            state.outbox.emit(new ConsensusEffect.ReadRefused(readId, FailureType.NOT_LEADER));
        }
    }

    private void onSynced(long persistId) {
        stallReason = Optional.empty();
        state.outbox.onSynced(persistId);
        becomeLeaderIf(election.countOwnVote());
    }

    private void onStalled(FailureType reason) {
        stallReason = Optional.of(reason);
        if (leaderRole.isPresent() || election.isRunning()) {
            becomeFollower(state.term(), Optional.empty());
        }
    }

    private void onSnapshotTaken(ConsensusEvent.SnapshotTaken taken) {
        long index = taken.lastIndex();
        if (index > state.log.snapshot().lastIndex() && index <= state.commitIndex()) {
            Snapshot snapshot =
                    new Snapshot(index, state.log.termAt(index), state.log.membershipAt(index), taken.state());
            state.log.compact(snapshot, state.parameters.retainedRecords(), state.parameters.retainedBytes());
            state.outbox.stageRewrite(state.log);
        }
    }

    private boolean isMembershipCommitted() {
        return state.log.membershipIndex() <= state.commitIndex();
    }

    private void publishLeadership() {
        boolean ready = leaderRole.map(LeaderRole::isReady).orElse(false);
        ConsensusEffect.LeadershipChanged current =
                new ConsensusEffect.LeadershipChanged(state.term(), leaderId, ready);
        if (!current.equals(lastPublishedLeadership)) {
            lastPublishedLeadership = current;
            state.outbox.emit(current);
        }
    }
}
