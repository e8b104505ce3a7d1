package org.hornbeamspread.core.failover;

import com.google.common.hash.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.membership.DatabaseRole;
import org.hornbeamspread.core.membership.DatabaseStatus;

/**
 * Chooses a primary among fenced databases, and keeps an operator's wish for one.
 *
 * <p>Any fenced database may be chosen whose log comes before none of a quorum of fenced ones: that quorum includes a
 * holder of every acknowledged write, so the candidate holds them all. Among these a wished one goes first, then one that
 * is not departing, lost or to be replaced, then the one whose log comes last, so that little is set aside. Of equals, as in
 * a new group, one in the region with most members: there a quorum holds a write without a message over the link between
 * regions, and the reads of the other failure domains have a replica near. What is equal still is spread by a hash of the
 * names, so that not all groups' primaries share a failure domain. Confined to one thread.
 */
final class PrimarySelector {
    private final PromotionRules rules;

    /** An operator's wish for another primary; null for none. */
    private HandoverRequest handoverRequest;

    PrimarySelector(PromotionRules rules) {
        this.rules = rules;
    }

    /** Keeps a wish: for a certain database, or for any other than the present primary. */
    void requestHandover(Optional<String> databaseId) {
        handoverRequest = new HandoverRequest(databaseId);
    }

    /** A promotion starts; one for a wish without a name is for another than the present primary. */
    void onPromotionStarted(GroupRecord record, PromotionReason reason) {
        if (reason == PromotionReason.HANDOVER && handoverRequest != null && handoverRequest.targetId.isEmpty()) {
            handoverRequest.replacedPrimaryId = record.primaryId();
        }
    }

    /** A promotion is finished; the wish is served, or can't be. */
    void onPromotionCompleted() {
        handoverRequest = null;
    }

    /** Whether the primary departs or another one is wished, and there is one to take over. */
    boolean isHandoverDue(FailoverInput input) {
        Optional<String> primaryId = input.record().primaryId();
        if (handoverRequest != null
                && handoverRequest.targetId.isPresent()
                && handoverRequest.targetId.equals(primaryId)) {
            handoverRequest = null;
        }
        boolean departs = primaryId.filter(input.departing()::contains).isPresent();
        return (departs || handoverRequest != null) && hasCandidate(input);
    }

    /** The best of the fenced databases that may be chosen; absent when none may. */
    Optional<DatabaseStatus> choose(FailoverInput input, List<DatabaseStatus> fenced) {
        Comparator<DatabaseStatus> order = rules.promotionOrder();
        int quorum = rules.fenceQuorum(input.declaredDatabases());
        Comparator<DatabaseStatus> preference = Comparator.comparing(this::isRequested)
                .thenComparing(status -> !isAvoided(input, status))
                .thenComparing(order)
                .thenComparing(status -> input.liveMembersInRegion(status.databaseId()))
                .thenComparing(PrimarySelector::tieBreakHash)
                .thenComparing(DatabaseStatus::databaseId, Comparator.reverseOrder());
        return fenced.stream()
                .filter(candidate -> fenced.stream()
                                .filter(other -> order.compare(other, candidate) <= 0)
                                .count()
                        >= quorum)
                .max(preference);
    }

    /** Whether a trusted live replica could take over from the present primary. */
    private boolean hasCandidate(FailoverInput input) {
        return input.members().stream()
                .filter(status -> input.record()
                        .primaryId()
                        .filter(status.databaseId()::equals)
                        .isEmpty())
                .filter(status -> status.role() == DatabaseRole.REPLICA && !isAvoided(input, status))
                .anyMatch(status -> rules.isTrusted(status, input.registration(status.databaseId()), input.record()));
    }

    private static long tieBreakHash(DatabaseStatus status) {
        return Hashing.murmur3_128().hashUnencodedChars(status.databaseId()).asLong();
    }

    private boolean isRequested(DatabaseStatus status) {
        return handoverRequest != null
                && handoverRequest.targetId.filter(status.databaseId()::equals).isPresent();
    }

    private boolean isAvoided(FailoverInput input, DatabaseStatus status) {
        boolean replaced = handoverRequest != null
                && handoverRequest
                        .replacedPrimaryId
                        .filter(status.databaseId()::equals)
                        .isPresent();
        return replaced
                || input.departing().contains(status.databaseId())
                || input.suspected().containsKey(status.databaseId());
    }

    /** An operator's wish. */
    private static final class HandoverRequest {
        /** The wished primary; empty for any other than the present one. */
        private final Optional<String> targetId;

        /** The primary that is to be replaced; empty until the promotion starts. */
        private Optional<String> replacedPrimaryId = Optional.empty();

        HandoverRequest(Optional<String> databaseId) {
            this.targetId = databaseId;
        }
    }
}
