package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamspread.core.failover.SyncFailoverEffect.AskStatus;
import org.hornbeamspread.core.failover.SyncFailoverEffect.CheckProcessEnd;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Choose;
import org.hornbeamspread.core.failover.SyncFailoverEffect.CommitResumes;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Conclude;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Demote;
import org.hornbeamspread.core.failover.SyncFailoverEffect.EndResumes;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Pause;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Promote;
import org.hornbeamspread.core.failover.SyncFailoverEffect.RaiseToken;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Recover;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Resume;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.LostCopy;
import org.hornbeamspread.core.sql.ReplicaStatus;

/**
 * Decides when the primary of a group with synchronous replication is replaced, and by which instance.
 *
 * <p>A commit is acknowledged once the primary and one replica hold it. The promoted instance must hold every acknowledged
 * commit, and no commit that it lacks may be acknowledged after it is chosen. A replica that reports its position and then
 * receives more entries would violate both conditions. So would a choice among only some of the replicas, because an excluded
 * replica may be the only holder of a commit. A promotion therefore takes these steps:
 *
 * <ol>
 *   <li>A new fencing token is committed to the log. Once the platform has received a promotion request with this token, it
 *       rejects every request with a lower token, whether from another leader or from this leader earlier.
 *   <li>The old primary is demoted if it is reachable. Every replica is paused, which stops it from acknowledging.
 *   <li>Once all members but one are paused or demoted, the one with the latest position holds every acknowledged commit,
 *       because the primary and a replica hold each of them. A replica that holds the whole log of a demoted primary does too.
 *       A pause ends when the replica restarts and when any instance is promoted, also by an earlier request that is carried
 *       out late; therefore only recent statuses count. A log that was lost with a database counts as a member that does not
 *       respond, until {@link ReplicaCoverage} shows that no acknowledged commit depends on it. Where proxies and control members are
 *       silent, a database that is about to register is waited for ({@link RegistrationWait}).
 *   <li>The chosen candidate is committed to the log, then its promotion is requested from the platform. The request is
 *       repeated until it has a definite result, as long as the candidate still holds every acknowledged commit: a request
 *       without a result may be carried out much later. Until there is a result, no replica is resumed.
 *   <li>The end of the promotion is committed to the log. An accepted request takes effect after a delay, and the old primary
 *       may lead until then. The other replicas are resumed only once the promoted instance was observed to lead.
 * </ol>
 *
 * <p>A leader that finds an unfinished promotion starts again with its own token. The instance chosen earlier remains the
 * candidate while it qualifies: if the earlier request is carried out late, the new request changes nothing. Another instance
 * is chosen only after an accepted earlier request would have taken effect. If the old primary is confirmed to work while
 * replicas are still missing, it stays the primary and the replicas are resumed. If an earlier request may still be in flight,
 * promotion of the old primary is requested under the new token first, which changes nothing except that the platform then
 * rejects the earlier request. Confined to one thread.
 */
public final class SyncGroupFailover {
    /** A request without a result that may not be repeated, because a replica receives again, is abandoned after this long. */
    private static final long PROMOTION_RESULT_TIMEOUT_MS = 1_500;

    private final Clock clock;
    private final SyncFailoverTimings timings;
    private final FencingState fencing;
    private final ReplicaCoverage coverage;
    private final ReplicaPauses pauses;
    private final PromotionTakeover takeover;
    private final PromotionSeal seal;
    private final RegistrationWait registrationWait;
    private final Map<String, Long> commandsSentAtMs = new HashMap<>();

    /** The token that this leader raised; 0 for none. */
    private long ownToken;

    /** Whether a promotion request under an earlier token may still be carried out. */
    private boolean earlierPromotionPending;

    /** The candidate that the platform rejected permanently, so that no request for it is in flight. */
    private Optional<String> rejectedCandidate = Optional.empty();

    /** Whether the current promotion replaces a working primary. */
    private boolean replacesLivePrimary;

    /** Whether this leader had a recent proof of the primary when it raised the token. */
    private boolean reachableAtTokenRaise;

    /** Whether the token was raised to promote the instance that leads already, so that the platform rejects earlier requests. */
    private boolean settlesPrimary;

    private boolean logCommitPending;
    private boolean tokenCommitPending;
    private boolean promotionRequested;
    private Optional<Boolean> promotionResult = Optional.empty();

    /** The time since which the group has had no proof of a working primary. */
    private long lastPrimaryProofAtMs;

    /** The instance that the latest proof refers to; empty before the first. */
    private Optional<String> provenPrimaryId = Optional.empty();

    /**
     * Creates the failover of a group under a new leader.
     *
     * @param leaderTerm the leader's term, which no other leader has
     */
    public SyncGroupFailover(Clock clock, SyncFailoverTimings timings, long leaderTerm) {
        this.clock = clock;
        this.timings = timings;
        this.fencing = new FencingState(clock, timings);
        this.coverage = new ReplicaCoverage(clock, timings);
        this.pauses = new ReplicaPauses(clock, leaderTerm);
        this.takeover = new PromotionTakeover(clock, timings, fencing);
        this.seal = new PromotionSeal(clock, fencing);
        this.registrationWait = new RegistrationWait(clock);
        this.lastPrimaryProofAtMs = clock.millis() + timings.initialDetectionMs() - timings.detectionMs();
    }

    /** Decides the next effects. Called at each tick and after each report. */
    public List<SyncFailoverEffect> step(GroupSnapshot snapshot) {
        long nowMs = clock.millis();
        if (nowMs - snapshot.primaryProofAgeMs() > lastPrimaryProofAtMs) {
            lastPrimaryProofAtMs = nowMs - snapshot.primaryProofAgeMs();
            provenPrimaryId = snapshot.observedPrimaryId();
        }
        snapshot.primaryProof().ifPresent(proof -> fencing.onPosition(proof.position()));
        coverage.updateLosses(snapshot);
        fencing.updateMembers(snapshot.members(), coverage.possiblyRunningCopies(snapshot));
        pauses.retainMembers(snapshot.members());
        updateSeal(snapshot);
        if (logCommitPending || snapshot.members().isEmpty()) {
            return List.of();
        }
        boolean concluded = snapshot.token() == 0 || snapshot.concluded();
        if (concluded) {
            return monitorPrimary(snapshot, nowMs);
        }
        if (snapshot.token() != ownToken) {
            return raiseToken(snapshot);
        }
        return snapshot.chosenId().isPresent()
                ? promote(snapshot, snapshot.chosenId().get(), nowMs)
                : fence(snapshot, nowMs);
    }

    /**
     * Handles the end of a requested commit to the log.
     *
     * @param committed whether the commit certainly took effect. If not, a raised token may be another leader's; it is not used
     *     as this leader's token, and a token is raised again.
     */
    public void onLogCommitEnded(boolean committed) {
        logCommitPending = false;
        if (tokenCommitPending && !committed) {
            ownToken = 0;
        }
        tokenCommitPending = false;
    }

    /** Handles an instance's response to a status request, a pause or a demotion. */
    public void onStatus(String instanceId, ReplicaStatus status) {
        if (fencing.onStatus(instanceId, status)) {
            commandsSentAtMs.remove(instanceId);
            commandsSentAtMs.remove("fenced " + instanceId);
        }
        pauses.onStatus(instanceId, status);
        coverage.onResponse(instanceId);
    }

    /** Handles a connection that was refused at an instance's address. */
    public void onConnectionRefused(String instanceId) {
        coverage.onConnectionRefused(instanceId);
    }

    /**
     * Handles an announcement of a member's id that the registry takes for outdated. It may be that of the running process, whose restart then
     * changes nothing in the registry.
     */
    public void onOutdatedAnnouncement(String instanceId) {
        coverage.onResponse(instanceId);
    }

    /** Handles the observation that the process of a lost copy has ended. */
    public void onProcessEnded(LostCopy copy) {
        coverage.onProcessEnded(copy);
    }

    /** Handles the old primary's response to a demotion, which counts only if the instance reports that it is a replica. */
    public void onDemoted(String instanceId, ReplicaStatus status) {
        onStatus(instanceId, status);
        if (!status.primary()) {
            fencing.onDemoted(instanceId, status);
        }
    }

    /** Handles the end of a requested commit of resumes. */
    public void onResumesCommitEnded(List<PendingResume> resumes, boolean committed) {
        pauses.onCommitEnded(resumes, committed);
    }

    /** Handles a replica's response to a resume. */
    public void onResumed(String instanceId, ReplicaStatus status) {
        pauses.onResumeEnded(instanceId, true);
        onStatus(instanceId, status);
    }

    /**
     * Handles a resume without a response.
     *
     * @param neverCarriedOut whether the resume certainly did not reach the replica, or was rejected
     */
    public void onResumeFailed(String instanceId, boolean neverCarriedOut) {
        pauses.onResumeEnded(instanceId, neverCarriedOut);
    }

    /**
     * Handles the platform's result of a promotion request.
     *
     * @param accepted false when the platform rejected the request permanently: a higher token was used, or the instance does
     *     not run
     */
    public void onPromotionResult(long token, boolean accepted) {
        if (token == ownToken) {
            promotionResult = Optional.of(accepted);
        }
    }

    /** Returns how long the group has had no proof of a working primary. */
    public long outageMs() {
        return clock.millis() - lastPrimaryProofAtMs;
    }

    /** Returns how many logs may hold an acknowledged commit that others lack; all but one must be fenced. */
    public long copyCount(GroupSnapshot snapshot) {
        long exempt = snapshot.members().stream()
                .filter(member -> !fencing.isRespondingReplica(member.instanceId()))
                .filter(member -> coverage.needsNoFencing(member))
                .count();
        return snapshot.members().size() - exempt + snapshot.lostCopies().size();
    }

    /** Describes each member's last status and its age, for the event log. */
    public List<String> describeStatuses(GroupSnapshot snapshot) {
        return snapshot.members().stream().map(fencing::describe).toList();
    }

    private List<SyncFailoverEffect> monitorPrimary(GroupSnapshot snapshot, long nowMs) {
        if (awaitsTakeover(snapshot, nowMs)) {
            List<SyncFailoverEffect> effects = new ArrayList<>(keepFenced(snapshot, nowMs));
            effects.addAll(queryTakeover(snapshot, nowMs));
            effects.addAll(checkProcessEnds(snapshot, nowMs));
            return effects;
        }
        if (!snapshot.unsettledChoices().isEmpty() && snapshot.chosenId().isPresent()) {
            logCommitPending = true;
            return List.of(new Conclude(snapshot.token(), snapshot.chosenId().get()));
        }
        seal.end();
        long limitMs = snapshot.connectionRefused() ? timings.refusedDetectionMs() : timings.detectionMs();
        boolean lost =
                nowMs - lastPrimaryProofAtMs > limitMs || snapshot.stalledWriteMs() > timings.writeStallTimeoutMs();
        Optional<MemberView> primary = primary(snapshot);
        boolean draining = primary.isPresent() && primary.get().draining();
        boolean demotable = primary.isEmpty() || !primary.get().logUnproven();
        // Until the promotion timeout, a repeated request of the last promotion may take effect and undo a demotion.
        boolean noPromotionPending = snapshot.token() == 0 || !takeover.mayTakeEffect();
        if (isPrimaryUnsettled(snapshot, nowMs)) {
            List<SyncFailoverEffect> effects = raiseToken(snapshot);
            settlesPrimary = true;
            return effects;
        }
        replacesLivePrimary = noPromotionPending && demotable && (draining || snapshot.unreachableFromProxies());
        boolean hasEligibleReplica = snapshot.members().stream().anyMatch(this::isEligible);
        if ((lost || replacesLivePrimary)
                && hasEligibleReplica
                && snapshot.members().size() > 1) {
            List<SyncFailoverEffect> effects = raiseToken(snapshot);
            reachableAtTokenRaise = !lost && hasDirectProof(snapshot, timings.refusedDetectionMs());
            return effects;
        }
        List<SyncFailoverEffect> effects = new ArrayList<>(queryTakeover(snapshot, nowMs));
        if (!takeover.awaitsObservedLead(snapshot)) {
            effects.addAll(resumeReplicas(snapshot, nowMs));
        }
        effects.addAll(queryPauseStates(snapshot, nowMs));
        effects.addAll(checkProcessEnds(snapshot, nowMs));
        effects.addAll(checkCoverage(snapshot, nowMs));
        return effects;
    }

    /**
     * Whether an instance leads that is not the one promoted under the latest token, since a promotion under an earlier token took
     * effect. A repeated request under the latest token may still be in flight, which the platform rejects only once it has received
     * a request under a later token.
     */
    private boolean isPrimaryUnsettled(GroupSnapshot snapshot, long nowMs) {
        boolean chosenMayRun = snapshot.chosenId()
                .filter(id -> fencing.isDepartedAndRunning(id) || isMember(snapshot, id))
                .isPresent();
        return chosenMayRun
                && primary(snapshot)
                        .map(MemberView::instanceId)
                        .filter(id -> !snapshot.chosenId().equals(Optional.of(id)))
                        .filter(id -> provenPrimaryId.equals(Optional.of(id)))
                        .isPresent()
                && nowMs - lastPrimaryProofAtMs < timings.commandRetryIntervalMs();
    }

    private static boolean isMember(GroupSnapshot snapshot, String id) {
        return snapshot.members().stream()
                .anyMatch(member -> member.instanceId().equals(id));
    }

    private List<SyncFailoverEffect> checkProcessEnds(GroupSnapshot snapshot, long nowMs) {
        return coverage.possiblyRunningCopies(snapshot).stream()
                .filter(copy -> isDue("end " + copy, nowMs))
                .<SyncFailoverEffect>map(CheckProcessEnd::new)
                .toList();
    }

    /** Resumes the replicas that are paused: first the resume is committed, then it is sent, and its end is committed too. */
    private List<SyncFailoverEffect> resumeReplicas(GroupSnapshot snapshot, long nowMs) {
        List<SyncFailoverEffect> effects = new ArrayList<>();
        for (PendingResume resume : pauses.takeResumesToSend()) {
            effects.add(new Resume(resume.instanceId()));
            commandsSentAtMs.put("pause state " + resume.instanceId(), nowMs);
        }
        List<MemberView> resumable = snapshot.members().stream()
                .filter(member -> !member.primary())
                .filter(member -> pauses.isPaused(member) && isDue("resume " + member.instanceId(), nowMs))
                .toList();
        List<PendingResume> resumes = pauses.resumesToCommit(resumable);
        if (!resumes.isEmpty()) {
            effects.add(new CommitResumes(snapshot.token(), resumes));
        }
        List<PendingResume> ended = pauses.endedResumes(snapshot);
        if (!ended.isEmpty() && isDue("end resumes", nowMs)) {
            effects.add(new EndResumes(ended));
        }
        return effects;
    }

    /**
     * Requests the status of replicas that may be paused: by an earlier leader, or by a command without a response. An instance beside the
     * primary that says it leads is asked too, since its announcement may come from another writer.
     */
    private List<SyncFailoverEffect> queryPauseStates(GroupSnapshot snapshot, long nowMs) {
        Optional<MemberView> primary = primary(snapshot);
        return snapshot.members().stream()
                .filter(member -> isAnnounced(member) && !primary.equals(Optional.of(member)))
                .filter(member -> pauses.isStatusNeeded(member, snapshot.token() > 0))
                .filter(member -> isDue("pause state " + member.instanceId(), nowMs))
                .<SyncFailoverEffect>map(member -> new AskStatus(member.instanceId()))
                .toList();
    }

    private List<MemberView> announcedReplicas(GroupSnapshot snapshot) {
        return snapshot.members().stream()
                .filter(member -> !member.primary() && isAnnounced(member))
                .toList();
    }

    private boolean isAnnounced(MemberView member) {
        return member.silentMs() < timings.maxCandidateSilenceMs();
    }

    /** Checks whether every acknowledged commit is held without the copies that are lost or may be lost. */
    private List<SyncFailoverEffect> checkCoverage(GroupSnapshot snapshot, long nowMs) {
        if (!coverage.isCheckDue(snapshot)) {
            return List.of();
        }
        List<MemberView> replicas = announcedReplicas(snapshot);
        List<LogPosition> received = replicas.stream()
                .flatMap(member -> fencing.recentStatus(member.instanceId()).stream())
                .filter(status -> !status.primary())
                .map(ReplicaStatus::received)
                .toList();
        coverage.check(snapshot, received);
        List<LostCopy> recovered = coverage.recoveredCopies();
        if (!recovered.isEmpty()) {
            return isDue("recover", nowMs) ? List.of(new Recover(recovered)) : List.of();
        }
        return snapshot.members().stream()
                .filter(member -> replicas.contains(member) || coverage.mayHaveEnded(member))
                .filter(member -> isDue("coverage " + member.instanceId(), nowMs))
                .<SyncFailoverEffect>map(member -> new AskStatus(member.instanceId()))
                .toList();
    }

    private Optional<String> candidate(GroupSnapshot snapshot) {
        return fencing.candidate(
                snapshot.members(),
                copyCount(snapshot),
                pauses.unreliableIds(snapshot),
                isPrimaryReachable(snapshot),
                snapshot.commitReports().acknowledged(),
                awaitsRegistration(snapshot));
    }

    /** Whether the choice waits for a database that may be about to be registered. An order that was sent is not called back. */
    public boolean awaitsRegistration(GroupSnapshot snapshot) {
        return !promotionRequested
                && snapshot.token() == ownToken
                && !snapshot.concluded()
                && registrationWait.isRequired(snapshot.commitReports().silent(), lastPrimaryProofAtMs);
    }

    /** The seal in force; empty if proxies may acknowledge every commit. */
    public Optional<Seal> seal() {
        return seal.seal();
    }

    /**
     * The latest position of the replicas, if all of them lack a commit that proxies have acknowledged, so that none is promoted; empty
     * otherwise.
     */
    public Optional<LogPosition> withheldPosition(GroupSnapshot snapshot) {
        boolean choosing = snapshot.token() == ownToken
                && !snapshot.concluded()
                && snapshot.chosenId().isEmpty();
        return fencing.latestReplicaPosition()
                .filter(latest -> choosing
                        && !latest.covers(
                                snapshot.commitReports().acknowledged().certain()));
    }

    private void updateSeal(GroupSnapshot snapshot) {
        if (snapshot.token() == ownToken && snapshot.chosenId().isEmpty()) {
            boolean demotionExpected =
                    isPrimaryReachable(snapshot) && fencing.elapsedMs() <= FencingState.LIVE_REPLACEMENT_TIMEOUT_MS;
            seal.update(snapshot, demotionExpected);
        }
    }

    /**
     * Whether control reaches the old primary, although it has not responded under the current token yet. Only its demotion shows
     * that nothing more is acknowledged: a replica that is not registered yet may receive, and none of the pauses stops it.
     */
    private boolean isPrimaryReachable(GroupSnapshot snapshot) {
        boolean announcedSince = primary(snapshot)
                .filter(member -> member.silentMs() < fencing.elapsedMs())
                .isPresent();
        return reachableAtTokenRaise || announcedSince || hasDirectProof(snapshot, fencing.elapsedMs());
    }

    /** Whether this leader itself obtained a proof of the primary that was requested less than some time ago. */
    private boolean hasDirectProof(GroupSnapshot snapshot, long maxAgeMs) {
        return snapshot.primaryProof()
                .filter(proof -> proof.requestedAtMs() > clock.millis() - maxAgeMs)
                .isPresent();
    }

    /**
     * Whether an accepted promotion may not have taken effect yet. Until it has, the previous primary may still lead: a resumed
     * replica would acknowledge commits for that primary, and another promotion would rely on state that the first one is about
     * to undo.
     */
    private boolean awaitsTakeover(GroupSnapshot snapshot, long nowMs) {
        takeover.update(snapshot);
        boolean ownPromotion = snapshot.token() == ownToken;
        boolean promotedNotLeading = takeover.isPromotedNotLeading(snapshot, ownPromotion);
        boolean earlierRequestPending = (earlierPromotionPending && ownPromotion)
                || !snapshot.unsettledChoices().isEmpty();
        if ((promotedNotLeading || earlierRequestPending) && takeover.mayTakeEffect()) {
            return true;
        }
        if (takeover.end() && !promotedNotLeading) {
            lastPrimaryProofAtMs = Math.max(lastPrimaryProofAtMs, nowMs);
        }
        return false;
    }

    /** Requests the status of a promoted instance that has announced that it leads. */
    private List<SyncFailoverEffect> queryTakeover(GroupSnapshot snapshot, long nowMs) {
        return snapshot
                .promotedMember()
                .filter(member -> member.primary() && takeover.awaitsObservedLead(snapshot))
                .filter(member -> isDue("takeover", nowMs))
                .<SyncFailoverEffect>map(member -> new AskStatus(member.instanceId()))
                .stream()
                .toList();
    }

    private boolean isEligible(MemberView member) {
        return !member.primary() && !member.draining() && isAnnounced(member);
    }

    private List<SyncFailoverEffect> raiseToken(GroupSnapshot snapshot) {
        commandsSentAtMs.clear();
        pauses.dropUnsentResumes();
        boolean unfinished =
                snapshot.token() > 0 && (!snapshot.concluded() || isPrimaryUnsettled(snapshot, clock.millis()));
        boolean nothingOrdered = snapshot.token() == ownToken && !promotionRequested && !earlierPromotionPending;
        earlierPromotionPending = unfinished && (snapshot.concluded() || !nothingOrdered);
        settlesPrimary = false;
        Set<String> unsettled = new HashSet<>();
        if (earlierPromotionPending) {
            unsettled.addAll(snapshot.unsettledChoices());
            snapshot.chosenId().ifPresent(unsettled::add);
            rejectedCandidate.ifPresent(unsettled::remove);
        }
        rejectedCandidate = Optional.empty();
        reachableAtTokenRaise = false;
        seal.reset(snapshot, unfinished);
        fencing.reset(unsettled);
        promotionResult = Optional.empty();
        promotionRequested = false;
        ownToken = snapshot.token() + 1;
        logCommitPending = true;
        tokenCommitPending = true;
        return List.of(new RaiseToken(snapshot.token(), unsettled));
    }

    private List<SyncFailoverEffect> fence(GroupSnapshot snapshot, long nowMs) {
        Optional<MemberView> primary = primary(snapshot);
        boolean replacementTimedOut = fencing.elapsedMs() > FencingState.LIVE_REPLACEMENT_TIMEOUT_MS;
        if ((!replacesLivePrimary || replacementTimedOut)
                && primary.isPresent()
                && isPrimaryConfirmed(snapshot, primary.get(), nowMs)) {
            logCommitPending = true;
            Choose keepPrimary = new Choose(ownToken, primary.get().instanceId());
            if (earlierPromotionPending) {
                return List.of(keepPrimary);
            }
            takeover.skip(ownToken);
            return List.of(keepPrimary, new Conclude(ownToken, primary.get().instanceId()));
        }
        if (settlesPrimary && fencing.elapsedMs() <= timings.initialDetectionMs()) {
            return List.of();
        }
        Optional<String> candidate = candidate(snapshot);
        if (candidate.isPresent() && !seal.awaitsReports(snapshot)) {
            logCommitPending = true;
            return List.of(new Choose(ownToken, candidate.get()));
        }
        return fencingCommands(snapshot, nowMs);
    }

    private boolean isPrimaryConfirmed(GroupSnapshot snapshot, MemberView primary, long nowMs) {
        boolean recentlyProven = provenPrimaryId.equals(Optional.of(primary.instanceId()))
                && nowMs - lastPrimaryProofAtMs < timings.commandRetryIntervalMs()
                && lastPrimaryProofAtMs > nowMs - fencing.elapsedMs();
        return recentlyProven && fencing.demotedId().isEmpty() && !promotionRequested && snapshot.stalledWriteMs() == 0;
    }

    private List<SyncFailoverEffect> fencingCommands(GroupSnapshot snapshot, long nowMs) {
        List<SyncFailoverEffect> effects = new ArrayList<>();
        long term = fencing.nextTerm();
        for (MemberView member : snapshot.members()) {
            String id = member.instanceId();
            if (!isDue(id, nowMs)) {
                continue;
            }
            Optional<ReplicaStatus> status = fencing.recentStatus(id);
            if (status.isEmpty()) {
                effects.add(new AskStatus(id));
            } else if (status.get().primary()) {
                demote(snapshot, member, term).ifPresent(effects::add);
            } else if (status.get().heldTerm() == 0 && !fencing.isDemoted(id) && pauses.isReliable(snapshot, member)) {
                effects.add(pause(id, term));
            } else {
                commandsSentAtMs.remove(id);
            }
        }
        return effects;
    }

    private Pause pause(String instanceId, long term) {
        fencing.onPauseSent(instanceId, term);
        pauses.onPauseSent(instanceId);
        return new Pause(instanceId, term);
    }

    /**
     * Pauses replicas that receive while a promotion may be about to take effect, and demotes the old primary if it responds. A replica
     * that joined or restarted after the candidate was chosen would otherwise acknowledge commits that the candidate lacks.
     */
    private List<SyncFailoverEffect> keepFenced(GroupSnapshot snapshot, long nowMs) {
        if (snapshot.chosenId().filter(id -> isCurrentPrimary(snapshot, id)).isPresent()) {
            return List.of();
        }
        List<SyncFailoverEffect> effects = new ArrayList<>();
        for (MemberView member : snapshot.members()) {
            String id = member.instanceId();
            if (snapshot.chosenId().equals(Optional.of(id)) || !isDue("fenced " + id, nowMs)) {
                continue;
            }
            Optional<ReplicaStatus> status = fencing.recentStatus(id);
            if (status.isEmpty()) {
                effects.add(new AskStatus(id));
            } else if (status.get().primary()) {
                demote(snapshot, member, fencing.nextTerm()).ifPresent(effects::add);
            } else if (status.get().heldTerm() == 0 && !fencing.isDemoted(id)) {
                effects.add(pause(id, fencing.nextTerm()));
            }
        }
        return effects;
    }

    /**
     * Demotes a primary, unless its log is unproven or no candidate responds. The demotion of a primary with an unproven log
     * would prove nothing, and afterwards no instance could provide a proof that it leads. The same applies to one that may have
     * restarted, until its announcement shows whether it has, unless a promotion may take effect meanwhile. While an earlier promotion may take effect,
     * a primary that responds is first given the time to prove that it leads: its promotion under the new token makes the platform
     * reject the earlier request, while a demotion leaves the group without a primary until the earlier request is carried out.
     * A chosen candidate that leads is not demoted; its announcement is on its way.
     */
    private Optional<SyncFailoverEffect> demote(GroupSnapshot snapshot, MemberView primary, long term) {
        boolean mayBeConfirmed = earlierPromotionPending && fencing.elapsedMs() <= timings.initialDetectionMs();
        boolean isChosen = snapshot.chosenId().equals(Optional.of(primary.instanceId()));
        boolean promotionPossible =
                earlierPromotionPending || snapshot.chosenId().isPresent();
        boolean logUnproven = primary.logUnproven() || (!promotionPossible && coverage.awaitsAnnouncement(primary));
        if (hasRespondingCandidate(snapshot) && !logUnproven && !mayBeConfirmed && !isChosen) {
            return Optional.of(new Demote(primary.instanceId(), term));
        }
        commandsSentAtMs.remove(primary.instanceId());
        return Optional.empty();
    }

    /** Whether an eligible replica has responded recently. A working primary is not demoted without a possible successor. */
    private boolean hasRespondingCandidate(GroupSnapshot snapshot) {
        return snapshot.members().stream()
                .filter(this::isEligible)
                .anyMatch(member -> fencing.recentStatus(member.instanceId()).isPresent());
    }

    private boolean isDue(String command, long nowMs) {
        Long sentAtMs = commandsSentAtMs.get(command);
        if (sentAtMs != null && nowMs - sentAtMs < timings.commandRetryIntervalMs()) {
            return false;
        }
        commandsSentAtMs.put(command, nowMs);
        return true;
    }

    private List<SyncFailoverEffect> promote(GroupSnapshot snapshot, String chosenId, long nowMs) {
        if (promotionResult.isPresent()) {
            boolean accepted = promotionResult.get();
            promotionResult = Optional.empty();
            if (!accepted) {
                ownToken = 0;
                rejectedCandidate = Optional.of(chosenId);
                return List.of();
            }
            lastPrimaryProofAtMs = nowMs;
            takeover.begin(ownToken);
            logCommitPending = true;
            return List.of(new Conclude(ownToken, chosenId, snapshot.unsettledChoices()));
        }
        boolean currentPrimary = isCurrentPrimary(snapshot, chosenId);
        Optional<String> candidate = candidate(snapshot);
        boolean keepsPrimary =
                snapshot.promotedMember().filter(MemberView::primary).isPresent();
        if (!promotionRequested && !keepsPrimary && isOutdatedChoice(snapshot, chosenId, candidate, nowMs)) {
            rejectedCandidate = Optional.of(chosenId);
            return raiseToken(snapshot);
        }
        if (currentPrimary || (!promotionRequested && keepsPrimary) || candidate.equals(Optional.of(chosenId))) {
            if (!isDue("promote", nowMs)) {
                return keepFenced(snapshot, nowMs);
            }
            promotionRequested = true;
            return List.of(new Promote(ownToken, chosenId));
        }
        if (nowMs - commandsSentAtMs.getOrDefault("promote", nowMs) > PROMOTION_RESULT_TIMEOUT_MS) {
            return raiseToken(snapshot);
        }
        return fencingCommands(snapshot, nowMs);
    }

    /**
     * Whether the chosen instance, for which no order was sent, has to be chosen anew: a reported commit or a replica's position shows that it lacks commits, or
     * nothing has proven again for some time that it has all of them. A member that has registered since the choice is a copy that the choice did not count.
     */
    private boolean isOutdatedChoice(GroupSnapshot snapshot, String chosenId, Optional<String> candidate, long nowMs) {
        commandsSentAtMs.putIfAbsent("choice", nowMs);
        boolean timedOut = nowMs - commandsSentAtMs.get("choice") > PROMOTION_RESULT_TIMEOUT_MS;
        return fencing.lacksAcknowledged(
                        chosenId,
                        snapshot.commitReports().acknowledged(),
                        copyCount(snapshot) < snapshot.members().size())
                || fencing.isBehindReplica(chosenId)
                || candidate.filter(id -> !id.equals(chosenId)).isPresent()
                || (timedOut && candidate.isEmpty());
    }

    /** Whether the candidate is the primary itself, for which a promotion request changes nothing. */
    private boolean isCurrentPrimary(GroupSnapshot snapshot, String chosenId) {
        return primary(snapshot)
                .filter(member -> member.instanceId().equals(chosenId) && takeover.isLeadObserved(snapshot, member))
                .isPresent();
    }

    /**
     * The member that reports itself as primary and was not demoted, or was promoted again since. Of several, the one chosen last, or proven last, or else the one with
     * the latest announcement: the others may be announced by another writer.
     */
    private Optional<MemberView> primary(GroupSnapshot snapshot) {
        return snapshot.members().stream()
                .filter(member -> !fencing.demotedId().equals(Optional.of(member.instanceId()))
                        || takeover.hasTakenOver(snapshot, member.instanceId()))
                .filter(MemberView::primary)
                .min(Comparator.comparing(
                                (MemberView member) -> !snapshot.chosenId().equals(Optional.of(member.instanceId())))
                        .thenComparing(member -> !provenPrimaryId.equals(Optional.of(member.instanceId())))
                        .thenComparingLong(MemberView::silentMs));
    }
}
