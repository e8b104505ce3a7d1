package org.hornbeamspread.core.consensus;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hornbeamspread.core.misc.FailureType;

/**
 * The leader role of a member: replication, commits, read confirmation and repair of the membership.
 *
 * <p>A record is committed once a majority of the voters has synced it and it is of the leader's own term. A record of
 * an older term is committed by a later record of the leader's term, since a later leader may still replace an older
 * record even when a majority holds copies of it. The leader therefore first appends an empty record of its term.
 *
 * <p>A read is confirmed by a round of appends that began after the read arrived: the responses of a majority in this
 * term prove that no later leader had committed a record before the read.
 *
 * <p>A voter that responds with a new incarnation has lost its disk and its votes. The leader first records it as
 * non-voting. Which members vote is decided by {@link VoterSelection}. Each step changes one voter, so that any
 * majorities before and after the step share a voter.
 */
final class LeaderRole {
    private final NodeState state;
    private final Map<String, Progress> progress = new TreeMap<>();
    private final Deque<PendingRead> pendingReads = new ArrayDeque<>();

    /** The index of the first record of the leader's term. */
    private final long termStartIndex;

    /** The bytes of the payloads after the commit index. */
    private long uncommittedBytes;

    private long round;
    private long nextHeartbeatMs;
    private long nextMembershipChangeMs;

    /** Until when the departure of this member applies. */
    private long selfDepartingUntilMs = Long.MIN_VALUE;

    LeaderRole(NodeState state) {
        this.state = state;
        updatePeers();
        this.termStartIndex = append(Payload.EMPTY, Optional.empty());
        this.uncommittedBytes = state.log.payloadBytes(state.commitIndex() + 1, state.log.lastIndex());
    }

    /** Whether a record of this term is committed. */
    boolean isReady() {
        return state.commitIndex() >= termStartIndex;
    }

    /** False when this leader must step down. */
    boolean tick() {
        long nowMs = state.nowMs();
        if (state.isEnabled(ConsensusRule.CHECK_QUORUM) && !hasMajorityContact(nowMs)) {
            return false;
        }
        if (nowMs >= nextHeartbeatMs) {
            nextHeartbeatMs = nowMs + state.parameters.heartbeatMs();
            progress.values().forEach(peer -> replicateTo(peer, true));
        }
        changeMembership(nowMs);
        return true;
    }

    void propose(ConsensusEvent.Proposal proposal) {
        Optional<FailureType> refusal = refusal(proposal);
        if (refusal.isPresent()) {
            state.outbox.emit(new ConsensusEffect.ProposalRefused(proposal.proposalId(), refusal.get()));
            return;
        }
        long index = append(proposal.payload(), proposal.membership());
        state.outbox.emit(new ConsensusEffect.ProposalAppended(proposal.proposalId(), index, state.term()));
        if (proposal.membership().isPresent()) {
            updatePeers();
        }
    }

    void read(long readId) {
        if (!state.isEnabled(ConsensusRule.CONFIRM_READS)) {
            state.outbox.emit(new ConsensusEffect.ReadConfirmed(readId));
            return;
        }
        pendingReads.add(new PendingRead(readId, Math.max(termStartIndex, state.commitIndex()), round + 1));
    }

    void refuseReads() {
        pendingReads.forEach(
                read -> state.outbox.emit(new ConsensusEffect.ReadRefused(read.readId(), FailureType.NOT_LEADER)));
        pendingReads.clear();
    }

    /** A member announces that its process ends. */
    void onDeparture(String memberId) {
        long untilMs = state.nowMs() + state.parameters.voterPolicy().departureMs();
        if (memberId.equals(state.selfId)) {
            selfDepartingUntilMs = untilMs;
        } else if (progress.containsKey(memberId)) {
            progress.get(memberId).departingUntilMs = untilMs;
        }
        nextMembershipChangeMs = state.nowMs();
        changeMembership(state.nowMs());
    }

    void onAppendResponse(Message.AppendResponse response) {
        Progress peer = recordContact(response.memberId(), response.incarnation());
        if (peer == null) {
            return;
        }
        if (response.success()) {
            peer.onMatch(response.matchIndex());
            peer.ackedRound = Math.max(peer.ackedRound, response.round());
        } else {
            peer.onMismatch(response.matchIndex());
        }
    }

    void onSnapshotResponse(Message.SnapshotResponse response) {
        Progress peer = recordContact(response.memberId(), response.incarnation());
        if (peer != null) {
            peer.snapshotInFlight = false;
            peer.onMatch(response.matchIndex());
        }
    }

    /** Commits the records that a majority has synced, confirms reads, and sends pending records. */
    void flush() {
        boolean changesMembership = !isMembershipCommitted();
        commit();
        if (changesMembership && isMembershipCommitted()) {
            nextMembershipChangeMs = state.nowMs();
            changeMembership(state.nowMs());
        }
        boolean newRound = !pendingReads.isEmpty() && pendingReads.peekLast().round() > round;
        if (newRound) {
            round++;
        }
        confirmReads();
        progress.values().forEach(peer -> replicateTo(peer, newRound));
    }

    /** The index up to which a member has acknowledged synced records. */
    long matchIndex(String memberId) {
        if (memberId.equals(state.selfId)) {
            return state.outbox.syncedIndex();
        }
        Progress peer = progress.get(memberId);
        return peer == null ? 0 : peer.matchIndex;
    }

    /** Milliseconds since the last response of a member. */
    long silentMs(String memberId) {
        Progress peer = progress.get(memberId);
        return peer == null ? 0 : state.nowMs() - peer.lastContactMs;
    }

    private Progress recordContact(String memberId, long incarnation) {
        Progress peer = progress.get(memberId);
        if (peer == null) {
            return null;
        }
        if (peer.incarnation != incarnation && state.isEnabled(ConsensusRule.COUNT_INCARNATION)) {
            peer.reset(incarnation, state.log.lastIndex() + 1);
        }
        peer.lastContactMs = state.nowMs();
        return peer;
    }

    private long append(Payload payload, Optional<Membership> membership) {
        LogRecord record = new LogRecord(state.log.lastIndex() + 1, state.term(), payload, membership);
        state.log.append(record);
        state.outbox.stageRecord(record);
        uncommittedBytes += payload.sizeBytes();
        return record.index();
    }

    private void updatePeers() {
        List<String> others = state.log.membership().members().stream()
                .map(Member::memberId)
                .filter(id -> !id.equals(state.selfId))
                .toList();
        progress.keySet().retainAll(others);
        others.forEach(id ->
                progress.computeIfAbsent(id, added -> new Progress(added, state.log.lastIndex() + 1, state.nowMs())));
    }

    private Optional<FailureType> refusal(ConsensusEvent.Proposal proposal) {
        if (state.log.lastIndex() - state.commitIndex() >= state.parameters.maxUncommittedRecords()) {
            return Optional.of(FailureType.QUEUE_FULL);
        }
        boolean exceedsBytes =
                uncommittedBytes + proposal.payload().sizeBytes() > state.parameters.maxUncommittedBytes();
        if (uncommittedBytes > 0 && exceedsBytes) {
            return Optional.of(FailureType.QUEUE_FULL);
        }
        if (proposal.membership().isEmpty() || !state.isEnabled(ConsensusRule.ONE_CHANGE_AT_A_TIME)) {
            return Optional.empty();
        }
        Membership next = proposal.membership().get();
        if (!next.isWellFormed() || state.log.membership().countVoterChanges(next) > 1) {
            return Optional.of(FailureType.INVALID_REQUEST);
        }
        boolean previousChangeCommitted = isReady() && isMembershipCommitted();
        boolean caughtUp = next.voters().stream()
                .filter(voter -> !state.log.membership().voters().contains(voter))
                .allMatch(voter -> countedMatchIndex(voter) >= state.commitIndex());
        return previousChangeCommitted && caughtUp
                ? Optional.empty()
                : Optional.of(FailureType.MEMBER_CHANGE_IN_PROGRESS);
    }

    /** The match index of a voter; 0 unless it was acknowledged by the incarnation in the membership. */
    private long countedMatchIndex(Member voter) {
        if (voter.memberId().equals(state.selfId)) {
            return isCurrentIncarnation(voter, state.incarnation) ? state.outbox.syncedIndex() : 0;
        }
        Progress peer = progress.get(voter.memberId());
        return peer != null && isCurrentIncarnation(voter, peer.incarnation) ? peer.matchIndex : 0;
    }

    private boolean isCurrentIncarnation(Member voter, long incarnation) {
        return voter.incarnation() == incarnation || !state.isEnabled(ConsensusRule.COUNT_INCARNATION);
    }

    private void commit() {
        List<Member> voters = state.log.membership().voters();
        List<Long> matches = voters.stream()
                .map(this::countedMatchIndex)
                .sorted(Comparator.reverseOrder())
                .toList();
        long index = matches.get(matches.size() / 2);
        boolean isOwnTerm = index > state.commitIndex() && state.log.termAt(index) == state.term();
        if (isOwnTerm || !state.isEnabled(ConsensusRule.COMMIT_OWN_TERM_ONLY)) {
            uncommittedBytes -= state.log.payloadBytes(state.commitIndex() + 1, index);
            state.commitTo(index);
        }
    }

    private void confirmReads() {
        while (!pendingReads.isEmpty()) {
            PendingRead read = pendingReads.peek();
            boolean confirmed = state.log.membership().isMajority(voter -> hasAcked(voter, read.round()));
            if (!confirmed || state.commitIndex() < read.index()) {
                return;
            }
            pendingReads.remove();
            state.outbox.emit(new ConsensusEffect.ReadConfirmed(read.readId()));
        }
    }

    private boolean hasAcked(Member voter, long requiredRound) {
        if (voter.memberId().equals(state.selfId)) {
            return requiredRound <= round;
        }
        Progress peer = progress.get(voter.memberId());
        return peer != null && isCurrentIncarnation(voter, peer.incarnation) && peer.ackedRound >= requiredRound;
    }

    private boolean hasMajorityContact(long nowMs) {
        long earliestContactMs = nowMs - 2 * state.parameters.electionTimeoutMs();
        return state.log.membership().isMajority(voter -> {
            Progress peer = progress.get(voter.memberId());
            return voter.memberId().equals(state.selfId) || (peer != null && peer.lastContactMs >= earliestContactMs);
        });
    }

    private void replicateTo(Progress peer, boolean evenIfEmpty) {
        long nowMs = state.nowMs();
        boolean requestInFlight = peer.hasRequestInFlight(nowMs);
        if (peer.nextIndex <= state.log.baseIndex()) {
            if (!requestInFlight) {
                sendSnapshot(peer, nowMs);
            }
            if (evenIfEmpty) {
                sendAppend(peer, 0, List.of());
            }
        } else if (requestInFlight) {
            if (evenIfEmpty) {
                sendAppend(peer, peer.matchIndex >= state.log.baseIndex() ? peer.matchIndex : 0, List.of());
            }
        } else {
            List<LogRecord> records = state.log.batchFrom(peer.nextIndex, state.parameters.batchBytes());
            if (!records.isEmpty()) {
                peer.inFlightIndex = records.get(records.size() - 1).index();
                peer.inFlightDeadlineMs = nowMs + state.parameters.electionTimeoutMs();
            }
            if (!records.isEmpty() || evenIfEmpty) {
                sendAppend(peer, peer.nextIndex - 1, records);
            }
        }
    }

    private void sendSnapshot(Progress peer, long nowMs) {
        peer.snapshotInFlight = true;
        peer.inFlightDeadlineMs = nowMs + 10 * state.parameters.electionTimeoutMs();
        state.outbox.emit(new ConsensusEffect.Send(
                peer.memberId, new Message.SnapshotRequest(state.term(), state.selfId, state.log.snapshot())));
    }

    private void sendAppend(Progress peer, long previousIndex, List<LogRecord> records) {
        long previousTerm = previousIndex == 0 ? 0 : state.log.termAt(previousIndex);
        state.outbox.emit(new ConsensusEffect.Send(
                peer.memberId,
                new Message.AppendRequest(
                        state.term(), state.selfId, previousIndex, previousTerm, state.commitIndex(), records, round)));
    }

    /** Requests the next change of one voter, once the previous one is committed. */
    private void changeMembership(long nowMs) {
        Membership current = state.log.membership();
        boolean isSelfVoter = current.find(state.selfId).filter(Member::voting).isPresent();
        if (nowMs < nextMembershipChangeMs || !isReady() || !isMembershipCommitted() || !isSelfVoter) {
            return;
        }
        List<VoterSelection.MemberStatus> statuses =
                current.members().stream().map(member -> status(member, nowMs)).toList();
        VoterSelection selection = new VoterSelection(
                state.parameters.voterPolicy(), current, statuses, state.parameters.electionTimeoutMs());
        Optional<VoterSelection.Change> change = selection.nextChange();
        change.filter(VoterSelection.Change::substitutesSilent)
                .ifPresent(substitution -> progress.get(substitution.memberId()).heldBackUntilMs =
                        nowMs + state.parameters.voterPolicy().substitutionHoldMs());
        // The membership of the bootstrap is recorded too, so that later members receive it with the log.
        Optional<Membership> unrecorded = state.log.membershipIndex() == 0 ? Optional.of(current) : Optional.empty();
        change.map(VoterSelection.Change::membership).or(() -> unrecorded).ifPresent(members -> {
            nextMembershipChangeMs = nowMs + state.parameters.heartbeatMs();
            state.outbox.emit(new ConsensusEffect.MembershipChangeNeeded(members));
        });
    }

    private VoterSelection.MemberStatus status(Member member, long nowMs) {
        Progress peer = progress.get(member.memberId());
        if (peer == null) {
            return new VoterSelection.MemberStatus(
                    member, member.incarnation(), 0, true, nowMs < selfDepartingUntilMs, false);
        }
        return new VoterSelection.MemberStatus(
                member,
                peer.incarnation,
                nowMs - peer.lastContactMs,
                peer.matchIndex >= state.commitIndex(),
                nowMs < peer.departingUntilMs,
                nowMs < peer.heldBackUntilMs);
    }

    private boolean isMembershipCommitted() {
        return state.log.membershipIndex() <= state.commitIndex();
    }

    /** A read that waits for a round of appends and for a commit index. */
    private record PendingRead(long readId, long index, long round) {}
}
