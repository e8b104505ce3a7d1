package org.hornbeamspread.core.retry;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureType;

/**
 * Decides whether a failed attempt is retried, and after which backoff.
 *
 * <p>A failure that proves the statement did not run may be retried for every kind of statement. After an unknown
 * outcome a read or a keyed write may be retried, a write without a key never. Failures that another attempt can't
 * resolve, such as a malformed request or a conflict, are final. The backoff doubles with each attempt up to a maximum,
 * and an attempt that could not start before the deadline is not made.
 *
 * @param initialBackoff the backoff before the second attempt
 * @param maxBackoff the longest backoff
 */
public record RetryPolicy(Duration initialBackoff, Duration maxBackoff) {
    private static final int MAX_DOUBLINGS = 16;

    /** The statement did not run, and the state that caused the failure may have changed at another attempt. */
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

    /** The outcome is unknown; a retry is safe for a read, and for a write with an idempotency key. */
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
     * Whether another attempt counts against the retry budget, because the failed one may have caused work at a
     * database. An attempt that failed because of a new term does not count: that happens once for each term, however
     * loaded the databases are.
     */
    public static boolean consumesRetryBudget(FailureType type) {
        return type == FailureType.CONNECTION_LIMIT
                || (UNKNOWN_OUTCOME.contains(type) && type != FailureType.TERM_CHANGED_AFTER_SEND);
    }

    /**
     * The backoff before the next attempt; empty when no further attempt is made.
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
        Duration backoff = initialBackoff.multipliedBy(1L << Math.min(attempts - 1, MAX_DOUBLINGS));
        backoff = backoff.compareTo(maxBackoff) <= 0 ? backoff : maxBackoff;
        return backoff.compareTo(remaining) < 0 ? Optional.of(backoff) : Optional.empty();
    }
}
