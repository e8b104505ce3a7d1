package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.util.Optional;

/**
 * The seal of a promotion: proxies acknowledge no commit of the primary that is being replaced. A primary that control reaches is demoted
 * instead, after which it commits nothing more; callers then get the results of the commits in flight. Confined to one thread.
 */
public final class PromotionSeal {
    /** A proxy that has not reported its commits this long after the seal began is not waited for. */
    private static final long REPORT_TIMEOUT_MS = 400;

    /** Proxies find a new leader within this time: a request to the previous one times out after 1.3 s, of which the election took half a second. */
    public static final long NEW_LEADER_REPORT_TIMEOUT_MS = 1_000;

    private final Clock clock;
    private final FencingState fencing;

    /** When this leader began; it has no reports then. */
    private final long leaderSinceMs;

    private long beganAtMs;
    private boolean active;

    /** The committed token of the promotion; 0 before the first. */
    private long token;

    private long logTerm;

    PromotionSeal(Clock clock, FencingState fencing) {
        this.clock = clock;
        this.fencing = fencing;
        this.leaderSinceMs = clock.millis();
    }

    /** Begins a promotion whose token is not committed yet. A seal of the previous token stays in force until then. */
    void reset(GroupSnapshot snapshot, boolean earlierPromotionPending) {
        token = active ? token : 0;
        active = earlierPromotionPending;
        logTerm = provenTerm(snapshot);
    }

    /** Handles the end of the promotion: the promoted instance leads, or the primary stays the same. */
    void end() {
        active = false;
    }

    /**
     * Handles a step between the commit of the token and the choice. The term is not raised after the choice, since the promoted instance leads a later one.
     *
     * @param demotionExpected whether control reaches the primary, and its demotion is awaited
     */
    void update(GroupSnapshot snapshot, boolean demotionExpected) {
        boolean wasInForce = seal().isPresent() && token == snapshot.token();
        token = snapshot.token();
        active |= fencing.demotedId().isEmpty() && !demotionExpected;
        logTerm = Math.max(logTerm, Math.max(provenTerm(snapshot), fencing.highestReportedTerm()));
        if (active && !wasInForce) {
            beganAtMs = clock.millis();
        }
    }

    /** Whether proxies may still acknowledge commits that they have not reported. */
    boolean awaitsReports(GroupSnapshot snapshot) {
        long nowMs = clock.millis();
        boolean withinTimeout =
                nowMs - beganAtMs <= REPORT_TIMEOUT_MS || nowMs - leaderSinceMs <= NEW_LEADER_REPORT_TIMEOUT_MS;
        return active && snapshot.commitReports().pending() && withinTimeout;
    }

    /**
     * The seal in force. One under a token that is never committed would have no end that proxies can observe: the group's next promotion would
     * have the same token.
     */
    Optional<Seal> seal() {
        return active && token > 0 ? Optional.of(new Seal(token, logTerm)) : Optional.empty();
    }

    private static long provenTerm(GroupSnapshot snapshot) {
        return snapshot.primaryProof().map(proof -> proof.position().term()).orElse(0L);
    }
}
