package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.failover.SyncGroupFailover.MemberView;
import org.hornbeamspread.core.failover.SyncGroupFailover.Situation;
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
    private static final long DEPARTURE_MS = 2_000;

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
    private long coveredAtMs = Long.MIN_VALUE / 2;

    ReplicaCoverage(Clock clock, SyncFailoverTimings timings) {
        this.clock = clock;
        this.timings = timings;
    }

    /** Takes over what is lost at present. */
    void observe(Situation situation) {
        lostAtMs.keySet().retainAll(situation.lostCopies());
        for (LostCopy copy : situation.lostCopies()) {
            long endsInMs = situation.departedCopies().contains(copy) ? DEPARTURE_MS : 0;
            lostAtMs.putIfAbsent(copy, clock.millis() + endsInMs);
        }
        situation.members().stream()
                .filter(member -> !isSilent(member))
                .forEach(member -> onAnswered(member.instanceId()));
    }

    /** A member's address refused a connection: its process has ended. */
    void onRefused(String instanceId) {
        refusedSinceMs.putIfAbsent(instanceId, clock.millis());
        refusedAtMs.put(instanceId, clock.millis());
    }

    void onAnswered(String instanceId) {
        refusedSinceMs.remove(instanceId);
        refusedAtMs.remove(instanceId);
    }

    /** Whether there is anything to find out now. */
    boolean isWanted(Situation situation) {
        boolean renewal = clock.millis() - coveredAtMs >= timings.coverageMs();
        return !lostAtMs.isEmpty() || (renewal && situation.members().stream().anyMatch(this::isSilent));
    }

    /** Compares what replicas have received to what the primary had. */
    void check(Situation situation, Collection<LogPosition> received) {
        if (target.isEmpty()) {
            target = situation.proof().filter(proof -> proof.askedAtMs() > Math.max(coveredAtMs, latestLossMs()));
        }
        if (target.isPresent()
                && received.stream()
                        .anyMatch(position -> position.covers(target.get().position()))) {
            coveredAtMs = target.get().askedAtMs();
            target = Optional.empty();
        }
    }

    /** The lost copies without which no acknowledged commit is missed any more. */
    List<LostCopy> recovered() {
        List<LostCopy> recovered = new ArrayList<>();
        lostAtMs.forEach((copy, atMs) -> {
            if (coveredAtMs > atMs) {
                recovered.add(copy);
            }
        });
        return recovered;
    }

    /**
     * Whether a member need not be fenced: its process has ended, and all that it may have acknowledged is held without it. Silence alone
     * does not show that, since a database that control does not reach may go on acknowledging.
     */
    boolean isDispensable(MemberView member) {
        Long sinceMs = refusedSinceMs.get(member.instanceId());
        return isSilent(member)
                && sinceMs != null
                && sinceMs < coveredAtMs
                && clock.millis() - refusedAtMs.get(member.instanceId()) <= 2 * timings.coverageMs();
    }

    boolean isSilent(MemberView member) {
        return member.silentMs() > timings.silenceMs();
    }

    private long latestLossMs() {
        return lostAtMs.values().stream().mapToLong(Long::longValue).max().orElse(Long.MIN_VALUE / 2);
    }
}
