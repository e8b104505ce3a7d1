package org.hornbeamspread.core.failover;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamspread.core.acknowledgement.LogStatusReport;
import org.hornbeamspread.core.failover.FailoverEffect.AppendRecord;
import org.hornbeamspread.core.failover.FailoverEffect.AppendRegistrations;
import org.hornbeamspread.core.failover.FailoverEffect.Fence;
import org.hornbeamspread.core.failover.FailoverEffect.Promote;
import org.hornbeamspread.core.membership.DatabaseStatus;
import org.hornbeamspread.core.misc.ManualClock;

/**
 * Explicit-state model checker: explores every history of one group of three databases breadth first. Control's steps
 * are computed by a new {@link GroupFailover} for each state, so that each step is also tested as the first step of a
 * new leader. The databases take every step that a database may take: a primary, including a replaced one, writes and
 * replicates to any database that is not at a higher term. The command to become primary may arrive after control has
 * abandoned that promotion.
 */
final class PromotionModelChecker {
    private final PromotionRules rules;
    private final AcknowledgementPolicy acknowledgement;
    private final int maxWrites;
    private final int maxPromotions;
    private final int maxDiskLosses;

    /** Every visited state, with the previous state and the step that led to it. */
    private final Map<ModelState, Step> visited = new HashMap<>();

    /** Control's effects by state without counters: the counters do not affect the decisions of control. */
    private final Map<ModelState, Set<FailoverEffect>> decisions = new HashMap<>();

    private final Deque<ModelState> frontier = new ArrayDeque<>();

    PromotionModelChecker(
            PromotionRules rules,
            AcknowledgementPolicy acknowledgement,
            int maxWrites,
            int maxPromotions,
            int maxDiskLosses) {
        this.rules = rules;
        this.acknowledgement = acknowledgement;
        this.maxWrites = maxWrites;
        this.maxPromotions = maxPromotions;
        this.maxDiskLosses = maxDiskLosses;
    }

    /** The shortest trace to a state that lacks an acknowledged write; empty when no such state is reachable. */
    List<String> findLossTrace() {
        visit(ModelState.initial(), null, "start");
        while (!frontier.isEmpty()) {
            ModelState state = frontier.removeFirst();
            if (state.lacksAcknowledgedWrite()) {
                return traceTo(state);
            }
            exploreDatabaseSteps(state);
            exploreControlSteps(state);
        }
        return List.of();
    }

    int visitedStates() {
        return visited.size();
    }

    private void exploreDatabaseSteps(ModelState state) {
        for (int i = 0; i < ModelState.DATABASES; i++) {
            ModelDatabase database = state.database(i);
            if (state.diskLosses() < maxDiskLosses) {
                visit(
                        state.with(i, database.withDiskLost()).withCounters(state.writes(), state.diskLosses() + 1),
                        state,
                        "disk of " + i + " lost");
            }
            if (!database.primary()) {
                continue;
            }
            if (state.writes() < maxWrites) {
                int write = state.writes() + 1;
                ModelDatabase written = database.append(ModelDatabase.encodeEntry(database.term(), write));
                visit(
                        state.with(i, written).withCounters(write, state.diskLosses()),
                        state,
                        "write " + write + " at " + i + " term " + database.term());
            }
            replicate(state, i, database);
            acknowledge(state, i, database);
        }
    }

    private void replicate(ModelState state, int from, ModelDatabase primary) {
        for (int to = 0; to < ModelState.DATABASES; to++) {
            ModelDatabase replica = state.database(to);
            boolean accepts = to != from
                    && (replica.term() < primary.term() || (replica.term() == primary.term() && !replica.primary()));
            if (accepts) {
                visit(state.with(to, replica.replicateFrom(primary)), state, "replicate from " + from + " to " + to);
            }
        }
    }

    private void acknowledge(ModelState state, int index, ModelDatabase primary) {
        List<LogStatusReport> trusted = new ArrayList<>();
        for (int i = 0; i < ModelState.DATABASES; i++) {
            DatabaseStatus status = state.database(i).status(i);
            Optional<Registration> registration = Optional.of(state.database(i).registration(i));
            if (rules.isTrusted(status, registration, state.record())) {
                trusted.add(report(status));
            }
        }
        for (int i = 0; i < primary.length(); i++) {
            int write = primary.entryAt(i) % ModelDatabase.WRITES;
            boolean unacknowledged = write != 0 && (state.acknowledged() & 1 << write) == 0;
            if (unacknowledged
                    && acknowledgement.isAllowed(primary.position(i + 1), report(primary.status(index)), trusted)) {
                visit(
                        state.withAcknowledged(write),
                        state,
                        "acknowledge " + write + " by " + index + " term " + primary.term());
            }
        }
    }

    private static LogStatusReport report(DatabaseStatus status) {
        return new LogStatusReport(
                status.databaseId(),
                status.incarnation(),
                status.term(),
                status.followedTerm(),
                status.trusted(),
                status.synced());
    }

    private void exploreControlSteps(ModelState state) {
        if (state.delayedPromotionTerm() != 0) {
            promote(
                    state,
                    state.delayedPromotionTerm(),
                    state.delayedPromotionIndex(),
                    "delayed promotion of " + state.delayedPromotionIndex());
        }
        for (FailoverEffect effect : decisions.computeIfAbsent(state.withoutCounters(), this::decide)) {
            if (effect instanceof AppendRecord append) {
                boolean startsPromotion = append.nextRecord().term() > state.term();
                if (!startsPromotion || state.promotions() < maxPromotions) {
                    visit(withDelayedPromotion(state, append.nextRecord()), state, String.valueOf(append.nextRecord()));
                }
            } else if (effect instanceof AppendRegistrations append) {
                ModelState next = state;
                for (Registration registration : append.registrations()) {
                    int index = ModelState.indexOf(registration.databaseId());
                    next = next.with(index, next.database(index).withRegistration(registration));
                }
                visit(next, state, String.valueOf(append));
            } else if (effect instanceof Fence fence) {
                int index = ModelState.indexOf(fence.databaseId());
                ModelDatabase fenced = state.database(index).withFence((int) fence.term());
                visit(state.with(index, fenced), state, String.valueOf(fence));
            } else if (effect instanceof Promote promote) {
                promote(state, (int) promote.term(), ModelState.indexOf(promote.databaseId()), String.valueOf(promote));
            }
        }
    }

    private ModelState withDelayedPromotion(ModelState state, GroupRecord next) {
        ModelState appended = state.withRecord(next);
        boolean chosen = next.primaryId().isPresent() && !next.writable();
        return chosen ? appended.withDelayedPromotion((int) next.term(), appended.primaryIndex()) : appended;
    }

    private void promote(ModelState state, int term, int index, String step) {
        ModelDatabase database = state.database(index);
        if (database.term() == term && !database.primary() && database.followedTerm() != term) {
            visit(state.withDelayedPromotion(0, 0).with(index, database.withPromotion()), state, step);
        }
    }

    /** Control's possible effects: immediate or after the retry interval, with or without suspecting the primary. */
    private Set<FailoverEffect> decide(ModelState state) {
        Set<FailoverEffect> effects = new LinkedHashSet<>();
        collect(effects, state.input(Map.of()));
        if (state.primaryIndex() != ModelState.NONE) {
            collect(effects, state.input(Map.of(ModelDatabase.name(state.primaryIndex()), 1000L)));
        }
        return effects;
    }

    private void collect(Set<FailoverEffect> effects, FailoverInput input) {
        ManualClock clock = new ManualClock();
        GroupFailover failover = new GroupFailover(clock, rules, FailoverTimings.DEFAULT, FailoverListener.NONE);
        effects.addAll(failover.step(input));
        failover.onProposalCompleted();
        clock.advance(FailoverTimings.DEFAULT.retry());
        effects.addAll(failover.step(input));
    }

    private void visit(ModelState state, ModelState previous, String step) {
        if (!visited.containsKey(state)) {
            visited.put(state, new Step(previous, step));
            frontier.addLast(state);
        }
    }

    private List<String> traceTo(ModelState end) {
        List<String> steps = new ArrayList<>();
        ModelState state = end;
        while (state != null) {
            Step step = visited.get(state);
            steps.add(step.description);
            state = step.previous;
        }
        Collections.reverse(steps);
        return steps;
    }

    /** The step by which a state was first reached. */
    private record Step(ModelState previous, String description) {}
}
