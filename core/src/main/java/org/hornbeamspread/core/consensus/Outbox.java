package org.hornbeamspread.core.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Collects the effects of the steps since the last drain. What must be durable is staged and goes out as one persist;
 * what answers for it is held until that persist is synced. So one sync covers all the steps in between.
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

    /** The log's end as staged; it becomes the synced end with the persist. */
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
        long needed = requiredPersistId();
        if (!requireSync || needed <= syncedPersistId) {
            effects.add(effect);
        } else {
            heldEffects.add(new HeldEffect(needed, effect));
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

    /** The log was cut at an index; the disk learns of it by the record that takes its place. */
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

    /** What must be synced before anything that is decided now may be answered for. */
    long requiredPersistId() {
        return isStaged() ? lastPersistId + 1 : lastPersistId;
    }

    boolean isSynced(long persistId) {
        return !requireSync || persistId <= syncedPersistId;
    }

    /** Whether the latest term and vote are on the disk. */
    boolean isVoteSynced() {
        return isSynced(votePersistId);
    }

    /** The last record on the disk, as far as the log was not cut since. */
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

    /** An effect that waits for a persist. */
    private record HeldEffect(long persistId, ConsensusEffect effect) {}

    /** How far the log reaches once a persist is synced. */
    private record UnsyncedPersist(long persistId, long lastIndex) {}
}
