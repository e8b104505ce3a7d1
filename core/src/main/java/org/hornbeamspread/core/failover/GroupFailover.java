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
 * Decides when one group's primary is replaced, and by which database.
 *
 * <p>Replication is asynchronous and nobody else orders promotions, so three things can lose an acknowledged write: a
 * new primary that lacks it, an old primary that goes on gathering acknowledgements, and a proxy that acknowledges under
 * an old view. The steps of a promotion exclude them in this order:
 *
 * <ol>
 *   <li>The next term is committed to the control log, without a primary. From here on no other control leader can use
 *       that term for something else.
 *   <li>The members are fenced at the term. Enough of them are fenced once any acknowledged write has a holder among
 *       them; the old primary can gather no acknowledgement without one of them.
 *   <li>Of the fenced ones, one whose log comes last in the order of {@link PromotionRules} is committed to the log as
 *       the primary.
 *   <li>It is promoted. The others follow.
 *   <li>Once no lease on an older view runs, the term is committed as writable, and the view that says so is published.
 * </ol>
 *
 * <p>Every step is decided from the record in the log and the latest statuses of the databases, not from what was sent
 * before. So a lost answer only costs a repetition, and a new leader resumes a half-done promotion at the step where it
 * stands: a database that reports the record's term while the record has no primary is fenced, however that came about.
 *
 * <p>A promotion starts only while enough members are alive to finish it; with fewer there is nothing to gain, and the
 * old primary, if it lives, could at least serve reads. Confined to one thread.
 */
public final class GroupFailover {
    private final Clock clock;
    private final PromotionRules rules;
    private final FailoverTimings timings;
    private final FailoverListener listener;
    private final Commands commands;
    private final Followers followers;
    private final PrimarySelector selector;

    /** When this leader finished its latest promotions that replaced a lost primary, oldest first. */
    private final Deque<Instant> recentPromotionTimes = new ArrayDeque<>();

    /** Whether the promotion under way replaces a lost primary. */
    private boolean replacingLostPrimary;

    /** The primary that was taken for lost when the promotion started; the promotion does not wait for it. */
    private Optional<String> lostPrimaryId = Optional.empty();

    /** When this leader first saw the term with a chosen database; null before. */
    private Instant primaryChosenAt;

    /** The term that the fields below are about. */
    private long currentTerm = -1;

    private Instant termStartedAt;

    /** When an append was asked for whose end is not known; null for none. */
    private Instant proposalPendingSince;

    private boolean promoteRefused;
    private boolean promotionReported;
    private boolean writableReported;

    /** Since when the record's primary has not reported to be one; null while it does. */
    private Instant notPrimarySince;

    /** The incarnation that was seen as primary of this term; 0 for none yet. */
    private long primaryIncarnation;

    /** A group's failover, with nothing known yet. */
    public GroupFailover(Clock clock, PromotionRules rules, FailoverTimings timings, FailoverListener listener) {
        this.clock = clock;
        this.rules = rules;
        this.timings = timings;
        this.listener = listener;
        this.commands = new Commands(clock, timings);
        this.followers = new Followers(rules, commands);
        this.selector = new PrimarySelector(rules);
        this.termStartedAt = clock.instant();
    }

    /** Decides the next effects. To be called after each change of the input and at each tick. */
    public List<FailoverEffect> step(FailoverInput input) {
        observeRecord(input.record());
        if (proposalPendingSince != null && millisSince(proposalPendingSince) <= timings.promoteTimeoutMs()) {
            return List.of();
        }
        Optional<FailoverEffect> registration = followers.register(input);
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
     * An append that was asked for has ended, in whatever way; the record tells how. One whose end is never told counts as
     * ended after a while; that it may still be committed does no harm, since the log takes one primary a term.
     */
    public void onProposalCompleted() {
        proposalPendingSince = null;
    }

    /** The chosen database refused to become primary at this term. */
    public void onPromoteRefused(long term) {
        promoteRefused |= term == currentTerm;
    }

    /** A database answered that it follows at this term. */
    public void onFollowing(String databaseId, long incarnation, long term) {
        if (term == currentTerm) {
            followers.confirmed(databaseId, incarnation);
        }
    }

    /** Asks for another primary: a certain one, or the best that is not the present one. */
    public void requestHandover(Optional<String> databaseId) {
        selector.requestHandover(databaseId);
    }

    /** How many lost primaries this leader has replaced within the last calm time. */
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
            commands.clear();
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
        long highest =
                input.members().stream().mapToLong(DatabaseStatus::term).max().orElse(0);
        long next = Math.max(highest, input.record().term()) + 1;
        long silenceMs = input.record()
                .primaryId()
                .map(id -> input.suspected().getOrDefault(id, 0L))
                .orElse(0L);
        replacingLostPrimary |= reason.replacesLostPrimary();
        if (reason == PromotionReason.LOST) {
            lostPrimaryId = input.record().primaryId();
        }
        proposalPendingSince = clock.instant();
        listener.onPromotionStarted(input.record().group(), next, reason, silenceMs);
        return List.of(new AppendRecord(
                input.record().withNewTerm(next), input.record().term()));
    }

    private List<FailoverEffect> advanceFencing(FailoverInput input) {
        long term = input.record().term();
        if (input.members().stream().anyMatch(status -> status.term() > term)) {
            return startPromotion(input, PromotionReason.HIGHER_TERM);
        }
        List<DatabaseStatus> fenced = input.members().stream()
                .filter(status -> status.term() == term && isTrusted(input, status))
                .toList();
        boolean enough = fenced.size() >= rules.fenceQuorum(input.declaredDatabases());
        if (enough && (fenced.size() >= expectedFencedMembers(input) || millisSinceTermStart() >= timings.retryMs())) {
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

    /** How many members can be expected to answer a fence soon. */
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
            if (status.term() < term && followers.isSettled(input, status)) {
                commands.send(new Fence(status.databaseId(), term)).ifPresent(effects::add);
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
        boolean lost = chosen.isEmpty() || isSuspected(input, chosen.get()) || !isTrusted(input, chosen.get());
        if (primaryChosenAt == null) {
            primaryChosenAt = clock.instant();
        }
        boolean late = millisSince(primaryChosenAt) > timings.promoteTimeoutMs();
        boolean replaced =
                primaryIncarnation != 0 && chosen.isPresent() && chosen.get().incarnation() != primaryIncarnation;
        if ((lost || late || replaced || promoteRefused) && canReachFenceQuorum(input)) {
            return startPromotion(input, PromotionReason.NOT_PROMOTED);
        }
        if (lost || replaced || promoteRefused || chosen.get().term() != term) {
            return List.of();
        }
        return commands.send(new Promote(chosen.get().databaseId(), term)).stream()
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

    /** A status that is older than the promotion looks like a restart; only one that lasts is taken for it. */
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
