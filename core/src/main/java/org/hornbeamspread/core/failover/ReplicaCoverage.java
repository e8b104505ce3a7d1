package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.failover.SyncGroupFailover.GroupSnapshot;
import org.hornbeamspread.core.failover.SyncGroupFailover.MemberView;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.LostCopy;

/**
 * Determines up to which time every acknowledged commit is held by the primary and a present replica.
 *
 * <p>An acknowledged commit is held by the primary and at least one replica. When that replica's log is lost, or the replica is
 * unreachable and may have lost its log, the primary alone holds the commit, and a fencing quorum without the primary proves
 * nothing. The quorum is a proof again once another replica has received the position that the primary had after the loss.
 * Confined to one thread.
 */
final class ReplicaCoverage {
    private final Clock clock;
    private final SyncFailoverTimings timings;

    /**
     * The time at which each lost copy's process was first observed to have ended. A copy without an entry may still acknowledge
     * commits: a database that has departed runs until it has received the response to its departure, or longer.
     */
    private final Map<LostCopy, Long> endedAtMs = new HashMap<>();

    /** The time since which connections to a member are refused, with no response or announcement from the member. */
    private final Map<String, Long> refusedSinceMs = new HashMap<>();

    private final Map<String, Long> refusedAtMs = new HashMap<>();

    /** The proof whose position a replica has yet to receive. */
    private Optional<PrimaryProof> target = Optional.empty();

    /** The primary and a present replica hold all commits acknowledged before this time; far in the past at first. */
    private long coveredUntilMs = Long.MIN_VALUE / 2;

    ReplicaCoverage(Clock clock, SyncFailoverTimings timings) {
        this.clock = clock;
        this.timings = timings;
    }

    /** Updates the lost copies, and the members that announce themselves again. */
    void updateLosses(GroupSnapshot snapshot) {
        endedAtMs.keySet().retainAll(snapshot.lostCopies());
        snapshot.lostCopies().stream()
                .filter(copy -> !snapshot.departedCopies().contains(copy))
                .forEach(this::onProcessEnded);
        snapshot.members().stream()
                .filter(member -> !isSilent(member))
                .forEach(member -> onResponse(member.instanceId()));
    }

    /** Handles the observation that the process of a lost copy has ended. */
    void onProcessEnded(LostCopy copy) {
        endedAtMs.putIfAbsent(copy, clock.millis());
    }

    /** The departed databases whose process may still run. */
    List<LostCopy> possiblyRunningCopies(GroupSnapshot snapshot) {
        return snapshot.departedCopies().stream()
                .filter(copy -> !endedAtMs.containsKey(copy))
                .toList();
    }

    /** Handles a connection refused at a member's address, which shows that the member's process has ended. */
    void onConnectionRefused(String instanceId) {
        refusedSinceMs.putIfAbsent(instanceId, clock.millis());
        refusedAtMs.put(instanceId, clock.millis());
    }

    void onResponse(String instanceId) {
        refusedSinceMs.remove(instanceId);
        refusedAtMs.remove(instanceId);
    }

    /** Whether a check is due: the process of a lost copy has ended, or a member is silent and the last check is too old. */
    boolean isCheckDue(GroupSnapshot snapshot) {
        boolean intervalElapsed = clock.millis() - coveredUntilMs >= timings.coverageCheckIntervalMs();
        return !endedAtMs.isEmpty()
                || (intervalElapsed && snapshot.members().stream().anyMatch(this::isSilent));
    }

    /** Compares the positions that replicas have received with the position that the primary had after the latest end of a lost copy. */
    void check(GroupSnapshot snapshot, Collection<LogPosition> received) {
        if (target.isEmpty()) {
            target = snapshot.primaryProof()
                    .filter(proof -> proof.requestedAtMs() > Math.max(coveredUntilMs, latestEndMs()));
        }
        if (target.isPresent()
                && received.stream()
                        .anyMatch(position -> position.covers(target.get().position()))) {
            coveredUntilMs = target.get().requestedAtMs();
            target = Optional.empty();
        }
    }

    /** The lost copies that no acknowledged commit depends on any more. */
    List<LostCopy> recoveredCopies() {
        List<LostCopy> recovered = new ArrayList<>();
        endedAtMs.forEach((copy, copyEndedAtMs) -> {
            if (coveredUntilMs > copyEndedAtMs) {
                recovered.add(copy);
            }
        });
        return recovered;
    }

    /**
     * Whether a member need not be fenced: its process has ended, and other members hold every commit that it may have
     * acknowledged. Silence alone does not prove that, because a database that control cannot reach may continue to acknowledge.
     */
    boolean needsNoFencing(MemberView member) {
        Long sinceMs = refusedSinceMs.get(member.instanceId());
        return isSilent(member)
                && sinceMs != null
                && sinceMs < coveredUntilMs
                && clock.millis() - refusedAtMs.get(member.instanceId()) <= 2 * timings.coverageCheckIntervalMs();
    }

    boolean isSilent(MemberView member) {
        return member.silentMs() > timings.silenceMs();
    }

    private long latestEndMs() {
        return endedAtMs.values().stream().mapToLong(Long::longValue).max().orElse(Long.MIN_VALUE / 2);
    }
}
