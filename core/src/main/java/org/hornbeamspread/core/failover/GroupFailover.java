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
    private final CommandThrottle commands;
    private final Followers followers;
    private final PrimaryChoice choice;

    /** When this leader finished its latest promotions that replaced a lost primary, oldest first. */
    private final Deque<Instant> promotions = new ArrayDeque<>();

    /** Whether the promotion under way replaces a lost primary. */
    private boolean replacing;

    /** The primary that was taken for lost when the promotion started; the promotion does not wait for it. */
    private Optional<String> lostId = Optional.empty();

    /** When this leader first saw the term with a chosen database; null before. */
    private Instant chosenSince;

    /** The term that the fields below are about. */
    private long seenTerm = -1;

    private Instant termSince;

    /** When an append was asked for whose end is not known; null for none. */
    private Instant proposedAt;

    private boolean promoteRefused;
    private boolean toldPromoted;
    private boolean toldOpened;

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
        this.commands = new CommandThrottle(clock, timings);
        this.followers = new Followers(rules, commands);
        this.choice = new PrimaryChoice(rules);
        this.termSince = clock.instant();
    }

    /** Decides the next effects. To be called after each change of the input and at each tick. */
    public List<FailoverEffect> step(GroupInput input) {
        observeTerm(input.record());
        if (proposedAt != null && millisSince(proposedAt) <= timings.promoteTimeoutMs()) {
            return List.of();
        }
        Optional<FailoverEffect> registration = followers.nextRegistrations(input);
        if (registration.isPresent()) {
            proposedAt = clock.instant();
            return List.of(registration.get());
        }
        if (input.registrations().isEmpty()) {
            return List.of();
        }
        if (input.record().term() == 0) {
            return start(input, PromotionReason.FIRST);
        }
        if (input.record().primaryId().isEmpty()) {
            return fence(input);
        }
        return input.record().writable() ? watch(input) : promote(input);
    }

    /**
     * An append that was asked for has ended, in whatever way; the record tells how. One whose end is never told counts as
     * ended after a while; that it may still be committed does no harm, since the log takes one primary a term.
     */
    public void proposalDone() {
        proposedAt = null;
    }

    /** The chosen database refused to become primary at this term. */
    public void promoteRefused(long term) {
        promoteRefused |= term == seenTerm;
    }

    /** A database answered that it follows at this term. */
    public void following(String databaseId, long incarnation, long term) {
        if (term == seenTerm) {
            followers.onFollowing(databaseId, incarnation);
        }
    }

    /** Asks for another primary: a certain one, or the best that is not the present one. */
    public void requestHandover(Optional<String> databaseId) {
        choice.request(databaseId);
    }

    /** How many lost primaries this leader has replaced within the last calm time. */
    public int recentPromotions() {
        Instant oldest = clock.instant().minusMillis(timings.calmMs());
        while (!promotions.isEmpty() && promotions.peekFirst().isBefore(oldest)) {
            promotions.removeFirst();
        }
        return promotions.size();
    }

    private void observeTerm(GroupRecord record) {
        if (record.term() != seenTerm) {
            seenTerm = record.term();
            termSince = clock.instant();
            chosenSince = null;
            promoteRefused = false;
            toldPromoted = record.writable();
            toldOpened = record.writable();
            notPrimarySince = null;
            primaryIncarnation = 0;
            commands.clear();
            followers.clear();
        }
        if (record.writable() && !toldOpened) {
            toldOpened = true;
            choice.done();
            if (replacing) {
                promotions.addLast(clock.instant());
                replacing = false;
            }
            lostId = Optional.empty();
            listener.opened(record.group(), record.term(), sinceStartMs());
        }
    }

    private List<FailoverEffect> start(GroupInput input, PromotionReason reason) {
        long highest =
                input.members().stream().mapToLong(DatabaseStatus::term).max().orElse(0);
        long next = Math.max(highest, input.record().term()) + 1;
        long silenceMs = input.record()
                .primaryId()
                .map(id -> input.suspected().getOrDefault(id, 0L))
                .orElse(0L);
        replacing |= reason.replacesLost();
        if (reason == PromotionReason.LOST) {
            lostId = input.record().primaryId();
        }
        proposedAt = clock.instant();
        listener.started(input.record().group(), next, reason, silenceMs);
        return List.of(
                new AppendRecord(input.record().fencing(next), input.record().term()));
    }

    private List<FailoverEffect> fence(GroupInput input) {
        long term = input.record().term();
        if (input.members().stream().anyMatch(status -> status.term() > term)) {
            return start(input, PromotionReason.HIGHER_TERM);
        }
        List<DatabaseStatus> fenced = input.members().stream()
                .filter(status -> status.term() == term && isTrusted(input, status))
                .toList();
        boolean enough = fenced.size() >= rules.fenceQuorum(input.declaredDatabases());
        if (enough && (fenced.size() >= expected(input) || sinceStartMs() >= timings.retryMs())) {
            Optional<DatabaseStatus> chosen = choice.choose(input, fenced);
            if (chosen.isPresent()) {
                proposedAt = clock.instant();
                String databaseId = chosen.get().databaseId();
                listener.chosen(input.record().group(), term, databaseId, sinceStartMs());
                return List.of(new AppendRecord(input.record().chosen(databaseId), term));
            }
        }
        return fenceAll(input);
    }

    /** How many members can be expected to answer a fence soon. */
    private long expected(GroupInput input) {
        return input.members().stream()
                .filter(status -> isTrusted(input, status) && !isLost(input, status))
                .filter(status -> lostId.filter(status.databaseId()::equals).isEmpty()
                        || status.term() == input.record().term())
                .count();
    }

    private List<FailoverEffect> fenceAll(GroupInput input) {
        long term = input.record().term();
        List<FailoverEffect> effects = new ArrayList<>();
        for (DatabaseStatus status : input.members()) {
            if (status.term() < term && followers.isTrustCommitted(input, status)) {
                commands.sendIfDue(new Fence(status.databaseId(), term)).ifPresent(effects::add);
            }
        }
        return effects;
    }

    private List<FailoverEffect> promote(GroupInput input) {
        GroupRecord record = input.record();
        Optional<DatabaseStatus> primary = input.primary();
        if (primary.filter(status -> status.isPrimaryAt(record.term())).isEmpty()) {
            return promoteChosen(input, primary);
        }
        primaryIncarnation = primary.get().incarnation();
        if (!toldPromoted) {
            toldPromoted = true;
            listener.promoted(record.group(), record.term(), sinceStartMs());
        }
        if (isLost(input, primary.get())) {
            return start(input, PromotionReason.LOST);
        }
        List<FailoverEffect> effects = new ArrayList<>(followers.follow(input));
        if (input.oldLeasesOver().getAsBoolean()) {
            proposedAt = clock.instant();
            listener.leasesOver(record.group(), record.term(), sinceStartMs());
            effects.add(new AppendRecord(record.opened(), record.term()));
        }
        return effects;
    }

    private List<FailoverEffect> promoteChosen(GroupInput input, Optional<DatabaseStatus> chosen) {
        long term = input.record().term();
        boolean lost = chosen.isEmpty() || isLost(input, chosen.get()) || !isTrusted(input, chosen.get());
        if (chosenSince == null) {
            chosenSince = clock.instant();
        }
        boolean late = millisSince(chosenSince) > timings.promoteTimeoutMs();
        boolean replaced =
                primaryIncarnation != 0 && chosen.isPresent() && chosen.get().incarnation() != primaryIncarnation;
        if ((lost || late || replaced || promoteRefused) && canFinish(input)) {
            return start(input, PromotionReason.NOT_PROMOTED);
        }
        if (lost || replaced || promoteRefused || chosen.get().term() != term) {
            return List.of();
        }
        return commands.sendIfDue(new Promote(chosen.get().databaseId(), term)).stream()
                .toList();
    }

    private List<FailoverEffect> watch(GroupInput input) {
        Optional<PromotionReason> reason = reason(input);
        if (reason.isPresent() && canFinish(input)) {
            choice.starts(input.record(), reason.get());
            return start(input, reason.get());
        }
        return followers.follow(input);
    }

    private Optional<PromotionReason> reason(GroupInput input) {
        Optional<DatabaseStatus> primary = input.primary();
        long term = input.record().term();
        if (primary.isEmpty() || isLost(input, primary.get())) {
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
        return choice.isHandoverDue(input) ? Optional.of(PromotionReason.HANDOVER) : Optional.empty();
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
        return millisSince(notPrimarySince) > timings.silenceMs();
    }

    private boolean canFinish(GroupInput input) {
        return alive(input) >= rules.fenceQuorum(input.declaredDatabases());
    }

    private long alive(GroupInput input) {
        return input.members().stream()
                .filter(status -> isTrusted(input, status) && !isLost(input, status))
                .count();
    }

    private boolean isLost(GroupInput input, DatabaseStatus status) {
        return input.suspected().containsKey(status.databaseId());
    }

    private boolean isTrusted(GroupInput input, DatabaseStatus status) {
        return rules.isTrusted(status, input.registration(status.databaseId()), input.record());
    }

    private long sinceStartMs() {
        return millisSince(termSince);
    }

    private long millisSince(Instant since) {
        return Duration.between(since, clock.instant()).toMillis();
    }
}
