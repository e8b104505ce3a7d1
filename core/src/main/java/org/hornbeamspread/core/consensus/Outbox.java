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
    private final boolean syncFirst;
    private final Deque<Held> held = new ArrayDeque<>();
    private final Deque<Written> written = new ArrayDeque<>();
    private List<ConsensusEffect> effects = new ArrayList<>();
    private long lastPersistId;
    private long syncedPersistId;
    private long votePersistId;
    private long syncedIndex;

    private Optional<Membership> stagedFormed = Optional.empty();
    private Optional<ConsensusEffect.StoredVote> stagedVote = Optional.empty();
    private Optional<ConsensusEffect.Rewrite> stagedRewrite = Optional.empty();
    private final List<LogRecord> stagedRecords = new ArrayList<>();

    /** The log's end as staged; it becomes the synced end with the persist. */
    private long stagedLastIndex;

    Outbox(boolean syncFirst, long syncedIndex) {
        this.syncFirst = syncFirst;
        this.syncedIndex = syncedIndex;
        this.stagedLastIndex = syncedIndex;
    }

    void emit(ConsensusEffect effect) {
        effects.add(effect);
    }

    /** Emits an effect once everything staged so far is synced. */
    void emitWhenSynced(ConsensusEffect effect) {
        long needed = neededPersistId();
        if (!syncFirst || needed <= syncedPersistId) {
            effects.add(effect);
        } else {
            held.add(new Held(needed, effect));
        }
    }

    void stageFormed(Membership members) {
        stagedFormed = Optional.of(members);
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
    void truncatedFrom(long index) {
        syncedIndex = Math.min(syncedIndex, index - 1);
        List<Written> entries = List.copyOf(written);
        written.clear();
        entries.forEach(entry -> written.add(new Written(entry.persistId(), Math.min(entry.lastIndex(), index - 1))));
    }

    void stageRewrite(MemoryLog log) {
        stagedRecords.clear();
        stagedRewrite = Optional.of(new ConsensusEffect.Rewrite(
                log.snapshot(), log.baseIndex(), log.baseTerm(), log.between(log.baseIndex() + 1, log.lastIndex())));
        stagedLastIndex = log.lastIndex();
    }

    /** What must be synced before anything that is decided now may be answered for. */
    long neededPersistId() {
        return isStaged() ? lastPersistId + 1 : lastPersistId;
    }

    boolean isSynced(long persistId) {
        return !syncFirst || persistId <= syncedPersistId;
    }

    /** Whether the latest term and vote are on the disk. */
    boolean isVoteSynced() {
        return isSynced(votePersistId);
    }

    /** The last record on the disk, as far as the log was not cut since. */
    long syncedIndex() {
        return syncFirst ? syncedIndex : stagedLastIndex;
    }

    void onSynced(long persistId) {
        syncedPersistId = Math.max(syncedPersistId, persistId);
        while (!written.isEmpty() && written.peek().persistId() <= syncedPersistId) {
            syncedIndex = Math.max(syncedIndex, written.remove().lastIndex());
        }
        while (!held.isEmpty() && held.peek().persistId() <= syncedPersistId) {
            effects.add(held.remove().effect());
        }
    }

    List<ConsensusEffect> drain() {
        if (isStaged()) {
            lastPersistId++;
            if (!stagedRecords.isEmpty() || stagedRewrite.isPresent()) {
                written.add(new Written(lastPersistId, stagedLastIndex));
            }
            effects.add(
                    new ConsensusEffect.Persist(lastPersistId, stagedFormed, stagedVote, stagedRewrite, stagedRecords));
            stagedFormed = Optional.empty();
            stagedVote = Optional.empty();
            stagedRewrite = Optional.empty();
            stagedRecords.clear();
        }
        List<ConsensusEffect> drained = effects;
        effects = new ArrayList<>();
        return drained;
    }

    private boolean isStaged() {
        return stagedFormed.isPresent()
                || stagedVote.isPresent()
                || stagedRewrite.isPresent()
                || !stagedRecords.isEmpty();
    }

    /** An effect that waits for a persist. */
    private record Held(long persistId, ConsensusEffect effect) {}

    /** How far the log reaches once a persist is synced. */
    private record Written(long persistId, long lastIndex) {}
}
