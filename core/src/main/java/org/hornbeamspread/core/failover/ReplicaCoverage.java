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
    /** A database that announced its departure may acknowledge until its process has ended. */
    private static final long DEPARTURE_MS = 250;

    private final Clock clock;
    private final SyncFailoverTimings timings;

    /** When each copy was first seen as lost. */
    private final Map<LostCopy, Long> lostAtMs = new HashMap<>();

    /** What a replica has yet to receive. */
    private Optional<PrimaryProof> target = Optional.empty();

    /** All that was acknowledged before is held by the primary and a present replica; long ago before the first check. */
    private long coveredAtMs = Long.MIN_VALUE / 2;

    ReplicaCoverage(Clock clock, SyncFailoverTimings timings) {
        this.clock = clock;
        this.timings = timings;
    }

    /** Takes over what is lost at present. */
    void observe(Collection<LostCopy> lost) {
        lostAtMs.keySet().retainAll(lost);
        lost.forEach(copy -> lostAtMs.putIfAbsent(copy, clock.millis()));
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
            if (coveredAtMs > atMs + DEPARTURE_MS) {
                recovered.add(copy);
            }
        });
        return recovered;
    }

    /**
     * Whether a member need not be fenced: it has been silent for long, and all that was acknowledged until shortly before the
     * primary was lost is held without it.
     *
     * @param provenAtMs when the primary last proved to lead
     */
    boolean isDispensable(MemberView member, long provenAtMs) {
        return isSilent(member)
                && coveredAtMs > clock.millis() - member.silentMs()
                && provenAtMs - coveredAtMs <= 2 * timings.coverageMs();
    }

    private boolean isSilent(MemberView member) {
        return !member.primary() && member.silentMs() > timings.silenceMs();
    }

    private long latestLossMs() {
        return lostAtMs.values().stream()
                .mapToLong(atMs -> atMs + DEPARTURE_MS)
                .max()
                .orElse(Long.MIN_VALUE / 2);
    }
}
