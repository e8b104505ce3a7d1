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
 * <p>A replica may serve when it has applied the session's position and its proven age is within the allowance. Of
 * those, the nearest wins: own failure domain, own region, other region; equals share by the statements that wait
 * there. The primary serves when no replica may, or when the only eligible replica is behind the link between regions
 * and the primary is not.
 *
 * <p>A session that reads right after it wrote finds all replicas a little behind. When a near replica usually
 * catches up within the waiting limit, and sooner than a round trip to a farther primary takes, the read waits for it
 * instead; the primary then keeps its slots for writes. The wait happens once; after it the primary serves.
 *
 * @param catchUpWait the longest wait for a replica
 * @param regionRoundTrip what a primary in another region costs more than a near replica
 */
public record ReadRouter(Duration maxCatchUpWait, Duration crossRegionRoundTrip) {
    private static final Comparator<ReadCandidate> NEAREST = Comparator.comparing(ReadCandidate::proximity)
            .thenComparing(ReadCandidate::waitingStatements)
            .thenComparing(ReadCandidate::databaseId);

    /**
     * Decides for one read.
     *
     * @param candidates the group's databases
     * @param floor the position that must have been applied
     * @param allowance how old the state may be; zero allows only the primary
     * @param mayWait false once the read has waited
     */
    public ReadDecision decide(List<ReadCandidate> candidates, LogPosition floor, Duration allowance, boolean mayWait) {
        Optional<ReadCandidate> primary = candidates.stream()
                .filter(candidate -> candidate.primary() && candidate.usable())
                .findFirst();
        Optional<ReadCandidate> replica = candidates.stream()
                .filter(candidate -> isFreshEnough(candidate, allowance))
                .filter(candidate -> candidate.applied().covers(floor))
                .min(NEAREST);
        if (replica.isPresent() && !isPrimaryNearer(primary, replica.get())) {
            return new ReadDecision.Replica(replica.get().databaseId());
        }
        Optional<ReadCandidate> behind = mayWait ? replicaToWaitFor(candidates, allowance, primary) : Optional.empty();
        if (behind.isPresent()) {
            return new ReadDecision.WaitForReplica(behind.get().databaseId(), maxCatchUpWait);
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
