package org.hornbeamspread.core.failover;

import org.hornbeamspread.core.misc.LogPosition;

/**
 * Bounds of the position of the latest commit of a group that was acknowledged to a caller. The position in a response is the end of
 * the primary's log, which may have entries of other transactions that no replica holds yet.
 *
 * @param certain the lower bound: a log that ends before it lacks an acknowledged commit
 * @param possible the upper bound: a log that includes it has every acknowledged commit
 */
public record AcknowledgedCommits(LogPosition certain, LogPosition possible) {
    /** Nothing is known to be acknowledged. */
    public static final AcknowledgedCommits NONE = new AcknowledgedCommits(LogPosition.NONE, LogPosition.NONE);

    /** Raises the upper bound to the lower one. */
    public AcknowledgedCommits {
        possible = LogPosition.max(certain, possible);
    }

    /** The bounds of two observers together. */
    public static AcknowledgedCommits max(AcknowledgedCommits left, AcknowledgedCommits right) {
        return new AcknowledgedCommits(
                LogPosition.max(left.certain, right.certain), LogPosition.max(left.possible, right.possible));
    }
}
