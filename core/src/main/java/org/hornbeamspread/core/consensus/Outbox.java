package org.hornbeamspread.core.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Collects the effects of the steps since the last drain. Writes that must be durable are staged and emitted as one
 * persist; effects that acknowledge them are held until that persist is synced. One sync thus covers all steps in
 * between.
 */
final class Outbox {
    private final boolean requireSync;
    private final Deque<HeldEffect> heldEffects = new ArrayDeque<>();
    private final Deque<UnsyncedPersist> unsyncedPersists = new ArrayDeque<>();
    private List<ConsensusEffect> effects = new ArrayList<>();
    private long lastPersistId;
    private long syncedPersistId;
    private long votePersistId;
    private long syncedIndex;

    private Optional<Membership> stagedInitialMembership = Optional.empty();
    private Optional<ConsensusEffect.StoredVote> stagedVote = Optional.empty();
    private Optional<ConsensusEffect.Rewrite> stagedRewrite = Optional.empty();
    private final List<LogRecord> stagedRecords = new ArrayList<>();

    /** The last index including staged records; it becomes the synced index once the persist is synced. */
    private long stagedLastIndex;

    Outbox(boolean syncFirst, long syncedIndex) {
        this.requireSync = syncFirst;
        this.syncedIndex = syncedIndex;
        this.stagedLastIndex = syncedIndex;
    }

    void emit(ConsensusEffect effect) {
        effects.add(effect);
    }

    /** Emits an effect once everything staged so far is synced. */
    void emitWhenSynced(ConsensusEffect effect) {
        long requiredId = requiredPersistId();
        if (!requireSync || requiredId <= syncedPersistId) {
            effects.add(effect);
        } else {
            heldEffects.add(new HeldEffect(requiredId, effect));
        }
    }

    void stageInitialMembership(Membership members) {
        stagedInitialMembership = Optional.of(members);
    }

    void stageVote(long term, Optional<String> votedFor) {
        stagedVote = Optional.of(new ConsensusEffect.StoredVote(term, votedFor));
        votePersistId = lastPersistId + 1;
    }

    void stageRecord(LogRecord record) {
        stagedRecords.add(record);
        stagedLastIndex = record.index();
    }

    /** Lowers the synced index below a truncated index. The disk is truncated when the replacing record is written. */
    void onTruncated(long index) {
        syncedIndex = Math.min(syncedIndex, index - 1);
        List<UnsyncedPersist> entries = List.copyOf(unsyncedPersists);
        unsyncedPersists.clear();
        entries.forEach(entry ->
                unsyncedPersists.add(new UnsyncedPersist(entry.persistId(), Math.min(entry.lastIndex(), index - 1))));
    }

    void stageRewrite(MemoryLog log) {
        stagedRecords.clear();
        stagedRewrite = Optional.of(new ConsensusEffect.Rewrite(
                log.snapshot(),
                log.baseIndex(),
                log.baseTerm(),
                log.recordsBetween(log.baseIndex() + 1, log.lastIndex())));
        stagedLastIndex = log.lastIndex();
    }

    /** The persist that must be synced before a decision made now may be acknowledged. */
    long requiredPersistId() {
        return isStaged() ? lastPersistId + 1 : lastPersistId;
    }

    boolean isSynced(long persistId) {
        return !requireSync || persistId <= syncedPersistId;
    }

    /** Whether the latest term and vote are synced. */
    boolean isVoteSynced() {
        return isSynced(votePersistId);
    }

    /** The last synced index, excluding records truncated since. */
    long syncedIndex() {
        return requireSync ? syncedIndex : stagedLastIndex;
    }

    void onSynced(long persistId) {
        syncedPersistId = Math.max(syncedPersistId, persistId);
        while (!unsyncedPersists.isEmpty() && unsyncedPersists.peek().persistId() <= syncedPersistId) {
            syncedIndex = Math.max(syncedIndex, unsyncedPersists.remove().lastIndex());
        }
        while (!heldEffects.isEmpty() && heldEffects.peek().persistId() <= syncedPersistId) {
            effects.add(heldEffects.remove().effect());
        }
    }

    List<ConsensusEffect> drain() {
        if (isStaged()) {
            lastPersistId++;
            if (!stagedRecords.isEmpty() || stagedRewrite.isPresent()) {
                unsyncedPersists.add(new UnsyncedPersist(lastPersistId, stagedLastIndex));
            }
            effects.add(new ConsensusEffect.Persist(
                    lastPersistId, stagedInitialMembership, stagedVote, stagedRewrite, stagedRecords));
            stagedInitialMembership = Optional.empty();
            stagedVote = Optional.empty();
            stagedRewrite = Optional.empty();
            stagedRecords.clear();
        }
        List<ConsensusEffect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }

    private boolean isStaged() {
        return stagedInitialMembership.isPresent()
                || stagedVote.isPresent()
                || stagedRewrite.isPresent()
                || !stagedRecords.isEmpty();
    }

    /** An effect held until a persist is synced. */
    private record HeldEffect(long persistId, ConsensusEffect effect) {}

    /** The last index of the log once a persist is synced. */
    private record UnsyncedPersist(long persistId, long lastIndex) {}
}
