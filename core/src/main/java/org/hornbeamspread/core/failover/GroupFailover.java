package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.failover.FailoverEffect.AppendRecord;
import org.hornbeamspread.core.failover.FailoverEffect.Fence;
import org.hornbeamspread.core.failover.FailoverEffect.Promote;
import org.hornbeamspread.core.membership.DatabaseStatus;

/**
 * Decides when the primary of one database group is replaced, and by which database.
 *
 * <p>Replication is asynchronous, and only this class starts promotions. Three faults can lose an acknowledged write: a
 * new primary that lacks the write, an old primary that still collects acknowledgements, and a proxy that acknowledges
 * writes under an outdated view. The steps of a promotion exclude these faults in this order:
 *
 * <ol>
 *   <li>The next term is committed to the control log, without a primary. From then on no other control leader can use
 *       that term for a different promotion.
 *   <li>The members are fenced at the new term. A fence quorum contains a holder of every acknowledged write, and the
 *       old primary cannot get a write acknowledged without a database of that quorum.
 *   <li>A fenced database whose log is at least as advanced, in the order of {@link PromotionRules}, as the logs of a
 *       quorum of fenced databases is committed to the control log as the primary.
 *   <li>The chosen database is promoted. The other members follow it.
 *   <li>When every lease on an older view has expired, the term is committed as writable, and the view that shows the
 *       term as writable is published.
 * </ol>
 *
 * <p>Each step is computed from the record in the control log and the latest database statuses, not from the commands
 * sent earlier. A lost response therefore only causes a retry, and a new leader resumes an unfinished promotion at its
 * current step: a database that reports the record's term while the record has no primary counts as fenced, regardless
 * of which leader fenced it.
 *
 * <p>A promotion starts only while enough members are available to complete it. With fewer members a promotion could
 * not finish, and the old primary, if still running, can at least serve reads. Confined to one thread.
 */
public final class GroupFailover {
    private final Clock clock;
    private final PromotionRules rules;
    private final FailoverTimings timings;
    private final FailoverListener listener;
    private final CommandThrottle throttle;
    private final Followers followers;
    private final PrimarySelector selector;

    /** Completion times of this leader's recent promotions that replaced a lost primary, oldest first. */
    private final Deque<Instant> recentPromotionTimes = new ArrayDeque<>();

    /** Whether the promotion in progress replaces a lost primary. */
    private boolean replacingLostPrimary;

    /** The primary that was suspected when the promotion started; fencing does not wait for this database. */
    private Optional<String> lostPrimaryId = Optional.empty();

    /** When this leader first processed the current term with a chosen primary; null before. */
    private Instant primaryChosenAt;

    /** The term of the latest processed record; -1 before the first record. */
    private long currentTerm = -1;

    private Instant termStartedAt;

    /** When the pending append to the control log was proposed; null when no append is pending. */
    private Instant proposalPendingSince;

    private boolean promoteRefused;
    private boolean promotionReported;
    private boolean writableReported;

    /** Since when the record's primary has reported another role or term; null while it reports to be the primary. */
    private Instant notPrimarySince;

    /** The incarnation that reported to be primary of the current term; 0 before such a report. */
    private long primaryIncarnation;

    /** Creates the failover of one group, without any state from earlier steps. */
    public GroupFailover(Clock clock, PromotionRules rules, FailoverTimings timings, FailoverListener listener) {
        this.clock = clock;
        this.rules = rules;
        this.timings = timings;
        this.listener = listener;
        this.throttle = new CommandThrottle(clock, timings);
        this.followers = new Followers(rules, throttle);
        this.selector = new PrimarySelector(rules);
        this.termStartedAt = clock.instant();
    }

    /** Returns the next effects. Must be called after each change of the input and at each tick. */
    public List<FailoverEffect> step(FailoverInput input) {
        observeRecord(input.record());
        if (proposalPendingSince != null && millisSince(proposalPendingSince) <= timings.promoteTimeoutMs()) {
            return List.of();
        }
        Optional<FailoverEffect> registration = followers.nextRegistrations(input);
        if (registration.isPresent()) {
            proposalPendingSince = clock.instant();
            return List.of(registration.get());
        }
        if (input.registrations().isEmpty()) {
            return List.of();
        }
        if (input.record().term() == 0) {
            return startPromotion(input, PromotionReason.FIRST);
        }
        if (input.record().primaryId().isEmpty()) {
            return advanceFencing(input);
        }
        return input.record().writable() ? monitorPrimary(input) : advancePromotion(input);
    }

    /**
     * Called when the pending append has completed, successfully or not; the record in the log shows the result. An
     * append without a reported result counts as completed after {@link FailoverTimings#promoteTimeoutMs}. Such an
     * append may still be committed later, which is safe because the log accepts only one primary per term.
     */
    public void onProposalCompleted() {
        proposalPendingSince = null;
    }

    /** Called when the chosen database refused to become primary at a term. */
    public void onPromoteRefused(long term) {
        promoteRefused |= term == currentTerm;
    }

    /** Called when a database confirmed that it follows the primary at a term. */
    public void onFollowing(String databaseId, long incarnation, long term) {
        if (term == currentTerm) {
            followers.onFollowing(databaseId, incarnation);
        }
    }

    /** Requests a handover to the given database, or to the best candidate other than the current primary. */
    public void requestHandover(Optional<String> databaseId) {
        selector.requestHandover(databaseId);
    }

    /** The number of lost primaries replaced by this leader within the window for repeated promotions. */
    public int recentPromotions() {
        Instant oldest = clock.instant().minusMillis(timings.repeatPromotionWindowMs());
        while (!recentPromotionTimes.isEmpty()
                && recentPromotionTimes.peekFirst().isBefore(oldest)) {
            recentPromotionTimes.removeFirst();
        }
        return recentPromotionTimes.size();
    }

    private void observeRecord(GroupRecord record) {
        if (record.term() != currentTerm) {
            currentTerm = record.term();
            termStartedAt = clock.instant();
            primaryChosenAt = null;
            promoteRefused = false;
            promotionReported = record.writable();
            writableReported = record.writable();
            notPrimarySince = null;
            primaryIncarnation = 0;
            throttle.clear();
            followers.clear();
        }
        if (record.writable() && !writableReported) {
            writableReported = true;
            selector.onPromotionCompleted();
            if (replacingLostPrimary) {
                recentPromotionTimes.addLast(clock.instant());
                replacingLostPrimary = false;
            }
            lostPrimaryId = Optional.empty();
            listener.onWritable(record.group(), record.term(), millisSinceTermStart());
        }
    }

    private List<FailoverEffect> startPromotion(FailoverInput input, PromotionReason reason) {
        long highestTerm =
                input.members().stream().mapToLong(DatabaseStatus::term).max().orElse(0);
        long nextTerm = Math.max(highestTerm, input.record().term()) + 1;
        long silenceMs = input.record()
                .primaryId()
                .map(id -> input.suspected().getOrDefault(id, 0L))
                .orElse(0L);
        replacingLostPrimary |= reason.replacesLostPrimary();
        if (reason == PromotionReason.LOST) {
            lostPrimaryId = input.record().primaryId();
        }
        proposalPendingSince = clock.instant();
        listener.onPromotionStarted(input.record().group(), nextTerm, reason, silenceMs);
        return List.of(new AppendRecord(
                input.record().withNewTerm(nextTerm), input.record().term()));
    }

    private List<FailoverEffect> advanceFencing(FailoverInput input) {
        long term = input.record().term();
        if (input.members().stream().anyMatch(status -> status.term() > term)) {
            return startPromotion(input, PromotionReason.HIGHER_TERM);
        }
        List<DatabaseStatus> fenced = input.members().stream()
                .filter(status -> status.term() == term && isTrusted(input, status))
                .toList();
        boolean hasQuorum = fenced.size() >= rules.fenceQuorum(input.declaredDatabases());
        if (hasQuorum
                && (fenced.size() >= expectedFencedMembers(input) || millisSinceTermStart() >= timings.retryMs())) {
            Optional<DatabaseStatus> chosen = selector.choose(input, fenced);
            if (chosen.isPresent()) {
                proposalPendingSince = clock.instant();
                String databaseId = chosen.get().databaseId();
                listener.onPrimaryChosen(input.record().group(), term, databaseId, millisSinceTermStart());
                return List.of(new AppendRecord(input.record().withPrimary(databaseId), term));
            }
        }
        return sendFences(input);
    }

    /** The number of members that are expected to be fenced soon; a lost primary counts only once it is fenced. */
    private long expectedFencedMembers(FailoverInput input) {
        return input.members().stream()
                .filter(status -> isTrusted(input, status) && !isSuspected(input, status))
                .filter(status ->
                        lostPrimaryId.filter(status.databaseId()::equals).isEmpty()
                                || status.term() == input.record().term())
                .count();
    }

    private List<FailoverEffect> sendFences(FailoverInput input) {
        long term = input.record().term();
        List<FailoverEffect> effects = new ArrayList<>();
        for (DatabaseStatus status : input.members()) {
            if (status.term() < term && followers.isTrustCommitted(input, status)) {
                throttle.sendIfDue(new Fence(status.databaseId(), term)).ifPresent(effects::add);
            }
        }
        return effects;
    }

    private List<FailoverEffect> advancePromotion(FailoverInput input) {
        GroupRecord record = input.record();
        Optional<DatabaseStatus> primary = input.primary();
        if (primary.filter(status -> status.isPrimaryAt(record.term())).isEmpty()) {
            return promoteChosen(input, primary);
        }
        primaryIncarnation = primary.get().incarnation();
        if (!promotionReported) {
            promotionReported = true;
            listener.onPrimaryPromoted(record.group(), record.term(), millisSinceTermStart());
        }
        if (isSuspected(input, primary.get())) {
            return startPromotion(input, PromotionReason.LOST);
        }
        List<FailoverEffect> effects = new ArrayList<>(followers.follow(input));
        if (input.oldLeasesExpired().getAsBoolean()) {
            proposalPendingSince = clock.instant();
            listener.onOldLeasesExpired(record.group(), record.term(), millisSinceTermStart());
            effects.add(new AppendRecord(record.asWritable(), record.term()));
        }
        return effects;
    }

    private List<FailoverEffect> promoteChosen(FailoverInput input, Optional<DatabaseStatus> chosen) {
        long term = input.record().term();
        boolean unavailable = chosen.isEmpty() || isSuspected(input, chosen.get()) || !isTrusted(input, chosen.get());
        if (primaryChosenAt == null) {
            primaryChosenAt = clock.instant();
        }
        boolean timedOut = millisSince(primaryChosenAt) > timings.promoteTimeoutMs();
        boolean restarted =
                primaryIncarnation != 0 && chosen.isPresent() && chosen.get().incarnation() != primaryIncarnation;
        if ((unavailable || timedOut || restarted || promoteRefused) && canReachFenceQuorum(input)) {
            return startPromotion(input, PromotionReason.NOT_PROMOTED);
        }
        if (unavailable || restarted || promoteRefused || chosen.get().term() != term) {
            return List.of();
        }
        return throttle.sendIfDue(new Promote(chosen.get().databaseId(), term)).stream()
                .toList();
    }

    private List<FailoverEffect> monitorPrimary(FailoverInput input) {
        Optional<PromotionReason> reason = promotionReason(input);
        if (reason.isPresent() && canReachFenceQuorum(input)) {
            selector.onPromotionStarted(input.record(), reason.get());
            return startPromotion(input, reason.get());
        }
        return followers.follow(input);
    }

    private Optional<PromotionReason> promotionReason(FailoverInput input) {
        Optional<DatabaseStatus> primary = input.primary();
        long term = input.record().term();
        if (primary.isEmpty() || isSuspected(input, primary.get())) {
            return Optional.of(PromotionReason.LOST);
        }
        if (!isTrusted(input, primary.get())) {
            return Optional.of(PromotionReason.DISK_LOST);
        }
        if (primary.get().term() > term) {
            return Optional.of(PromotionReason.HIGHER_TERM);
        }
        if (hasRestarted(primary.get(), term)) {
            return Optional.of(PromotionReason.RESTARTED);
        }
        return selector.isHandoverDue(input) ? Optional.of(PromotionReason.HANDOVER) : Optional.empty();
    }

    /**
     * Whether the primary restarted. A status sent before the promotion also shows no primary, so an unchanged
     * incarnation counts as restarted only after {@link FailoverTimings#heartbeatTimeoutMs} without a primary's status.
     */
    private boolean hasRestarted(DatabaseStatus primary, long term) {
        if (primary.isPrimaryAt(term)) {
            notPrimarySince = null;
            primaryIncarnation = primary.incarnation();
            return false;
        }
        if (primaryIncarnation != 0 && primary.incarnation() != primaryIncarnation) {
            return true;
        }
        if (notPrimarySince == null) {
            notPrimarySince = clock.instant();
        }
        return millisSince(notPrimarySince) > timings.heartbeatTimeoutMs();
    }

    private boolean canReachFenceQuorum(FailoverInput input) {
        return countLiveTrustedMembers(input) >= rules.fenceQuorum(input.declaredDatabases());
    }

    private long countLiveTrustedMembers(FailoverInput input) {
        return input.members().stream()
                .filter(status -> isTrusted(input, status) && !isSuspected(input, status))
                .count();
    }

    private boolean isSuspected(FailoverInput input, DatabaseStatus status) {
        return input.suspected().containsKey(status.databaseId());
    }

    private boolean isTrusted(FailoverInput input, DatabaseStatus status) {
        return rules.isTrusted(status, input.registration(status.databaseId()), input.record());
    }

    private long millisSinceTermStart() {
        return millisSince(termStartedAt);
    }

    private long millisSince(Instant since) {
        return Duration.between(since, clock.instant()).toMillis();
    }
}
