package org.hornbeamspread.core.failover;

import com.google.common.hash.Hashing;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.membership.DatabaseRole;
import org.hornbeamspread.core.membership.DatabaseStatus;

/**
 * Selects the primary among the fenced databases, and stores an operator's handover request.
 *
 * <p>A fenced database is eligible when its log is at least as advanced as the logs of a quorum of fenced databases.
 * That quorum includes a holder of every acknowledged write, so an eligible database holds all of them. Eligible
 * databases are ranked in this order:
 *
 * <ol>
 *   <li>the database that the operator requested;
 *   <li>databases that are not departing, suspected or to be replaced;
 *   <li>the most advanced log, so that few log entries are discarded;
 *   <li>the region with the most members. This decides when logs are equal, as in a new group. In that region a quorum
 *       can acknowledge a write without a message between regions, and reads from the region's other failure domains
 *       have a nearby replica;
 *   <li>a hash of the database id, so that the primaries of the groups are spread over the failure domains.
 * </ol>
 *
 * <p>Confined to one thread.
 */
final class PrimarySelector {
    private final PromotionRules rules;

    /** The operator's pending handover request; null for none. */
    private HandoverRequest handoverRequest;

    PrimarySelector(PromotionRules rules) {
        this.rules = rules;
    }

    /** Stores a handover request, to the given database or to any database other than the current primary. */
    void requestHandover(Optional<String> databaseId) {
        handoverRequest = new HandoverRequest(databaseId);
    }

    /** Called when a promotion starts. A handover without a named target must not select the current primary again. */
    void onPromotionStarted(GroupRecord record, PromotionReason reason) {
        if (reason == PromotionReason.HANDOVER && handoverRequest != null && handoverRequest.targetId.isEmpty()) {
            handoverRequest.replacedPrimaryId = record.primaryId();
        }
    }

    /** Called when a promotion is completed. Drops the handover request, whether or not the promotion satisfied it. */
    void onPromotionCompleted() {
        handoverRequest = null;
    }

    /** Whether the primary departs or a handover was requested, and a replica can take over. */
    boolean isHandoverDue(FailoverInput input) {
        Optional<String> primaryId = input.record().primaryId();
        if (handoverRequest != null
                && handoverRequest.targetId.isPresent()
                && handoverRequest.targetId.equals(primaryId)) {
            handoverRequest = null;
        }
        boolean departing = primaryId.filter(input.departing()::contains).isPresent();
        return (departing || handoverRequest != null) && hasCandidate(input);
    }

    /** The highest ranked eligible database among the fenced ones; absent when none is eligible. */
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

    /** Whether a trusted replica that is neither suspected nor departing could take over from the current primary. */
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
        boolean toBeReplaced = handoverRequest != null
                && handoverRequest
                        .replacedPrimaryId
                        .filter(status.databaseId()::equals)
                        .isPresent();
        return toBeReplaced
                || input.departing().contains(status.databaseId())
                || input.suspected().containsKey(status.databaseId());
    }

    /** An operator's request to replace the primary. */
    private static final class HandoverRequest {
        /** The requested primary; empty for any database other than the current primary. */
        private final Optional<String> targetId;

        /** The primary to be replaced; empty until the promotion starts, or when a target is named. */
        private Optional<String> replacedPrimaryId = Optional.empty();

        HandoverRequest(Optional<String> databaseId) {
            this.targetId = databaseId;
        }
    }
}
