package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.LostCopy;
import org.hornbeamspread.core.sql.ReplicaStatus;

/**
 * The statuses that the members of a group have reported since a token was raised, and the candidate that recent statuses prove
 * to hold every acknowledged commit. Confined to one thread.
 */
final class FencingState {
    /** The replacement of a working primary is abandoned after this long, unless the primary is already demoted. */
    static final long LIVE_REPLACEMENT_TIMEOUT_MS = 1_500;

    /**
     * A database that joined before the proxies were sealed is registered at most this long after the token was raised: its first
     * announcement waits up to 1 s at each control member that does not respond, and two may not.
     */
    static final long REGISTRATION_TIMEOUT_MS = 2_200;

    private final Clock clock;
    private final SyncFailoverTimings timings;

    /** Each member's last response to a status request, a pause or a demotion. */
    private final Map<String, ReplicaStatus> statuses = new HashMap<>();

    private final Map<String, Long> statusReceivedAtMs = new HashMap<>();

    /** The time since which each member has reported an empty log while paused, under the current token. */
    private final Map<String, Long> emptyLogSinceMs = new HashMap<>();

    /** Whether an instance was observed to have a log that is not empty, under any token. */
    private boolean groupHasEntries;

    /** The terms of pauses without a response. */
    private final Map<String, Long> pendingPauseTerms = new HashMap<>();

    /** The highest term at which a pause was refused: some instance, possibly unreachable, is at a later term. */
    private long highestRefusedTerm;

    private Optional<String> demotedId = Optional.empty();

    /** The demoted primary's response to the demotion: the term that it had led, and the end of its log. */
    private ReplicaStatus demotedStatus = new ReplicaStatus(false, 0, LogPosition.NONE, 0);

    /** Candidates chosen under earlier tokens; promotion requests for them may be in flight. */
    private Set<String> earlierCandidates = Set.of();

    /** Members at the address of a lost copy; their logs may lack commits that the lost copy had acknowledged. */
    private Set<String> unprovenLogIds = Set.of();

    /** Departed instances whose process may still run. */
    private Set<String> departedRunningIds = Set.of();

    private long startedAtMs;

    FencingState(Clock clock, SyncFailoverTimings timings) {
        this.clock = clock;
        this.timings = timings;
    }

    /** Clears all statuses, under a new token. */
    void reset(Set<String> candidates) {
        statuses.clear();
        statusReceivedAtMs.clear();
        pendingPauseTerms.clear();
        emptyLogSinceMs.clear();
        demotedId = Optional.empty();
        earlierCandidates = Set.copyOf(candidates);
        startedAtMs = clock.millis();
    }

    /** Updates which members have unproven logs, and which departed instances may still run. */
    void updateMembers(List<MemberView> members, List<LostCopy> possiblyRunningCopies) {
        departedRunningIds =
                possiblyRunningCopies.stream().map(LostCopy::instanceId).collect(Collectors.toUnmodifiableSet());
        unprovenLogIds = members.stream()
                .filter(MemberView::logUnproven)
                .map(MemberView::instanceId)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Whether an instance has departed and its process may still run, so that an earlier promotion of it may take effect. */
    boolean isDepartedAndRunning(String id) {
        return departedRunningIds.contains(id);
    }

    /** Time since the token was raised. */
    long elapsedMs() {
        return clock.millis() - startedAtMs;
    }

    /** The old primary, once it has confirmed that it is a replica. */
    Optional<String> demotedId() {
        return demotedId;
    }

    /** Handles a position that an instance of the group has had. */
    void onPosition(LogPosition position) {
        groupHasEntries |= !position.equals(LogPosition.NONE);
    }

    /** Stores a member's status; returns false when the member refused to pause. */
    boolean onStatus(String instanceId, ReplicaStatus status) {
        statuses.put(instanceId, status);
        statusReceivedAtMs.put(instanceId, clock.millis());
        onPosition(status.received());
        if (status.received().equals(LogPosition.NONE) && status.heldTerm() > 0) {
            emptyLogSinceMs.putIfAbsent(instanceId, clock.millis());
        } else {
            emptyLogSinceMs.remove(instanceId);
        }
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

    /** A term above every reported and refused term, for a pause or a demotion. */
    long nextTerm() {
        long highestReportedTerm = statuses.values().stream()
                .mapToLong(status -> Math.max(status.term(), status.heldTerm()))
                .max()
                .orElse(0);
        return 1 + Math.max(highestReportedTerm, highestRefusedTerm);
    }

    /** A member's last status, unless it is too old to count. */
    Optional<ReplicaStatus> recentStatus(String id) {
        return isStale(id) ? Optional.empty() : Optional.ofNullable(statuses.get(id));
    }

    private boolean isStale(String id) {
        return clock.millis() - statusReceivedAtMs.getOrDefault(id, Long.MIN_VALUE / 2) > timings.maxStatusAgeMs();
    }

    /**
     * Returns an instance that certainly holds every acknowledged commit. The latest primary and one replica hold each of them.
     * Therefore any set of all members but one, whichever is missing, includes an instance that holds all of them, and a demoted
     * primary holds all of them too. The log of the candidate covers the logs of all members that responded, so that a demoted
     * primary of an earlier term is not mistaken for the latest primary.
     *
     * <p>If all members respond as replicas and no log was lost, none leads, and nothing is acknowledged until one is promoted.
     *
     * <p>One replica may receive on, whose pause is not reliable, provided that it is the candidate: what it acknowledges until its
     * promotion takes effect is in its log.
     *
     * @param members current members
     * @param copies how many logs may hold an acknowledged commit: those of members, and lost ones
     * @param unreliablePauseIds members that may receive although they are paused
     * @param primaryReachable whether the primary was reached recently, so that its demotion is awaited
     * @param acknowledged bounds of the latest commit that proxies have acknowledged; an instance that lacks it is no candidate,
     *     whatever the count of copies shows
     * @param registrationAwaited whether a database may be about to be registered that the count of copies lacks
     */
    Optional<String> candidate(
            List<MemberView> members,
            long copies,
            Set<String> unreliablePauseIds,
            boolean primaryReachable,
            AcknowledgedCommits acknowledged,
            boolean registrationAwaited) {
        List<MemberView> replicas = members.stream()
                .filter(member -> isRespondingReplica(member.instanceId()))
                .toList();
        List<MemberView> receiving = replicas.stream()
                .filter(member -> unreliablePauseIds.contains(member.instanceId()) && !isDemoted(member.instanceId()))
                .toList();
        Optional<MemberView> mostAdvanced = replicas.stream()
                .max(Comparator.comparing(this::receivedPosition)
                        .thenComparing(receiving::contains)
                        .thenComparing(member -> !isDemoted(member.instanceId()))
                        .thenComparing(member -> earlierCandidates.contains(member.instanceId()))
                        .thenComparing(member -> !member.draining()));
        boolean demotedResponding = replicas.stream().anyMatch(member -> isDemoted(member.instanceId()));
        boolean allFenced = replicas.stream().allMatch(member -> isFenced(member, receiving.contains(member)));
        boolean onlyCandidateReceives = receiving.isEmpty() || mostAdvanced.equals(Optional.of(receiving.get(0)));
        boolean allButOneFenced = !registrationAwaited
                && allFenced
                && replicas.size() >= copies - 1
                && receiving.size() <= 1
                && onlyCandidateReceives;
        boolean noneLeads = replicas.size() == members.size()
                && copies == members.size()
                && replicas.stream().noneMatch(this::hasUnexplainedEmptyLog);
        if (mostAdvanced.isEmpty() || !(demotedResponding || noneLeads || allButOneFenced)) {
            return Optional.empty();
        }
        if (lacksAcknowledged(mostAdvanced.get().instanceId(), acknowledged, copies < members.size())) {
            return Optional.empty();
        }
        long waitedMs = elapsedMs();
        boolean demotionPossible = !demotedResponding && (primaryReachable || isPrimaryResponding(members));
        boolean betterCandidatePossible = isDemoted(mostAdvanced.get().instanceId()) || demotionPossible;
        boolean keepWaiting = (betterCandidatePossible && waitedMs <= LIVE_REPLACEMENT_TIMEOUT_MS)
                || (differsFromEarlierCandidate(members, mostAdvanced.get())
                        && waitedMs <= timings.promotionTimeoutMs());
        return keepWaiting ? Optional.empty() : mostAdvanced.map(MemberView::instanceId);
    }

    /**
     * Whether an instance lacks an acknowledged commit, or may lack one: a database holds it that is about to be registered, or that was left
     * out of the count.
     *
     * @param copiesExempt whether a member was left out of the count since it refuses connections
     */
    boolean lacksAcknowledged(String id, AcknowledgedCommits acknowledged, boolean copiesExempt) {
        LogPosition received = receivedPositionOf(id);
        boolean copyHidden = copiesExempt || elapsedMs() <= REGISTRATION_TIMEOUT_MS;
        boolean mayLack = copyHidden && !received.covers(acknowledged.possible());
        return mayLack || !received.covers(acknowledged.certain());
    }

    /** The latest position of the replicas that have responded under the current token; empty if none has. */
    Optional<LogPosition> latestReplicaPosition() {
        return statuses.values().stream()
                .filter(status -> !status.primary())
                .map(ReplicaStatus::received)
                .max(Comparator.naturalOrder());
    }

    /** Whether a replica that responded under the current token has a later position than an instance. */
    boolean isBehindReplica(String id) {
        LogPosition received = receivedPositionOf(id);
        return latestReplicaPosition()
                .filter(latest -> !received.covers(latest))
                .isPresent();
    }

    /** The latest term that an instance has reported under the current token; 0 for none. */
    long highestReportedTerm() {
        return statuses.values().stream()
                .mapToLong(status -> Math.max(status.term(), status.received().term()))
                .max()
                .orElse(0);
    }

    /**
     * Whether another instance was chosen earlier. Its promotion may have been accepted and be about to take effect: commits that
     * it then acknowledges before this candidate leads would be lost.
     */
    private boolean differsFromEarlierCandidate(List<MemberView> members, MemberView candidate) {
        return Stream.concat(members.stream().map(MemberView::instanceId), departedRunningIds.stream())
                .anyMatch(id -> earlierCandidates.contains(id) && !id.equals(candidate.instanceId()));
    }

    /** Whether a primary responded recently: it can be demoted, so that it acknowledges nothing until its successor leads. */
    private boolean isPrimaryResponding(List<MemberView> members) {
        return members.stream()
                .map(MemberView::instanceId)
                .anyMatch(id -> statuses.containsKey(id) && statuses.get(id).primary() && !isStale(id));
    }

    /**
     * Whether an instance is the demoted primary, and its log ends where it was demoted: no instance leads or follows a later
     * term, as would be the case after an earlier promotion request took effect. A log that was lost after the demotion, or may
     * have been lost before, proves nothing.
     */
    boolean isDemoted(String id) {
        return demotedId.equals(Optional.of(id))
                && !unprovenLogIds.contains(id)
                && statuses.get(id).received().covers(demotedStatus.received())
                && statuses.values().stream().allMatch(status -> status.term() <= demotedStatus.term());
    }

    /** Whether an instance reported recently that it does not lead. */
    boolean isRespondingReplica(String id) {
        ReplicaStatus status = statuses.get(id);
        return status != null && !status.primary() && !isStale(id);
    }

    /** Whether an instance reported recently that it neither leads nor receives; a candidate may receive. */
    private boolean isFenced(MemberView member, boolean mayReceive) {
        String id = member.instanceId();
        return isRespondingReplica(id)
                && !hasUnexplainedEmptyLog(member)
                && (mayReceive || statuses.get(id).heldTerm() > 0 || isDemoted(id));
    }

    /**
     * Whether an instance has an empty log while others do not, or did not when they last responded, and no loss of its log is recorded:
     * the instance may have just restarted and not announced itself yet. An instance that has announced itself since it reported the empty log is the registered
     * incarnation, and never held an entry.
     */
    private boolean hasUnexplainedEmptyLog(MemberView member) {
        String id = member.instanceId();
        boolean announcedSince = clock.millis() - member.silentMs() > emptyLogSinceMs.getOrDefault(id, Long.MAX_VALUE);
        return !announcedSince
                && statuses.get(id).received().equals(LogPosition.NONE)
                && !unprovenLogIds.contains(id)
                && groupHasEntries;
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
                + (isFenced(member, false) ? " fenced" : "")
                + (member.logUnproven() ? " log unproven" : "");
    }

    private LogPosition receivedPosition(MemberView member) {
        return receivedPositionOf(member.instanceId());
    }

    private LogPosition receivedPositionOf(String id) {
        ReplicaStatus status = statuses.get(id);
        return status == null ? LogPosition.NONE : status.received();
    }
}
