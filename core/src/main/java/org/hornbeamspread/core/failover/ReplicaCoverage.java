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
 * Whether a present replica holds all that was acknowledged up to some moment.
 *
 * <p>An acknowledged commit is held by the primary and at least one replica. When that replica's log is lost, or the replica is
 * out of reach and may be gone, the primary alone holds the commit, and a fencing quorum without the primary proves nothing. It
 * does again once another replica has received the position that the primary had after the loss. Confined to one thread.
 */
final class ReplicaCoverage {
    /** A database that announced its departure acknowledges until its process ends: it may wait a second for an answer, and ask again. */
    private static final long DEPARTURE_GRACE_MS = 2_000;

    private final Clock clock;
    private final SyncFailoverTimings timings;

    /** From when each lost copy surely acknowledges nothing. */
    private final Map<LostCopy, Long> lostAtMs = new HashMap<>();

    /** Since when connections to a member are refused without an answer or an announcement from it. */
    private final Map<String, Long> refusedSinceMs = new HashMap<>();

    private final Map<String, Long> refusedAtMs = new HashMap<>();

    /** What a replica has yet to receive. */
    private Optional<PrimaryProof> target = Optional.empty();

    /** All that was acknowledged before is held by the primary and a present replica; long ago before the first check. */
    private long coveredUntilMs = Long.MIN_VALUE / 2;

    ReplicaCoverage(Clock clock, SyncFailoverTimings timings) {
        this.clock = clock;
        this.timings = timings;
    }

    /** Takes over what is lost at present. */
    void updateLosses(GroupSnapshot situation) {
        lostAtMs.keySet().retainAll(situation.lostCopies());
        for (LostCopy copy : situation.lostCopies()) {
            long endsInMs = situation.departedCopies().contains(copy) ? DEPARTURE_GRACE_MS : 0;
            lostAtMs.putIfAbsent(copy, clock.millis() + endsInMs);
        }
        situation.members().stream()
                .filter(member -> !isSilent(member))
                .forEach(member -> onResponse(member.instanceId()));
    }

    /** A member's address refused a connection: its process has ended. */
    void onConnectionRefused(String instanceId) {
        refusedSinceMs.putIfAbsent(instanceId, clock.millis());
        refusedAtMs.put(instanceId, clock.millis());
    }

    void onResponse(String instanceId) {
        refusedSinceMs.remove(instanceId);
        refusedAtMs.remove(instanceId);
    }

    /** Whether there is anything to find out now. */
    boolean isCheckDue(GroupSnapshot situation) {
        boolean renewal = clock.millis() - coveredUntilMs >= timings.coverageCheckIntervalMs();
        return !lostAtMs.isEmpty() || (renewal && situation.members().stream().anyMatch(this::isSilent));
    }

    /** Compares what replicas have received to what the primary had. */
    void check(GroupSnapshot situation, Collection<LogPosition> received) {
        if (target.isEmpty()) {
            target = situation
                    .primaryProof()
                    .filter(proof -> proof.requestedAtMs() > Math.max(coveredUntilMs, latestLossMs()));
        }
        if (target.isPresent()
                && received.stream()
                        .anyMatch(position -> position.covers(target.get().position()))) {
            coveredUntilMs = target.get().requestedAtMs();
            target = Optional.empty();
        }
    }

    /** The lost copies without which no acknowledged commit is missed any more. */
    List<LostCopy> recoveredCopies() {
        List<LostCopy> recovered = new ArrayList<>();
        lostAtMs.forEach((copy, atMs) -> {
            if (coveredUntilMs > atMs) {
                recovered.add(copy);
            }
        });
        return recovered;
    }

    /**
     * Whether a member need not be fenced: its process has ended, and all that it may have acknowledged is held without it. Silence alone
     * does not show that, since a database that control does not reach may go on acknowledging.
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
