package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.util.Optional;
import org.hornbeamspread.core.sql.ReplicaStatus;

/**
 * Tracks whether the latest accepted promotion has taken effect. The promoted instance leads some time after the platform has accepted
 * the request. Its announcement that it leads may come from another writer; what shows it is a response of the instance as the
 * primary, or a proof that was obtained since. Confined to one thread.
 */
final class PromotionTakeover {
    private final Clock clock;
    private final SyncFailoverTimings timings;
    private final FencingState fencing;

    /** The token of the latest promotion that this leader observed as concluded; -1 before the first. */
    private long concludedToken = -1;

    /** When that promotion was accepted, or first observed as accepted; far in the past if none was requested. */
    private long acceptedAtMs;

    /** Whether the takeover has not ended yet. */
    private boolean pending;

    private boolean leadObserved;

    PromotionTakeover(Clock clock, SyncFailoverTimings timings, FencingState fencing) {
        this.clock = clock;
        this.timings = timings;
        this.fencing = fencing;
    }

    /** Begins the takeover of a promotion that was accepted. */
    void begin(long token) {
        concludedToken = token;
        acceptedAtMs = clock.millis();
        pending = true;
        leadObserved = false;
    }

    /** Handles a promotion that is concluded without a request, since the primary stays the same. */
    void skip(long token) {
        concludedToken = token;
        acceptedAtMs = clock.millis() - timings.promotionTimeoutMs() - 1;
    }

    /** Handles the state of a group whose latest promotion is concluded. */
    void update(GroupSnapshot snapshot) {
        if (concludedToken != snapshot.token()) {
            begin(snapshot.token());
        }
        leadObserved |= snapshot.promotedMember()
                .filter(member -> isLeadObserved(snapshot, member))
                .isPresent();
    }

    /** Whether the accepted request may still be about to take effect. */
    boolean mayTakeEffect() {
        return clock.millis() - acceptedAtMs <= timings.promotionTimeoutMs();
    }

    /**
     * Whether the promoted instance does not lead yet. An instance that departs in the meantime takes over as long as its process runs.
     *
     * @param ownPromotion whether this leader requested the promotion, so that only what was observed since then counts
     */
    boolean isPromotedNotLeading(GroupSnapshot snapshot, boolean ownPromotion) {
        boolean memberNotLeading = snapshot.promotedMember()
                .filter(member -> !member.primary()
                        || (ownPromotion && (!leadObserved || member.silentMs() >= clock.millis() - acceptedAtMs)))
                .isPresent();
        return memberNotLeading
                || snapshot.chosenId().filter(fencing::isDepartedAndRunning).isPresent();
    }

    /** Ends the takeover. Returns whether it was pending until now, and longer than an instant. */
    boolean end() {
        boolean waited = pending && acceptedAtMs < clock.millis();
        pending = false;
        return waited;
    }

    /** Whether the promoted instance has not responded as the primary yet, while its promotion may still be about to take effect. */
    boolean awaitsObservedLead(GroupSnapshot snapshot) {
        return !leadObserved && mayTakeEffect() && snapshot.promotedMember().isPresent();
    }

    /** Whether an instance was observed to lead since it was promoted under the latest token, so that a demotion before no longer holds. */
    boolean hasTakenOver(GroupSnapshot snapshot, String instanceId) {
        return leadObserved
                && snapshot.concluded()
                && concludedToken == snapshot.token()
                && snapshot.chosenId().equals(Optional.of(instanceId));
    }

    /** Whether an instance has responded as the primary to a status request, or has proven that it leads since the promotion was accepted. */
    boolean isLeadObserved(GroupSnapshot snapshot, MemberView member) {
        boolean proven = snapshot.observedPrimaryId().equals(Optional.of(member.instanceId()))
                && clock.millis() - snapshot.primaryProofAgeMs() >= acceptedAtMs;
        return proven
                || fencing.recentStatus(member.instanceId())
                        .filter(ReplicaStatus::primary)
                        .isPresent();
    }
}
