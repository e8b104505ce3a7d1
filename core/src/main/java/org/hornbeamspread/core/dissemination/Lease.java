package org.hornbeamspread.core.dissemination;

import java.time.Duration;
import java.time.Instant;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * Permission to act on one version of the view until an instant on the holder's own clock.
 *
 * @param leaderTerm the consensus term of the leader that granted it
 * @param viewVersion the version of the view that the lease is for
 * @param expiresAt the first instant at which the lease is no longer valid
 */
public record Lease(long leaderTerm, long viewVersion, Instant expiresAt) {
    /** The absence of a lease; not valid at any instant. */
    public static final Lease NONE = new Lease(0, 0, Instant.EPOCH);

    /** Checks that the term and the version are not negative. */
    public Lease {
        if (leaderTerm < 0 || viewVersion < 0) {
            throw new FailureException(
                    FailureType.INVALID_REQUEST,
                    "the leader term or the view version of a lease is negative; leader term " + leaderTerm);
        }
    }

    /** Whether the lease is valid at an instant. */
    public boolean isValidAt(Instant now) {
        return now.isBefore(expiresAt);
    }

    /** The remaining duration at an instant; zero if the lease has expired. */
    public Duration remainingAt(Instant now) {
        return isValidAt(now) ? Duration.between(now, expiresAt) : Duration.ZERO;
    }

    /** Whether this lease is for a later view than another, compared by the leader's term, then by version. */
    public boolean isLaterThan(Lease other) {
        return leaderTerm != other.leaderTerm ? leaderTerm > other.leaderTerm : viewVersion > other.viewVersion;
    }
}
