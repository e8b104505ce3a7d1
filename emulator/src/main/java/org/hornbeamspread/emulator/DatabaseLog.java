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

/** The entries of a database's log in memory, with an index by idempotency key. Entry indexes start at 1. */
final class DatabaseLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private final Map<String, Integer> indexByKey = new HashMap<>();

    /** The number of entries, which is the index of the last one. */
    int size() {
        return entries.size();
    }

    /** The position of the last entry. */
    LogPosition lastPosition() {
        return positionAt(entries.size());
    }

    /** The position of an entry by index; NONE for 0. */
    LogPosition positionAt(int index) {
        return index == 0
                ? LogPosition.NONE
                : Envelopes.position(entries.get(index - 1).getPosition());
    }

    /** Whether the log holds an entry at this position. The start of the log is held by every log. */
    boolean contains(LogPosition position) {
        return position.indexEntries() <= entries.size()
                && positionAt((int) position.indexEntries()).equals(position);
    }

    /** Adds the next entry. Fails with INVALID_POSITION when it does not follow the last one. */
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

    /** Removes every entry behind an index and returns them. */
    List<LogEntry> truncate(int lastIndex) {
        List<LogEntry> tail = entries.subList(lastIndex, entries.size());
        List<LogEntry> cut = List.copyOf(tail);
        cut.forEach(entry -> indexByKey.remove(entry.getIdempotencyKey()));
        tail.clear();
        return cut;
    }

    /** The entry with an idempotency key. */
    Optional<LogEntry> findByIdempotencyKey(String key) {
        return Optional.ofNullable(indexByKey.get(key)).map(index -> entries.get(index - 1));
    }

    /** Up to {@code maxEntries} entries behind an index. */
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
