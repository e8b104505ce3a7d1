package org.hornbeamspread.core.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The part of the log that a member holds in memory: a base index and the records after it without gaps. The latest
 * snapshot is at or after the base. The membership is that of the last record that sets one, committed or not.
 */
final class MemoryLog {
    private final List<LogRecord> records;
    private Snapshot snapshot;
    private long baseIndex;
    private long baseTerm;

    /** The members that the log was bootstrapped with; in effect until a record or a snapshot sets a membership. */
    private Membership initialMembership;

    private Membership membership;

    /** The index of the record that set the membership; 0 for the initial membership. */
    private long membershipIndex;

    MemoryLog(StoredState stored) {
        this.records = new ArrayList<>(stored.records());
        this.snapshot = stored.snapshot();
        this.baseIndex = stored.baseIndex();
        this.baseTerm = stored.baseTerm();
        this.initialMembership = stored.initialMembership().orElse(Membership.NONE);
        recomputeMembership();
    }

    long baseIndex() {
        return baseIndex;
    }

    long baseTerm() {
        return baseTerm;
    }

    long lastIndex() {
        return baseIndex + records.size();
    }

    long lastTerm() {
        return records.isEmpty() ? baseTerm : records.get(records.size() - 1).term();
    }

    Snapshot snapshot() {
        return snapshot;
    }

    Membership membership() {
        return membership;
    }

    long membershipIndex() {
        return membershipIndex;
    }

    /** The membership as of an index at or after the snapshot. */
    Membership membershipAt(long index) {
        for (long i = index; i > Math.max(baseIndex, snapshot.lastIndex()); i--) {
            Optional<Membership> recorded = get(i).membership();
            if (recorded.isPresent()) {
                return recorded.get();
            }
        }
        return snapshot.lastIndex() > 0 ? snapshot.membership() : initialMembership;
    }

    /** Whether the log has a record or its base at this index with this term. */
    boolean matches(long index, long term) {
        return index >= baseIndex && index <= lastIndex() && termAt(index) == term;
    }

    /** The term at an index from the base to the end of the log. */
    long termAt(long index) {
        return index == baseIndex ? baseTerm : get(index).term();
    }

    LogRecord get(long index) {
        return records.get((int) (index - baseIndex - 1));
    }

    /** The records from an index on, up to about {@code maxBytes} of payload, but at least one if there is any. */
    List<LogRecord> batchFrom(long index, int maxBytes) {
        long bytes = 0;
        long end = index;
        while (end <= lastIndex() && (end == index || bytes < maxBytes)) {
            bytes += get(end).payload().sizeBytes();
            end++;
        }
        return recordsBetween(index, end - 1);
    }

    /** The records from {@code first} to {@code last}, both included. */
    List<LogRecord> recordsBetween(long first, long last) {
        return first > last
                ? List.of()
                : List.copyOf(records.subList((int) (first - baseIndex - 1), (int) (last - baseIndex)));
    }

    /** The first index of the consecutive records up to {@code index} that have the same term. */
    long firstIndexOfTermAt(long index) {
        long term = termAt(index);
        long first = index;
        while (first - 1 > baseIndex && termAt(first - 1) == term) {
            first--;
        }
        return first;
    }

    void append(LogRecord record) {
        records.add(record);
        record.membership().ifPresent(next -> {
            membership = next;
            membershipIndex = record.index();
        });
    }

    /** Removes the record at an index and all after it. */
    void truncateFrom(long index) {
        records.subList((int) (index - baseIndex - 1), records.size()).clear();
        if (membershipIndex >= index) {
            recomputeMembership();
        }
    }

    void setInitialMembership(Membership members) {
        initialMembership = members;
        recomputeMembership();
    }

    /** The bytes of the payloads of the records from {@code first} to {@code last}, both included. */
    long payloadBytes(long first, long last) {
        long bytes = 0;
        for (long index = first; index <= last; index++) {
            bytes += get(index).payload().sizeBytes();
        }
        return bytes;
    }

    /** Replaces the snapshot by a newer one of applied records, and retains some records before it, within both limits. */
    void compact(Snapshot taken, int retainedRecords, long retainedBytes) {
        snapshot = taken;
        long newBase = taken.lastIndex();
        long bytes = 0;
        while (newBase > baseIndex && taken.lastIndex() - newBase < retainedRecords) {
            bytes += get(newBase).payload().sizeBytes();
            if (bytes > retainedBytes) {
                break;
            }
            newBase--;
        }
        long newBaseTerm = termAt(newBase);
        records.subList(0, (int) (newBase - baseIndex)).clear();
        baseIndex = newBase;
        baseTerm = newBaseTerm;
    }

    /**
     * Installs a snapshot of the leader; records after it are retained only when the log matches it at its last index.
     */
    void install(Snapshot received) {
        if (matches(received.lastIndex(), received.lastTerm())) {
            compact(received, 0, 0);
        } else {
            records.clear();
            baseIndex = received.lastIndex();
            baseTerm = received.lastTerm();
            snapshot = received;
        }
        recomputeMembership();
    }

    private void recomputeMembership() {
        for (int i = records.size() - 1; i >= 0 && records.get(i).index() > snapshot.lastIndex(); i--) {
            Optional<Membership> recorded = records.get(i).membership();
            if (recorded.isPresent()) {
                membership = recorded.get();
                membershipIndex = records.get(i).index();
                return;
            }
        }
        membership = snapshot.lastIndex() > 0 ? snapshot.membership() : initialMembership;
        membershipIndex = snapshot.lastIndex();
    }
}
