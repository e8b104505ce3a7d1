package org.hornbeamspread.core.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The part of the log that a member keeps in memory: a base, and the records behind it without gaps. The latest snapshot
 * lies at the base or behind it. Membership follows the last record that sets it, committed or not.
 */
final class MemoryLog {
    private final List<LogRecord> records;
    private Snapshot snapshot;
    private long baseIndex;
    private long baseTerm;

    /** The members that the log was formed with; in force until a record or a snapshot sets others. */
    private Membership initialMembership;

    private Membership membership;

    /** The record that set the membership; 0 when it came from the formation. */
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

    /** The members at an index that is at or behind the snapshot. */
    Membership membershipAt(long index) {
        for (long i = index; i > Math.max(baseIndex, snapshot.lastIndex()); i--) {
            Optional<Membership> set = get(i).membership();
            if (set.isPresent()) {
                return set.get();
            }
        }
        return snapshot.lastIndex() > 0 ? snapshot.membership() : initialMembership;
    }

    /** Whether the log has a record, or its base, at an index with this term. */
    boolean matches(long index, long term) {
        return index >= baseIndex && index <= lastIndex() && termAt(index) == term;
    }

    /** The term at an index between the base and the end. */
    long termAt(long index) {
        return index == baseIndex ? baseTerm : get(index).term();
    }

    LogRecord get(long index) {
        return records.get((int) (index - baseIndex - 1));
    }

    /** The records from an index on, at least one if there are any, up to about so many bytes. */
    List<LogRecord> batchFrom(long index, int maxBytes) {
        long bytes = 0;
        long end = index;
        while (end <= lastIndex() && (end == index || bytes < maxBytes)) {
            bytes += get(end).payload().sizeBytes();
            end++;
        }
        return recordsBetween(index, end - 1);
    }

    /** The records from one index to another, both included. */
    List<LogRecord> recordsBetween(long first, long last) {
        return first > last
                ? List.of()
                : List.copyOf(records.subList((int) (first - baseIndex - 1), (int) (last - baseIndex)));
    }

    /** The first index of the run of records that have the term at {@code index}. */
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

    /** Drops the record at an index and all behind it. */
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

    /** Takes a newer snapshot of applied records, and keeps some records before it. */
    void compact(Snapshot taken, int retainedRecords) {
        snapshot = taken;
        long newBase = Math.max(baseIndex, taken.lastIndex() - retainedRecords);
        long newBaseTerm = termAt(newBase);
        records.subList(0, (int) (newBase - baseIndex)).clear();
        baseIndex = newBase;
        baseTerm = newBaseTerm;
    }

    /** Takes a leader's snapshot: records behind it stay only when the log matches it. */
    void install(Snapshot received) {
        if (matches(received.lastIndex(), received.lastTerm())) {
            compact(received, 0);
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
            Optional<Membership> set = records.get(i).membership();
            if (set.isPresent()) {
                membership = set.get();
                membershipIndex = records.get(i).index();
                return;
            }
        }
        membership = snapshot.lastIndex() > 0 ? snapshot.membership() : initialMembership;
        membershipIndex = snapshot.lastIndex();
    }
}
