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
import org.hornbeamspread.core.acknowledgement.HolderReport;
import org.hornbeamspread.core.failover.FailoverEffect.AppendRecord;
import org.hornbeamspread.core.failover.FailoverEffect.AppendRegistrations;
import org.hornbeamspread.core.failover.FailoverEffect.Fence;
import org.hornbeamspread.core.failover.FailoverEffect.Promote;
import org.hornbeamspread.core.membership.DatabaseStatus;
import org.hornbeamspread.core.misc.ManualClock;

/**
 * Walks every history of one group of three databases, breadth first. What control does is asked of a fresh {@link
 * GroupFailover} at each state, so that each step is also the first of a new leader. The databases do what a database
 * may: a primary, also a replaced one, writes and goes on replicating to any database that is not at a higher term. The
 * command to become primary may arrive after control has given that promotion up.
 */
final class PromotionSearch {
    private final PromotionRules rules;
    private final Acknowledgement acknowledgement;
    private final int maxWrites;
    private final int maxPromotions;
    private final int maxLosses;

    /** Every state that was reached, with the state and the step before it. */
    private final Map<ModelState, Step> reached = new HashMap<>();

    /** What control decides does not depend on what is counted, so it is asked once for each record and databases. */
    private final Map<ModelState, Set<FailoverEffect>> decisions = new HashMap<>();

    private final Deque<ModelState> open = new ArrayDeque<>();

    PromotionSearch(
            PromotionRules rules, Acknowledgement acknowledgement, int maxWrites, int maxPromotions, int maxLosses) {
        this.rules = rules;
        this.acknowledgement = acknowledgement;
        this.maxWrites = maxWrites;
        this.maxPromotions = maxPromotions;
        this.maxLosses = maxLosses;
    }

    /** The steps to the first state that lacks an acknowledged write; empty when there is none. */
    List<String> firstLoss() {
        reach(ModelState.start(), null, "start");
        while (!open.isEmpty()) {
            ModelState state = open.removeFirst();
            if (state.lost()) {
                return history(state);
            }
            databaseSteps(state);
            controlSteps(state);
        }
        return List.of();
    }

    int states() {
        return reached.size();
    }

    private void databaseSteps(ModelState state) {
        for (int i = 0; i < ModelState.DATABASES; i++) {
            ModelDatabase database = state.database(i);
            if (state.losses() < maxLosses) {
                reach(
                        state.with(i, database.diskLost()).withCounts(state.writes(), state.losses() + 1),
                        state,
                        "disk of " + i + " lost");
            }
            if (!database.primary()) {
                continue;
            }
            if (state.writes() < maxWrites) {
                int write = state.writes() + 1;
                ModelDatabase written = database.append(ModelDatabase.entry(database.term(), write));
                reach(
                        state.with(i, written).withCounts(write, state.losses()),
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
                reach(state.with(to, replica.copyFrom(primary)), state, "copy " + from + " to " + to);
            }
        }
    }

    private void acknowledge(ModelState state, int index, ModelDatabase primary) {
        List<HolderReport> trusted = new ArrayList<>();
        for (int i = 0; i < ModelState.DATABASES; i++) {
            DatabaseStatus status = state.database(i).status(i);
            Optional<Registration> registration = Optional.of(state.database(i).registration(i));
            if (rules.isTrusted(status, registration, state.record())) {
                trusted.add(report(status));
            }
        }
        for (int i = 0; i < primary.length(); i++) {
            int write = primary.entryAt(i) % ModelDatabase.WRITES;
            boolean waiting = write != 0 && (state.acknowledged() & 1 << write) == 0;
            if (waiting && acknowledgement.isAllowed(primary.position(i + 1), report(primary.status(index)), trusted)) {
                reach(
                        state.withAcknowledged(write),
                        state,
                        "acknowledge " + write + " by " + index + " term " + primary.term());
            }
        }
    }

    private static HolderReport report(DatabaseStatus status) {
        return new HolderReport(
                status.databaseId(),
                status.incarnation(),
                status.term(),
                status.followedTerm(),
                status.trusted(),
                status.synced());
    }

    private void controlSteps(ModelState state) {
        if (state.lateTerm() != 0) {
            promote(state, state.lateTerm(), state.lateIndex(), "late promotion of " + state.lateIndex());
        }
        for (FailoverEffect effect : decisions.computeIfAbsent(state.withoutCounts(), this::decide)) {
            if (effect instanceof AppendRecord append) {
                boolean starts = append.next().term() > state.term();
                if (!starts || state.promotions() < maxPromotions) {
                    reach(withLate(state, append.next()), state, String.valueOf(append.next()));
                }
            } else if (effect instanceof AppendRegistrations append) {
                ModelState next = state;
                for (Registration registration : append.registrations()) {
                    int index = ModelState.indexOf(registration.databaseId());
                    next = next.with(index, next.database(index).registered(registration));
                }
                reach(next, state, String.valueOf(append));
            } else if (effect instanceof Fence fence) {
                int index = ModelState.indexOf(fence.databaseId());
                ModelDatabase fenced = state.database(index).fenced((int) fence.term());
                reach(state.with(index, fenced), state, String.valueOf(fence));
            } else if (effect instanceof Promote promote) {
                promote(state, (int) promote.term(), ModelState.indexOf(promote.databaseId()), String.valueOf(promote));
            }
        }
    }

    private ModelState withLate(ModelState state, GroupRecord next) {
        ModelState appended = state.withRecord(next);
        boolean chosen = next.primaryId().isPresent() && !next.writable();
        return chosen ? appended.withLate((int) next.term(), appended.primaryIndex()) : appended;
    }

    private void promote(ModelState state, int term, int index, String step) {
        ModelDatabase database = state.database(index);
        if (database.term() == term && !database.primary() && database.followedTerm() != term) {
            reach(state.withLate(0, 0).with(index, database.promoted()), state, step);
        }
    }

    /** What control may do now: at once or after a wait, and with or without a suspicion of the record's primary. */
    private Set<FailoverEffect> decide(ModelState state) {
        Set<FailoverEffect> effects = new LinkedHashSet<>();
        collect(effects, state.input(Map.of()));
        if (state.primaryIndex() != ModelState.NONE) {
            collect(effects, state.input(Map.of(ModelDatabase.name(state.primaryIndex()), 1000L)));
        }
        return effects;
    }

    private void collect(Set<FailoverEffect> effects, GroupInput input) {
        ManualClock clock = new ManualClock();
        GroupFailover failover = new GroupFailover(clock, rules, FailoverTimings.DEFAULT, FailoverListener.NONE);
        effects.addAll(failover.step(input));
        failover.proposalDone();
        clock.advance(FailoverTimings.DEFAULT.retry());
        effects.addAll(failover.step(input));
    }

    private void reach(ModelState state, ModelState before, String step) {
        if (!reached.containsKey(state)) {
            reached.put(state, new Step(before, step));
            open.addLast(state);
        }
    }

    private List<String> history(ModelState end) {
        List<String> steps = new ArrayList<>();
        ModelState state = end;
        while (state != null) {
            Step step = reached.get(state);
            steps.add(step.name);
            state = step.before;
        }
        Collections.reverse(steps);
        return steps;
    }

    /** How a state was reached. */
    private record Step(ModelState before, String name) {}
}
