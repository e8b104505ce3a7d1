package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
    /**
     * A member that announces itself while its address refuses connections counts as ended after this long. A process that has just
     * started may announce itself before it listens.
     */
    private static final long MIN_REFUSED_MS = 3_000;

    private final Clock clock;
    private final SyncFailoverTimings timings;

    /**
     * The time at which each lost copy's process was first observed to have ended. A copy without an entry may still acknowledge
     * commits: a database that has departed runs until it has received the response to its departure, or longer, and one that another
     * announcement has displaced may not have ended at all.
     */
    private final Map<LostCopy, Long> endedAtMs = new HashMap<>();

    /** The refusals of connections to each member, since its last response. */
    private final Map<String, Refusals> refusals = new HashMap<>();

    /** The latest refusal of a connection to each member, also after a later response. */
    private final Map<String, Long> latestRefusalAtMs = new HashMap<>();

    /** The start time of each member. */
    private final Map<String, Long> bornMsById = new HashMap<>();

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
        snapshot.lostCopies().stream().filter(LostCopy::processEnded).forEach(this::onProcessEnded);
        bornMsById.clear();
        snapshot.members().forEach(member -> bornMsById.put(member.instanceId(), member.bornMs()));
        latestRefusalAtMs.keySet().retainAll(bornMsById.keySet());
        snapshot.members().stream().filter(this::mayHaveRestarted).forEach(member -> onResponse(member.instanceId()));
        snapshot.primaryProof()
                .ifPresent(proof -> snapshot.observedPrimaryId().ifPresent(id -> onProof(id, proof.requestedAtMs())));
    }

    /**
     * Handles a proof of the primary. One that was requested after refused connections shows that the process ran again, and may have
     * acknowledged commits that the same proof does not cover.
     */
    private void onProof(String instanceId, long requestedAtMs) {
        Refusals refused = refusals.get(instanceId);
        if (refused != null && refused.sinceMs() <= requestedAtMs) {
            refusals.remove(instanceId);
        }
    }

    /** Whether a member announced another start time than it had when connections were refused, or announces none at all. */
    private boolean mayHaveRestarted(MemberView member) {
        Refusals refused = refusals.get(member.instanceId());
        return member.bornMs() == 0 ? !isSilent(member) : refused != null && refused.bornMs() != member.bornMs();
    }

    /** Handles the observation that the process of a lost copy has ended. */
    void onProcessEnded(LostCopy copy) {
        endedAtMs.putIfAbsent(copy, clock.millis());
    }

    /** The lost copies whose process may still run. */
    List<LostCopy> possiblyRunningCopies(GroupSnapshot snapshot) {
        return snapshot.possiblyRunningCopies().stream()
                .filter(copy -> !endedAtMs.containsKey(copy))
                .toList();
    }

    /** Handles a connection refused at a member's address, which shows that the member's process has ended. */
    void onConnectionRefused(String instanceId) {
        long nowMs = clock.millis();
        Refusals earlier = refusals.get(instanceId);
        long sinceMs = earlier == null ? nowMs : earlier.sinceMs();
        refusals.put(instanceId, new Refusals(bornMsById.getOrDefault(instanceId, 0L), sinceMs, nowMs));
        latestRefusalAtMs.put(instanceId, nowMs);
    }

    /**
     * Whether a member has not announced itself since its address refused a connection: if the member responds, its process may have
     * started again, with or without its log.
     */
    boolean awaitsAnnouncement(MemberView member) {
        Long refusedAtMs = latestRefusalAtMs.get(member.instanceId());
        return refusedAtMs != null && clock.millis() - member.silentMs() <= refusedAtMs;
    }

    void onResponse(String instanceId) {
        refusals.remove(instanceId);
    }

    /**
     * Whether a check is due: the process of a lost copy has ended, or the process of a member may have, and the last check is too
     * old.
     */
    boolean isCheckDue(GroupSnapshot snapshot) {
        boolean intervalElapsed = clock.millis() - coveredUntilMs >= timings.coverageCheckIntervalMs();
        return !endedAtMs.isEmpty()
                || (intervalElapsed && snapshot.members().stream().anyMatch(this::mayHaveEnded));
    }

    /** Whether a member is silent or refuses connections. */
    boolean mayHaveEnded(MemberView member) {
        return isSilent(member) || refusals.containsKey(member.instanceId());
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
     *
     * <p>An announcement does not disprove it either, as long as its start time is the same: a process that has ended does not
     * announce itself, but its delayed announcements, or an entry that names no running database, may still arrive. As a status does, a
     * refusal counts for a short time: a database that has just restarted receives again before its announcement arrives.
     */
    boolean needsNoFencing(MemberView member) {
        Refusals refused = refusals.get(member.instanceId());
        return refused != null
                && (isSilent(member) || (member.bornMs() > 0 && refused.durationMs() >= MIN_REFUSED_MS))
                && refused.sinceMs() < coveredUntilMs
                && clock.millis() - refused.latestMs() <= timings.maxStatusAgeMs();
    }

    boolean isSilent(MemberView member) {
        return member.silentMs() > timings.silenceMs();
    }

    /**
     * Refused connections without a response in between.
     *
     * @param bornMs the start time that the member had announced; 0 if unknown
     */
    private record Refusals(long bornMs, long sinceMs, long latestMs) {
        long durationMs() {
            return latestMs - sinceMs;
        }
    }

    private long latestEndMs() {
        return endedAtMs.values().stream().mapToLong(Long::longValue).max().orElse(Long.MIN_VALUE / 2);
    }
}
