package org.hornbeamspread.core.routing;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * Decides which database serves a read.
 *
 * <p>A replica is eligible when it has applied the session's position and its proven staleness is within the allowance.
 * Of the eligible replicas the nearest is selected: own failure domain, own region, other region. Equally near replicas
 * are balanced by the statements that wait there. The primary serves when no replica is eligible, or when the only
 * eligible replica is in another region and the primary is not.
 *
 * <p>A session that reads right after a write finds all replicas slightly behind. When a near replica usually catches
 * up within the maximum wait, and sooner than a round trip to a primary in another region takes, the read waits for that
 * replica, which leaves the primary's slots to writes. A read waits at most once; after the wait the primary serves it.
 *
 * @param maxCatchUpWait the longest wait for a replica to catch up
 * @param crossRegionRoundTrip the additional latency of a primary in another region over a near replica
 */
public record ReadRouter(Duration maxCatchUpWait, Duration crossRegionRoundTrip) {
    private static final Comparator<ReadCandidate> NEAREST = Comparator.comparing(ReadCandidate::proximity)
            .thenComparing(ReadCandidate::waitingStatements)
            .thenComparing(ReadCandidate::databaseId);

    /**
     * Selects the database for one read.
     *
     * @param candidates the group's databases
     * @param minPosition the position that a replica must have applied
     * @param allowance the maximum staleness; zero allows only the primary
     * @param mayWait whether the read may wait for a replica; false once it has waited
     */
    public ReadDecision decide(
            List<ReadCandidate> candidates, LogPosition minPosition, Duration allowance, boolean mayWait) {
        Optional<ReadCandidate> primary = candidates.stream()
                .filter(candidate -> candidate.primary() && candidate.usable())
                .findFirst();
        Optional<ReadCandidate> replica = candidates.stream()
                .filter(candidate -> isFreshEnough(candidate, allowance))
                .filter(candidate -> candidate.applied().covers(minPosition))
                .min(NEAREST);
        if (replica.isPresent() && !isPrimaryNearer(primary, replica.get())) {
            return new ReadDecision.Replica(replica.get().databaseId());
        }
        Optional<ReadCandidate> laggingReplica =
                mayWait ? replicaToWaitFor(candidates, allowance, primary) : Optional.empty();
        if (laggingReplica.isPresent()) {
            return new ReadDecision.WaitForReplica(laggingReplica.get().databaseId(), maxCatchUpWait);
        }
        if (primary.isPresent()) {
            return new ReadDecision.Primary(primary.get().databaseId());
        }
        return replica.<ReadDecision>map(candidate -> new ReadDecision.Replica(candidate.databaseId()))
                .orElseGet(() -> new ReadDecision.Refuse(FailureType.NO_REPLICA_IN_TIME));
    }

    private static boolean isFreshEnough(ReadCandidate candidate, Duration allowance) {
        return !candidate.primary()
                && candidate.usable()
                && candidate.stalenessBound().isPresent()
                && !allowance.isZero()
                && candidate.stalenessBound().get().compareTo(allowance) <= 0;
    }

    private static boolean isPrimaryNearer(Optional<ReadCandidate> primary, ReadCandidate replica) {
        return replica.proximity() == Proximity.OTHER_REGION
                && primary.isPresent()
                && primary.get().proximity() != Proximity.OTHER_REGION;
    }

    private Optional<ReadCandidate> replicaToWaitFor(
            List<ReadCandidate> candidates, Duration allowance, Optional<ReadCandidate> primary) {
        Duration limit = primary.isPresent() && primary.get().proximity() == Proximity.OTHER_REGION
                ? min(crossRegionRoundTrip, maxCatchUpWait)
                : maxCatchUpWait;
        return candidates.stream()
                .filter(candidate -> isFreshEnough(candidate, allowance))
                .filter(candidate -> candidate.proximity() != Proximity.OTHER_REGION)
                .filter(candidate -> candidate.typicalLag().isPresent()
                        && candidate.typicalLag().get().compareTo(limit) <= 0)
                .min(NEAREST);
    }

    private static Duration min(Duration left, Duration right) {
        return left.compareTo(right) <= 0 ? left : right;
    }
}
