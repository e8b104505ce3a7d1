package org.hornbeamspread.core.dissemination;

import java.time.Duration;
import java.time.Instant;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * The right to act on one version of the view until an instant, by the holder's own clock.
 *
 * @param leaderTerm the consensus term of the leader that granted it
 * @param viewVersion the version of the view that it is for
 * @param until the first instant at which it no longer holds
 */
public record Lease(long leaderTerm, long viewVersion, Instant expiresAt) {
    /** No lease at all. */
    public static final Lease NONE = new Lease(0, 0, Instant.EPOCH);

    /** Checks that term and version are not negative. */
    public Lease {
        if (leaderTerm < 0 || viewVersion < 0) {
            throw new FailureException(FailureType.INVALID_REQUEST, "lease of term " + leaderTerm);
        }
    }

    /** Whether it holds at an instant. */
    public boolean isValidAt(Instant now) {
        return now.isBefore(expiresAt);
    }

    /** How much is left at an instant; zero when it has run out. */
    public Duration remainingAt(Instant now) {
        return isValidAt(now) ? Duration.between(now, expiresAt) : Duration.ZERO;
    }

    /** Whether this lease is for a later view than another: by leader's term, then version. */
    public boolean isLaterThan(Lease other) {
        return leaderTerm != other.leaderTerm ? leaderTerm > other.leaderTerm : viewVersion > other.viewVersion;
    }
}
