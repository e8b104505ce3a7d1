package org.hornbeamspread.core.failover;

import java.time.Clock;

/**
 * Decides whether a choice that rests on the count of copies waits for a database that may not be registered yet.
 *
 * <p>A database receives, and acknowledges, before control has its first announcement, which waits at each control member that doesn't
 * respond. Its commits are known from the reports of proxies. If a proxy is silent too, nobody may have told of the database: the choice
 * waits until the announcement must have arrived. Where all proxies or all control members respond, nothing is waited for. Confined to
 * one thread.
 */
final class RegistrationWait {
    /** Databases announce themselves at this interval. */
    private static final long ANNOUNCEMENT_INTERVAL_MS = 1_200;

    /** A database calls the next control member after this time without a response. */
    private static final long ANNOUNCEMENT_TIMEOUT_MS = 1_000;

    /** The primary may have acknowledged commits for this long after its latest proof: the interval of proofs and the latency between regions. */
    private static final long PROOF_INTERVAL_MS = 300;

    private final Clock clock;

    /** When this leader began: it does not know until when the primary worked before. */
    private final long leaderSinceMs;

    RegistrationWait(Clock clock) {
        this.clock = clock;
        this.leaderSinceMs = clock.millis();
    }

    /**
     * Whether a database that holds acknowledged commits may still be about to be registered.
     *
     * @param lastPrimaryProofAtMs the latest time at which the primary is known to have worked
     */
    boolean isRequired(SilentParties silent, long lastPrimaryProofAtMs) {
        if (silent.proxies().isEmpty() || silent.controlMembers().isEmpty()) {
            return false;
        }
        long sinceProofMs = clock.millis() - Math.max(leaderSinceMs, lastPrimaryProofAtMs);
        long sinceProxyMs = silent.proxies().stream()
                .mapToLong(SilentParties.SilentProxy::endedAgoMs)
                .min()
                .getAsLong();
        return Math.max(sinceProofMs, sinceProxyMs)
                <= limitMs(silent.controlMembers().size());
    }

    private static long limitMs(int silentMembers) {
        return PROOF_INTERVAL_MS + ANNOUNCEMENT_INTERVAL_MS + silentMembers * ANNOUNCEMENT_TIMEOUT_MS;
    }
}
