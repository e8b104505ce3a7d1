package org.hornbeamspread.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.LogEntry;
import org.hornbeamspread.transport.Envelopes;

/** The in-memory log of a database, with an index by idempotency key. Entry indexes start at 1. */
final class DatabaseLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private final Map<String, Integer> indexByKey = new HashMap<>();

    /** The number of entries, which is the index of the last one. */
    int size() {
        return entries.size();
    }

    /** The position of the last entry; NONE when the log is empty. */
    LogPosition lastPosition() {
        return positionAt(entries.size());
    }

    /** The position of an entry by index; NONE for 0. */
    LogPosition positionAt(int index) {
        return index == 0
                ? LogPosition.NONE
                : Envelopes.position(entries.get(index - 1).getPosition());
    }

    /** Whether the log contains an entry at this position. Every log contains the start position. */
    boolean contains(LogPosition position) {
        return position.indexEntries() <= entries.size()
                && positionAt((int) position.indexEntries()).equals(position);
    }

    /** Appends an entry. Fails with INVALID_POSITION if the entry does not directly follow the last one. */
    void append(LogEntry entry) {
        LogPosition position = Envelopes.position(entry.getPosition());
        if (position.indexEntries() != entries.size() + 1L
                || position.term() < lastPosition().term()) {
            throw new FailureException(FailureType.INVALID_POSITION, position + " does not follow " + lastPosition());
        }
        entries.add(entry);
        if (!entry.getIdempotencyKey().isEmpty()) {
            indexByKey.put(entry.getIdempotencyKey(), entries.size());
        }
    }

    /** Removes and returns all entries after an index. */
    List<LogEntry> truncate(int lastIndex) {
        List<LogEntry> tail = entries.subList(lastIndex, entries.size());
        List<LogEntry> removed = List.copyOf(tail);
        removed.forEach(entry -> indexByKey.remove(entry.getIdempotencyKey()));
        tail.clear();
        return removed;
    }

    /** The entry with an idempotency key. */
    Optional<LogEntry> findByIdempotencyKey(String key) {
        return Optional.ofNullable(indexByKey.get(key)).map(index -> entries.get(index - 1));
    }

    /** Up to {@code maxEntries} entries after an index. */
    List<LogEntry> entriesAfter(int index, int maxEntries) {
        return List.copyOf(entries.subList(index, Math.min(entries.size(), index + maxEntries)));
    }

    /** The highest index below {@code belowIndex} whose entry's term is at most {@code term}; 0 when there is none. */
    int lastIndexWithTermAtMost(long term, long belowIndex) {
        int index = (int) Math.min(entries.size(), belowIndex - 1);
        while (index > 0 && positionAt(index).term() > term) {
            index--;
        }
        return index;
    }
}
