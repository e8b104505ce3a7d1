package org.hornbeamspread.core.consensus;

import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** The state that the roles of a member share. */
final class NodeState {
    final String selfId;
    final long incarnation;
    final ConsensusParameters parameters;
    final MemoryLog log;
    final Outbox outbox;
    private final Set<ConsensusRule> rules;
    private final Clock clock;
    private long term;
    private Optional<String> votedFor;
    private long commitIndex;

    NodeState(
            String selfId, StoredState stored, ConsensusParameters parameters, Set<ConsensusRule> rules, Clock clock) {
        this.selfId = selfId;
        this.incarnation = stored.incarnation();
        this.parameters = parameters;
        this.rules = Set.copyOf(rules);
        this.clock = clock;
        this.log = new MemoryLog(stored);
        this.outbox = new Outbox(isEnabled(ConsensusRule.SYNC_BEFORE_ANSWER), log.lastIndex());
        this.term = stored.term();
        this.votedFor = stored.votedFor();
        this.commitIndex = stored.snapshot().lastIndex();
    }

    boolean isEnabled(ConsensusRule rule) {
        return rules.contains(rule);
    }

    long nowMs() {
        return clock.millis();
    }

    long term() {
        return term;
    }

    Optional<String> votedFor() {
        return votedFor;
    }

    long commitIndex() {
        return commitIndex;
    }

    /** Advances to a later term, or votes in the current one. */
    void setTermAndVote(long newTerm, Optional<String> candidateId) {
        term = newTerm;
        votedFor = candidateId;
        outbox.stageVote(newTerm, candidateId);
    }

    /** Whether the votes and copies of this incarnation of a member are counted. */
    boolean isVoter(String memberId, long memberIncarnation) {
        if (isEnabled(ConsensusRule.COUNT_INCARNATION)) {
            return log.membership().isVoter(memberId, memberIncarnation);
        }
        return log.membership().find(memberId).filter(Member::voting).isPresent();
    }

    boolean isSelfVoter() {
        return isVoter(selfId, incarnation);
    }

    /** Commits up to an index and emits the newly committed records to be applied. */
    void commitTo(long index) {
        if (index > commitIndex) {
            List<LogRecord> committed = log.recordsBetween(commitIndex + 1, index);
            commitIndex = index;
            outbox.emit(new ConsensusEffect.Apply(committed));
        }
    }

    /** Installs a snapshot of the leader, which replaces the committed state of this member. */
    void install(Snapshot snapshot) {
        boolean retainsRecords = log.matches(snapshot.lastIndex(), snapshot.lastTerm());
        log.install(snapshot);
        if (!retainsRecords) {
            outbox.onTruncated(1);
        }
        outbox.stageRewrite(log);
        commitIndex = snapshot.lastIndex();
        outbox.emit(new ConsensusEffect.Restore(snapshot));
    }
}
