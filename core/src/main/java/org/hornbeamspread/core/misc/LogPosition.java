package org.hornbeamspread.core.misc;

import java.util.Comparator;

/**
 * A position in a database group's log: the term of the last entry and its index in entries. Positions are
 * ordered by term first: any entry of a later term follows all entries of earlier terms.
 *
 * @param term the term of the entry, 0 for an empty log
 * @param indexEntries the index of the entry, 0 for an empty log
 */
public record LogPosition(long term, long indexEntries) implements Comparable<LogPosition> {
    /** The position of an empty log. */
    public static final LogPosition NONE = new LogPosition(0, 0);

    private static final Comparator<LogPosition> ORDER =
            Comparator.comparingLong(LogPosition::term).thenComparingLong(LogPosition::indexEntries);

    /** Checks that both parts are non-negative. */
    public LogPosition {
        if (term < 0 || indexEntries < 0) {
            throw new FailureException(FailureType.INVALID_POSITION, term + ":" + indexEntries);
        }
    }

    @Override
    public int compareTo(LogPosition other) {
        return ORDER.compare(this, other);
    }

    /** Whether a log that ends at this position includes all entries of a log that ends at {@code other}. */
    public boolean covers(LogPosition other) {
        return compareTo(other) >= 0;
    }

    /** The later of two positions. */
    public static LogPosition max(LogPosition left, LogPosition right) {
        return left.covers(right) ? left : right;
    }
}
