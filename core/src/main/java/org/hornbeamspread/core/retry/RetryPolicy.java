package org.hornbeamspread.core.retry;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureType;

/**
 * Decides whether a failed attempt is sent again, and after what pause.
 *
 * <p>A failure that proves the statement did not run may be retried for every kind of statement. After an unknown
 * outcome a read or a keyed write may be retried, a write without a key never. Failures that another attempt can't mend,
 * such as a malformed request or a conflict, are final. The pause doubles with each attempt up to a limit, and an attempt
 * that could not start before the deadline is not made.
 *
 * @param firstBackoff the pause before the second attempt
 * @param maxBackoff the longest pause
 */
public record RetryPolicy(Duration initialBackoff, Duration maxBackoff) {
    private static final int MAX_DOUBLINGS = 16;

    /** Not run, and another attempt may find another state. */
    private static final Set<FailureType> TRANSIENT = EnumSet.of(
            FailureType.NO_VIEW,
            FailureType.VIEW_EXPIRED,
            FailureType.NO_PRIMARY,
            FailureType.NO_REPLICA_IN_TIME,
            FailureType.DATABASE_UNREACHABLE,
            FailureType.DEPARTING,
            FailureType.WRONG_TERM,
            FailureType.WRONG_HOLDER,
            FailureType.NOT_PRIMARY,
            FailureType.CONNECTION_LIMIT,
            FailureType.CONNECTION_REFUSED);

    /** Unknown, and the statement's own key or its lack of effect makes another attempt safe. */
    private static final Set<FailureType> UNKNOWN_OUTCOME = EnumSet.of(
            FailureType.TIMEOUT_AFTER_SEND,
            FailureType.CONNECTION_LOST_AFTER_SEND,
            FailureType.TERM_CHANGED_AFTER_SEND,
            FailureType.LEASE_LOST_AFTER_SEND,
            FailureType.NO_QUORUM_IN_TIME,
            FailureType.CONNECTION_LOST,
            FailureType.REQUEST_TIMEOUT);

    /** Whether a failure allows another attempt at all. */
    public static boolean isRetryable(FailureType type, StatementKind kind) {
        if (type.effect() == Effect.NOT_RUN) {
            return TRANSIENT.contains(type);
        }
        return kind != StatementKind.UNKEYED_WRITE && UNKNOWN_OUTCOME.contains(type);
    }

    /**
     * Whether another attempt counts against the retry budget: the failed one may have cost a database work. An attempt
     * that a new term overtook does not count: that happens once for each term, however loaded the databases are.
     */
    public static boolean consumesRetryBudget(FailureType type) {
        return type == FailureType.CONNECTION_LIMIT
                || (UNKNOWN_OUTCOME.contains(type) && type != FailureType.TERM_CHANGED_AFTER_SEND);
    }

    /**
     * The pause before the next attempt; empty when there is none.
     *
     * @param type the failure of the last attempt
     * @param kind the statement's kind
     * @param attempts attempts made so far, from 1
     * @param remaining time until the deadline
     */
    public Optional<Duration> nextBackoff(FailureType type, StatementKind kind, int attempts, Duration remaining) {
        if (!isRetryable(type, kind)) {
            return Optional.empty();
        }
        Duration pause = initialBackoff.multipliedBy(1L << Math.min(attempts - 1, MAX_DOUBLINGS));
        pause = pause.compareTo(maxBackoff) <= 0 ? pause : maxBackoff;
        return pause.compareTo(remaining) < 0 ? Optional.of(pause) : Optional.empty();
    }
}
