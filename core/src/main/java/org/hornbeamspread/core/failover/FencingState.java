package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.hornbeamspread.core.failover.SyncGroupFailover.MemberView;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.sql.ReplicaStatus;

/**
 * What the members of a group have answered since a token was raised, and which of them holds all that was acknowledged, as far
 * as the answers of the last moment prove it. Confined to one thread.
 */
final class FencingState {
    /** The replacement of a primary that works is given up after this, unless it is demoted already. */
    static final long LIVE_REPLACEMENT_TIMEOUT_MS = 1_500;

    private final Clock clock;
    private final SyncFailoverTimings timings;

    /** The last answers to status, pause and demote. */
    private final Map<String, ReplicaStatus> statuses = new HashMap<>();

    private final Map<String, Long> statusReceivedAtMs = new HashMap<>();

    /** The terms of pauses without an answer. */
    private final Map<String, Long> pendingPauseTerms = new HashMap<>();

    /** The highest term at which a pause was refused: some instance, perhaps out of reach, is at a later one. */
    private long highestRefusedTerm;

    private Optional<String> demotedId = Optional.empty();

    /** What the demoted primary answered then: the term that it had led, and the end of its log. */
    private ReplicaStatus demotedStatus = new ReplicaStatus(false, 0, LogPosition.NONE, 0);

    /** Chosen under earlier tokens; their orders may be under way. */
    private Set<String> earlierCandidates = Set.of();

    /** Members that followed a lost copy at its address: what that one had acknowledged may be missing in their logs. */
    private Set<String> unprovenLogIds = Set.of();

    private long startedAtMs;

    FencingState(Clock clock, SyncFailoverTimings timings) {
        this.clock = clock;
        this.timings = timings;
    }

    /** Forgets all answers, under a new token. */
    void reset(Set<String> chosenEarlier) {
        statuses.clear();
        statusReceivedAtMs.clear();
        pendingPauseTerms.clear();
        demotedId = Optional.empty();
        earlierCandidates = Set.copyOf(chosenEarlier);
        startedAtMs = clock.millis();
    }

    /** Takes over whose logs are proven. */
    void updateMembers(List<MemberView> members) {
        unprovenLogIds = members.stream()
                .filter(MemberView::logUnproven)
                .map(MemberView::instanceId)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Since the token was raised. */
    long elapsedMs() {
        return clock.millis() - startedAtMs;
    }

    /** The old primary, once it confirmed that it is a replica. */
    Optional<String> demotedId() {
        return demotedId;
    }

    /** A member answered; false when it refused to pause. */
    boolean onStatus(String instanceId, ReplicaStatus status) {
        statuses.put(instanceId, status);
        statusReceivedAtMs.put(instanceId, clock.millis());
        Long pauseTerm = pendingPauseTerms.remove(instanceId);
        boolean refused = pauseTerm != null && status.heldTerm() == 0;
        if (refused) {
            highestRefusedTerm = Math.max(highestRefusedTerm, pauseTerm);
        }
        return !refused;
    }

    void onDemoted(String instanceId, ReplicaStatus status) {
        demotedId = Optional.of(instanceId);
        demotedStatus = status;
    }

    void onPauseSent(String instanceId, long term) {
        pendingPauseTerms.put(instanceId, term);
    }

    /** A term above all that are known, for a pause or a demotion. */
    long nextTerm() {
        long known = statuses.values().stream()
                .mapToLong(status -> Math.max(status.term(), status.heldTerm()))
                .max()
                .orElse(0);
        return 1 + Math.max(known, highestRefusedTerm);
    }

    /** A member's last answer, unless it is too old to count. */
    Optional<ReplicaStatus> recentStatus(String id) {
        return isStale(id) ? Optional.empty() : Optional.ofNullable(statuses.get(id));
    }

    private boolean isStale(String id) {
        return clock.millis() - statusReceivedAtMs.getOrDefault(id, Long.MIN_VALUE / 2) > timings.maxStatusAgeMs();
    }

    /**
     * The instance that certainly holds every acknowledged commit. The latest primary and one replica hold each of them. So
     * one of any set of members does that lacks a single one, whichever that is; and so does a primary that is demoted. What is
     * chosen covers all that answered, so that a primary of an earlier term does not stand for the latest.
     *
     * @param members present members
     * @param copies how many logs may hold an acknowledged commit: those of members, and lost ones
     */
    Optional<String> candidate(List<MemberView> members, long copies) {
        List<MemberView> answered = members.stream()
                .filter(member -> isRespondingReplica(member.instanceId()))
                .toList();
        Optional<MemberView> best = answered.stream()
                .max(Comparator.comparing(this::receivedPosition)
                        .thenComparing(member -> !isDemoted(member.instanceId()))
                        .thenComparing(member -> earlierCandidates.contains(member.instanceId()))
                        .thenComparing(member -> !member.draining()));
        boolean demotedAnswered = answered.stream().anyMatch(member -> isDemoted(member.instanceId()));
        long fenced = answered.stream()
                .filter(member -> isFenced(member.instanceId()))
                .count();
        boolean allButOneFenced = fenced >= copies - 1 && fenced == answered.size();
        if (best.isEmpty() || !(demotedAnswered || allButOneFenced)) {
            return Optional.empty();
        }
        long waitedMs = elapsedMs();
        boolean better = isDemoted(best.get().instanceId()) || isPrimaryResponding(members);
        boolean patient = (better && waitedMs <= LIVE_REPLACEMENT_TIMEOUT_MS)
                || (differsFromEarlierCandidate(members, best.get()) && waitedMs <= timings.promotionTimeoutMs());
        return patient ? Optional.empty() : best.map(MemberView::instanceId);
    }

    /**
     * Whether another instance was chosen before. Its order may have been accepted and be about to take effect: what it then
     * acknowledges until this choice leads would be lost.
     */
    private boolean differsFromEarlierCandidate(List<MemberView> members, MemberView choice) {
        return members.stream()
                .map(MemberView::instanceId)
                .anyMatch(id -> earlierCandidates.contains(id) && !id.equals(choice.instanceId()));
    }

    /** Whether a primary answered a moment ago: it can be demoted, so that it acknowledges nothing until its successor leads. */
    private boolean isPrimaryResponding(List<MemberView> members) {
        return members.stream()
                .map(MemberView::instanceId)
                .anyMatch(id -> statuses.containsKey(id) && statuses.get(id).primary() && !isStale(id));
    }

    /**
     * Whether an instance is the demoted primary, and its log ends where it was demoted: no instance leads or follows a later term,
     * as after an earlier order that took effect. A log that was lost since, or may have been before, proves nothing.
     */
    boolean isDemoted(String id) {
        return demotedId.equals(Optional.of(id))
                && !unprovenLogIds.contains(id)
                && statuses.get(id).received().covers(demotedStatus.received())
                && statuses.values().stream().allMatch(status -> status.term() <= demotedStatus.term());
    }

    /** Whether an instance answered a moment ago that it does not lead. */
    boolean isRespondingReplica(String id) {
        ReplicaStatus status = statuses.get(id);
        return status != null && !status.primary() && !isStale(id);
    }

    /** Whether an instance answered a moment ago that it neither leads nor receives. */
    private boolean isFenced(String id) {
        return isRespondingReplica(id)
                && !hasUnexplainedEmptyLog(id)
                && (statuses.get(id).heldTerm() > 0 || isDemoted(id));
    }

    /**
     * Whether an instance has an empty log while others do not, and no loss is known of: it may have started again a moment ago
     * and not announced itself yet.
     */
    private boolean hasUnexplainedEmptyLog(String id) {
        return statuses.get(id).received().equals(LogPosition.NONE)
                && !unprovenLogIds.contains(id)
                && statuses.values().stream()
                        .anyMatch(status -> !status.received().equals(LogPosition.NONE));
    }

    String describe(MemberView member) {
        String id = member.instanceId();
        ReplicaStatus status = statuses.get(id);
        if (status == null) {
            return id + " no answer, silent for " + member.silentMs() + " ms";
        }
        return id + (status.primary() ? " primary" : " replica") + " received "
                + status.received().term() + ":" + status.received().indexEntries() + " held_term " + status.heldTerm()
                + " age_ms " + (clock.millis() - statusReceivedAtMs.get(id))
                + (isFenced(id) ? " fenced" : "")
                + (member.logUnproven() ? " log unproven" : "");
    }

    private LogPosition receivedPosition(MemberView member) {
        ReplicaStatus status = statuses.get(member.instanceId());
        return status == null ? LogPosition.NONE : status.received();
    }
}
