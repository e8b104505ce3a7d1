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
import org.hornbeamspread.core.failover.SyncFailoverEffect.Choose;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Conclude;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Demote;
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
 * <p>A commit is acknowledged once the primary and one replica hold it. Whoever is promoted must hold every such commit, and
 * none may be acknowledged behind the choice. A replica that is asked for its position and then receives more would break
 * both; so would a choice among some of the replicas, since the one left out may be the only holder. The steps:
 *
 * <ol>
 *   <li>A new fencing token is committed to the log. A promotion that another leader, or this one earlier, ordered under a
 *       lower token is refused by the platform from the moment it has seen this one.
 *   <li>The old primary is demoted if it can be reached. Every replica is paused, which stops it from acknowledging.
 *   <li>Once all members but one are paused or demoted, the one with the latest position holds all that was ever
 *       acknowledged, since the primary and a replica hold each commit. A replica that holds all of a demoted primary's log
 *       does too. A pause ends with a restart and with any promotion, an earlier order that is carried out late included; so only
 *       answers of the last moment count. A log that was lost with a database counts as a member that does not answer, until
 *       {@link ReplicaCoverage} shows that nothing acknowledged depends on it.
 *   <li>The choice is committed, then ordered, and ordered again until there is a clear answer, as long as it still holds all:
 *       an order without an answer may be carried out much later. Until then no replica is told to receive again.
 *   <li>The end is committed. An accepted order takes a while to take effect, and the old primary may lead until then: the other
 *       replicas receive again only once the promoted instance has announced that it leads.
 * </ol>
 *
 * <p>A leader that finds a promotion unfinished begins again with a token of its own. While the instance chosen before still
 * qualifies it stays the choice: if its order is carried out late, the new order changes nothing; another is ordered only when an
 * order accepted before would have taken effect. If the old primary proves to be alive while replicas are still missing, it stays, and the replicas are resumed. Where an earlier order may still be under way, the
 * old primary is ordered under the new token first, which changes nothing but has the earlier order refused. Confined to one
 * thread.
 */
public final class SyncGroupFailover {
    /** An order without an answer that may not be repeated, since a replica receives again, is given up after this. */
    private static final long PROMOTION_RESULT_TIMEOUT_MS = 1_500;

    private final Clock clock;
    private final SyncFailoverTimings timings;
    private final FencingState fencing;
    private final ReplicaCoverage coverage;
    private final Map<String, Long> commandsSentAtMs = new HashMap<>();
    private final Set<String> pausedIds = new HashSet<>();

    /** Members of which this leader knows whether they are paused. */
    private final Set<String> respondedIds = new HashSet<>();

    /** The token that this leader raised; 0 for none. */
    private long ownToken;

    /** Whether an order under an earlier token may still be carried out. */
    private boolean earlierPromotionPending;

    /** Refused by the platform for good, so that no order for it is under way. */
    private Optional<String> rejectedCandidate = Optional.empty();

    /** Whether the present promotion replaces a primary that works. */
    private boolean replacesLivePrimary;

    private boolean logCommitPending;
    private boolean tokenCommitPending;
    private boolean promotionRequested;
    private Optional<Boolean> promotionResult = Optional.empty();

    /** Since when the group is without a proof of its primary. */
    private long lastPrimaryProofAtMs;

    /** The latest promotion that this leader saw concluded; -1 before the first. */
    private long concludedToken = -1;

    /** When its order was accepted, or first seen as accepted; long ago where nothing was ordered. */
    private long promotionAcceptedAtMs;

    /** Whether the promoted instance had not begun to lead when last looked at. */
    private boolean takeoverPending;

    /** A group's failover under a new leader. */
    public SyncGroupFailover(Clock clock, SyncFailoverTimings timings) {
        this.clock = clock;
        this.timings = timings;
        this.fencing = new FencingState(clock, timings);
        this.coverage = new ReplicaCoverage(clock, timings);
        this.lastPrimaryProofAtMs = clock.millis() + timings.initialDetectionMs() - timings.detectionMs();
    }

    /**
     * A member of the group.
     *
     * @param instanceId its id
     * @param draining whether it is about to leave
     * @param primary whether it says that it is the primary
     * @param silentMs since its last announcement to this leader
     * @param logUnproven whether another incarnation was lost at its address, and with it perhaps acknowledged commits
     */
    public record MemberView(
            String instanceId, boolean draining, boolean primary, long silentMs, boolean logUnproven) {}

    /**
     * What is known of the group.
     *
     * @param token of the latest promotion in the log; 0 for none
     * @param chosenId of that promotion, once chosen
     * @param unsettledChoices chosen under tokens before, without an end since; their orders may be under way
     * @param concluded whether it is over
     * @param members present members
     * @param lostCopies logs that may have been lost with a database, and have not been recovered
     * @param departedCopies those of them that nobody followed at their address, so that their process may not have ended yet
     * @param proof the latest that this leader got itself
     * @param primaryProofAgeMs since any observer last had proof that the primary works
     * @param stalledWriteMs how long writes have waited at the primary while none succeeded; 0 for none
     * @param refused whether the primary's address refuses connections
     * @param cutOff whether too many proxies can't reach the primary, though it works
     */
    public record GroupSnapshot(
            long token,
            Optional<String> chosenId,
            Set<String> unsettledChoices,
            boolean concluded,
            List<MemberView> members,
            List<LostCopy> lostCopies,
            List<LostCopy> departedCopies,
            Optional<PrimaryProof> primaryProof,
            long primaryProofAgeMs,
            long stalledWriteMs,
            boolean connectionRefused,
            boolean unreachableFromProxies) {
        /** Copies the collections. */
        public GroupSnapshot {
            unsettledChoices = Set.copyOf(unsettledChoices);
            members = List.copyOf(members);
            lostCopies = List.copyOf(lostCopies);
            departedCopies = List.copyOf(departedCopies);
        }
    }

    /** Decides what to do next. To be called at each tick and after each report. */
    public List<SyncFailoverEffect> step(GroupSnapshot situation) {
        long nowMs = clock.millis();
        lastPrimaryProofAtMs = Math.max(lastPrimaryProofAtMs, nowMs - situation.primaryProofAgeMs());
        fencing.updateMembers(situation.members());
        coverage.updateLosses(situation);
        if (logCommitPending || situation.members().isEmpty()) {
            return List.of();
        }
        boolean settled = situation.token() == 0 || situation.concluded();
        if (settled) {
            return monitorPrimary(situation, nowMs);
        }
        if (situation.token() != ownToken) {
            return raiseToken(situation);
        }
        return situation.chosenId().isPresent()
                ? promote(situation, situation.chosenId().get(), nowMs)
                : fence(situation, nowMs);
    }

    /**
     * A change of the log that was asked for has ended.
     *
     * @param committed whether it surely took effect. A token that may be another leader's is not this one's: it is raised again.
     */
    public void onLogCommitEnded(boolean committed) {
        logCommitPending = false;
        if (tokenCommitPending && !committed) {
            ownToken = 0;
        }
        tokenCommitPending = false;
    }

    /** An instance answered a status question, a pause or a demotion. */
    public void onStatus(String instanceId, ReplicaStatus status) {
        if (fencing.onStatus(instanceId, status)) {
            commandsSentAtMs.remove(instanceId);
            commandsSentAtMs.remove("fenced " + instanceId);
        }
        respondedIds.add(instanceId);
        coverage.onResponse(instanceId);
        if (status.heldTerm() > 0 && !status.primary()) {
            pausedIds.add(instanceId);
        }
    }

    /** An instance's address refused a connection. */
    public void onConnectionRefused(String instanceId) {
        coverage.onConnectionRefused(instanceId);
    }

    /** The old primary confirmed that it is a replica now. */
    public void onDemoted(String instanceId, ReplicaStatus status) {
        onStatus(instanceId, status);
        if (!status.primary()) {
            fencing.onDemoted(instanceId, status);
        }
    }

    /** A paused replica confirmed that it receives again. */
    public void onResumed(String instanceId) {
        pausedIds.remove(instanceId);
    }

    /**
     * The platform answered an order.
     *
     * @param accepted false when it refused for good: a higher token was used, or the instance does not run
     */
    public void onPromotionResult(long token, boolean accepted) {
        if (token == ownToken) {
            promotionResult = Optional.of(accepted);
        }
    }

    /** How long the group has had no proof of a working primary. */
    public long outageMs() {
        return clock.millis() - lastPrimaryProofAtMs;
    }

    /** How many logs may hold an acknowledged commit that others lack; all but one must be fenced. */
    public long copyCount(GroupSnapshot situation) {
        long dispensable = situation.members().stream()
                .filter(member -> !fencing.isRespondingReplica(member.instanceId()))
                .filter(member -> coverage.needsNoFencing(member))
                .count();
        return situation.members().size() - dispensable + situation.lostCopies().size();
    }

    /** What each member answered last and how long ago, in words for the log. */
    public List<String> describeStatuses(GroupSnapshot situation) {
        return situation.members().stream().map(fencing::describe).toList();
    }

    private List<SyncFailoverEffect> monitorPrimary(GroupSnapshot situation, long nowMs) {
        if (awaitsTakeover(situation, nowMs)) {
            return keepFenced(situation, nowMs);
        }
        long limitMs = situation.connectionRefused() ? timings.refusedDetectionMs() : timings.detectionMs();
        boolean lost =
                nowMs - lastPrimaryProofAtMs > limitMs || situation.stalledWriteMs() > timings.writeStallTimeoutMs();
        Optional<MemberView> primary = primary(situation);
        boolean leaving = primary.isPresent() && primary.get().draining();
        boolean demotable = primary.isEmpty() || !primary.get().logUnproven();
        // A repeated order of the last promotion may take effect until then, and would undo a demotion.
        boolean quiet = situation.token() == 0 || nowMs - promotionAcceptedAtMs > timings.promotionTimeoutMs();
        replacesLivePrimary = quiet && demotable && (leaving || situation.unreachableFromProxies());
        boolean replaceable = situation.members().stream().anyMatch(this::isEligible);
        if ((lost || replacesLivePrimary) && replaceable && situation.members().size() > 1) {
            return raiseToken(situation);
        }
        List<SyncFailoverEffect> effects = new ArrayList<>();
        for (String paused : List.copyOf(pausedIds)) {
            if (isDue("resume " + paused, nowMs)) {
                effects.add(new Resume(paused));
            }
        }
        effects.addAll(queryUnknownPauseStates(situation, nowMs));
        effects.addAll(checkCoverage(situation, nowMs));
        return effects;
    }

    /** The leader before may have left replicas paused. */
    private List<SyncFailoverEffect> queryUnknownPauseStates(GroupSnapshot situation, long nowMs) {
        respondedIds.retainAll(
                situation.members().stream().map(MemberView::instanceId).toList());
        return announcedReplicas(situation).stream()
                .filter(member -> !respondedIds.contains(member.instanceId()))
                .filter(member -> isDue("first " + member.instanceId(), nowMs))
                .<SyncFailoverEffect>map(member -> new AskStatus(member.instanceId()))
                .toList();
    }

    private List<MemberView> announcedReplicas(GroupSnapshot situation) {
        return situation.members().stream()
                .filter(member -> !member.primary() && member.silentMs() < timings.maxCandidateSilenceMs())
                .toList();
    }

    /** Finds out whether all that was acknowledged is held without the copies that were lost or may be. */
    private List<SyncFailoverEffect> checkCoverage(GroupSnapshot situation, long nowMs) {
        if (!coverage.isCheckDue(situation)) {
            return List.of();
        }
        List<MemberView> replicas = announcedReplicas(situation);
        List<LogPosition> received = replicas.stream()
                .flatMap(member -> fencing.recentStatus(member.instanceId()).stream())
                .filter(status -> !status.primary())
                .map(ReplicaStatus::received)
                .toList();
        coverage.check(situation, received);
        List<LostCopy> recovered = coverage.recoveredCopies();
        if (!recovered.isEmpty()) {
            return isDue("recover", nowMs) ? List.of(new Recover(recovered)) : List.of();
        }
        return situation.members().stream()
                .filter(member -> replicas.contains(member) || coverage.isSilent(member))
                .filter(member -> isDue("coverage " + member.instanceId(), nowMs))
                .<SyncFailoverEffect>map(member -> new AskStatus(member.instanceId()))
                .toList();
    }

    private Optional<String> candidate(GroupSnapshot situation) {
        long dispensable = situation.members().stream()
                .filter(member -> !fencing.isRespondingReplica(member.instanceId()))
                .filter(member -> coverage.needsNoFencing(member))
                .count();
        return fencing.candidate(
                situation.members(),
                situation.members().size()
                        - dispensable
                        + situation.lostCopies().size());
    }

    /**
     * Whether an accepted order may not have taken effect yet. Until then the primary before it may still lead: a replica that
     * is told to receive again would acknowledge for it, and another promotion would build on what the first is about to undo.
     */
    private boolean awaitsTakeover(GroupSnapshot situation, long nowMs) {
        if (concludedToken != situation.token()) {
            concludedToken = situation.token();
            beginTakeover(nowMs);
        }
        Optional<MemberView> promoted = situation.members().stream()
                .filter(member -> situation.chosenId().equals(Optional.of(member.instanceId())))
                .findFirst();
        boolean own = concludedToken == ownToken;
        boolean awaited = promoted.filter(
                        member -> !member.primary() || (own && member.silentMs() >= nowMs - promotionAcceptedAtMs))
                .isPresent();
        boolean earlierAwaited = earlierPromotionPending && own;
        if ((awaited || earlierAwaited) && nowMs - promotionAcceptedAtMs <= timings.promotionTimeoutMs()) {
            return true;
        }
        if (takeoverPending) {
            takeoverPending = false;
            boolean sawTakeover = promotionAcceptedAtMs < nowMs;
            lastPrimaryProofAtMs =
                    Math.max(lastPrimaryProofAtMs, sawTakeover && !awaited ? nowMs : lastPrimaryProofAtMs);
        }
        return false;
    }

    private void beginTakeover(long nowMs) {
        promotionAcceptedAtMs = nowMs;
        takeoverPending = true;
    }

    private boolean isEligible(MemberView member) {
        return !member.primary() && !member.draining() && member.silentMs() < timings.maxCandidateSilenceMs();
    }

    private List<SyncFailoverEffect> raiseToken(GroupSnapshot situation) {
        commandsSentAtMs.clear();
        earlierPromotionPending = situation.token() > 0 && !situation.concluded();
        Set<String> unsettled = new HashSet<>();
        if (earlierPromotionPending) {
            unsettled.addAll(situation.unsettledChoices());
            situation.chosenId().ifPresent(unsettled::add);
            rejectedCandidate.ifPresent(unsettled::remove);
        }
        rejectedCandidate = Optional.empty();
        fencing.reset(unsettled);
        promotionResult = Optional.empty();
        promotionRequested = false;
        ownToken = situation.token() + 1;
        logCommitPending = true;
        tokenCommitPending = true;
        return List.of(new RaiseToken(situation.token(), unsettled));
    }

    private List<SyncFailoverEffect> fence(GroupSnapshot situation, long nowMs) {
        Optional<MemberView> primary = primary(situation);
        boolean vain = fencing.elapsedMs() > FencingState.LIVE_REPLACEMENT_TIMEOUT_MS;
        if ((!replacesLivePrimary || vain) && isPrimaryConfirmed(situation, nowMs) && primary.isPresent()) {
            logCommitPending = true;
            Choose stay = new Choose(ownToken, primary.get().instanceId());
            if (earlierPromotionPending) {
                return List.of(stay);
            }
            concludedToken = ownToken;
            promotionAcceptedAtMs = nowMs - timings.promotionTimeoutMs() - 1;
            return List.of(stay, new Conclude(ownToken, primary.get().instanceId()));
        }
        Optional<String> choice = candidate(situation);
        if (choice.isPresent()) {
            logCommitPending = true;
            return List.of(new Choose(ownToken, choice.get()));
        }
        return fencingCommands(situation, nowMs);
    }

    private boolean isPrimaryConfirmed(GroupSnapshot situation, long nowMs) {
        boolean proven = nowMs - lastPrimaryProofAtMs < timings.commandRetryIntervalMs()
                && lastPrimaryProofAtMs > nowMs - fencing.elapsedMs();
        return proven && fencing.demotedId().isEmpty() && !promotionRequested && situation.stalledWriteMs() == 0;
    }

    private List<SyncFailoverEffect> fencingCommands(GroupSnapshot situation, long nowMs) {
        List<SyncFailoverEffect> effects = new ArrayList<>();
        long term = fencing.nextTerm();
        for (MemberView member : situation.members()) {
            String id = member.instanceId();
            if (!isDue(id, nowMs)) {
                continue;
            }
            Optional<ReplicaStatus> status = fencing.recentStatus(id);
            if (status.isEmpty()) {
                effects.add(new AskStatus(id));
            } else if (status.get().primary()) {
                demote(situation, member, term).ifPresent(effects::add);
            } else if (status.get().heldTerm() == 0 && !fencing.isDemoted(id)) {
                effects.add(pause(id, term));
            } else {
                commandsSentAtMs.remove(id);
            }
        }
        return effects;
    }

    private Pause pause(String instanceId, long term) {
        fencing.onPauseSent(instanceId, term);
        // Its answer may be lost.
        pausedIds.add(instanceId);
        return new Pause(instanceId, term);
    }

    /**
     * Pauses whoever receives while an order may be about to take effect: a replica that came or started again since the choice would
     * acknowledge behind it for a primary that control does not reach.
     */
    private List<SyncFailoverEffect> keepFenced(GroupSnapshot situation, long nowMs) {
        if (situation.chosenId().filter(id -> isCurrentPrimary(situation, id)).isPresent()) {
            return List.of();
        }
        List<SyncFailoverEffect> effects = new ArrayList<>();
        for (MemberView member : situation.members()) {
            String id = member.instanceId();
            if (member.primary() || situation.chosenId().equals(Optional.of(id)) || !isDue("fenced " + id, nowMs)) {
                continue;
            }
            Optional<ReplicaStatus> status = fencing.recentStatus(id);
            if (status.isEmpty()) {
                effects.add(new AskStatus(id));
            } else if (!status.get().primary() && status.get().heldTerm() == 0 && !fencing.isDemoted(id)) {
                effects.add(pause(id, fencing.nextTerm()));
            }
        }
        return effects;
    }

    /** A primary whose log is unproven would prove nothing by its demotion, and nobody could prove to lead any more. */
    private Optional<SyncFailoverEffect> demote(GroupSnapshot situation, MemberView primary, long term) {
        if (hasRespondingCandidate(situation) && !primary.logUnproven()) {
            return Optional.of(new Demote(primary.instanceId(), term));
        }
        commandsSentAtMs.remove(primary.instanceId());
        return Optional.empty();
    }

    /** Whether a replica that could lead has just answered. A primary that works is not demoted for nothing. */
    private boolean hasRespondingCandidate(GroupSnapshot situation) {
        return situation.members().stream()
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

    private List<SyncFailoverEffect> promote(GroupSnapshot situation, String chosenId, long nowMs) {
        if (promotionResult.isPresent()) {
            boolean accepted = promotionResult.get();
            promotionResult = Optional.empty();
            if (!accepted) {
                ownToken = 0;
                rejectedCandidate = Optional.of(chosenId);
                return List.of();
            }
            lastPrimaryProofAtMs = nowMs;
            concludedToken = ownToken;
            beginTakeover(nowMs);
            pausedIds.remove(chosenId);
            logCommitPending = true;
            return List.of(new Conclude(ownToken, chosenId));
        }
        if (!promotionRequested
                || isCurrentPrimary(situation, chosenId)
                || candidate(situation).equals(Optional.of(chosenId))) {
            if (!isDue("promote", nowMs)) {
                return keepFenced(situation, nowMs);
            }
            promotionRequested = true;
            return List.of(new Promote(ownToken, chosenId));
        }
        if (nowMs - commandsSentAtMs.getOrDefault("promote", nowMs) > PROMOTION_RESULT_TIMEOUT_MS) {
            return raiseToken(situation);
        }
        return fencingCommands(situation, nowMs);
    }

    /** Whether the choice is the primary itself, which an order does not change. */
    private boolean isCurrentPrimary(GroupSnapshot situation, String chosenId) {
        return primary(situation)
                .filter(member -> member.instanceId().equals(chosenId))
                .isPresent();
    }

    /** The member that says it leads; of several, the one that was heard last. */
    private Optional<MemberView> primary(GroupSnapshot situation) {
        return situation.members().stream()
                .filter(member -> !fencing.demotedId().equals(Optional.of(member.instanceId())))
                .filter(MemberView::primary)
                .min(Comparator.comparingLong(MemberView::silentMs));
    }
}
