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
    /** A database that announced its departure acknowledges until its process ends: it may wait 1 s for a response, and retry. */
    private static final long DEPARTURE_GRACE_MS = 2_000;

    private final Clock clock;
    private final SyncFailoverTimings timings;

    /** The time from which each lost copy certainly acknowledges nothing. */
    private final Map<LostCopy, Long> lostAtMs = new HashMap<>();

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
        lostAtMs.keySet().retainAll(snapshot.lostCopies());
        for (LostCopy copy : snapshot.lostCopies()) {
            long graceMs = snapshot.departedCopies().contains(copy) ? DEPARTURE_GRACE_MS : 0;
            lostAtMs.putIfAbsent(copy, clock.millis() + graceMs);
        }
        snapshot.members().stream()
                .filter(member -> !isSilent(member))
                .forEach(member -> onResponse(member.instanceId()));
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

    /** Whether a check is due: a copy is lost, or a member is silent and the last check is too old. */
    boolean isCheckDue(GroupSnapshot snapshot) {
        boolean intervalElapsed = clock.millis() - coveredUntilMs >= timings.coverageCheckIntervalMs();
        return !lostAtMs.isEmpty()
                || (intervalElapsed && snapshot.members().stream().anyMatch(this::isSilent));
    }

    /** Compares the positions that replicas have received with the position that the primary had after the latest loss. */
    void check(GroupSnapshot snapshot, Collection<LogPosition> received) {
        if (target.isEmpty()) {
            target = snapshot.primaryProof()
                    .filter(proof -> proof.requestedAtMs() > Math.max(coveredUntilMs, latestLossMs()));
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
        lostAtMs.forEach((copy, copyLostAtMs) -> {
            if (coveredUntilMs > copyLostAtMs) {
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

    private long latestLossMs() {
        return lostAtMs.values().stream().mapToLong(Long::longValue).max().orElse(Long.MIN_VALUE / 2);
    }
}
