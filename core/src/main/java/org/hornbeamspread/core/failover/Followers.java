package org.hornbeamspread.core.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.failover.FailoverEffect.AppendRegistrations;
import org.hornbeamspread.core.failover.FailoverEffect.Fence;
import org.hornbeamspread.core.failover.FailoverEffect.Follow;
import org.hornbeamspread.core.failover.FailoverEffect.Readmit;
import org.hornbeamspread.core.membership.DatabaseStatus;

/**
 * Keeps a group's other members behind its primary, and its registrations true.
 *
 * <p>A returned old primary reports a lower term: it is fenced, then follows. A database that lost its disk is first
 * registered as untrusted, and sent nothing before that is committed; else it could restart with the term that it was
 * given meanwhile and pass for one that never lost anything. It follows like the others, and is registered as trusted
 * again once {@link PromotionRules#mayReadmit} holds. Confined to one thread.
 */
final class Followers {
    private final PromotionRules rules;
    private final Commands commands;

    /** The incarnation of each database that follows at the present term. */
    private final Map<String, Long> following = new HashMap<>();

    Followers(PromotionRules rules, Commands commands) {
        this.rules = rules;
        this.commands = commands;
    }

    /** The registrations that the log should get next. */
    Optional<FailoverEffect> register(GroupInput input) {
        if (input.registrations().size() < input.declaredDatabases()) {
            return input.record().term() == 0 ? registerFirst(input) : Optional.empty();
        }
        List<Registration> changes = new ArrayList<>();
        for (DatabaseStatus status : input.members()) {
            Registration known = input.registrations().get(status.databaseId());
            boolean trusted = rules.isTrusted(status, Optional.of(known), input.record());
            if (!trusted && known.trusted()) {
                changes.add(new Registration(status.databaseId(), status.incarnation(), false));
            } else if (!trusted && mayReadmit(input, status)) {
                changes.add(new Registration(status.databaseId(), status.incarnation(), true));
            }
        }
        return changes.isEmpty() ? Optional.empty() : Optional.of(new AppendRegistrations(changes));
    }

    /** Whether the log agrees with the trust in a database, so that commands may be sent to it. */
    boolean isSettled(GroupInput input, DatabaseStatus status) {
        Optional<Registration> known = input.registration(status.databaseId());
        return rules.isTrusted(status, known, input.record())
                || known.filter(Registration::trusted).isEmpty();
    }

    /** What brings the other members behind a primary that is promoted. */
    List<FailoverEffect> follow(GroupInput input) {
        long term = input.record().term();
        Optional<DatabaseStatus> primary = input.primary().filter(status -> status.isPrimaryAt(term));
        if (primary.isEmpty()) {
            return List.of();
        }
        List<FailoverEffect> effects = new ArrayList<>();
        for (DatabaseStatus status : input.members()) {
            boolean reachable = !input.suspected().containsKey(status.databaseId());
            if (status.databaseId().equals(primary.get().databaseId()) || !reachable || !isSettled(input, status)) {
                continue;
            }
            next(input, status, primary.get()).flatMap(commands::send).ifPresent(effects::add);
        }
        return effects;
    }

    /** A database answered that it follows. */
    void confirmed(String databaseId, long incarnation) {
        following.put(databaseId, incarnation);
    }

    /** Forgets who follows, at a new term. */
    void clear() {
        following.clear();
    }

    private Optional<FailoverEffect> next(GroupInput input, DatabaseStatus status, DatabaseStatus primary) {
        long term = input.record().term();
        String databaseId = status.databaseId();
        if (status.term() < term) {
            return Optional.of(new Fence(databaseId, term));
        }
        Long followingIncarnation = following.get(databaseId);
        if (followingIncarnation == null || followingIncarnation != status.incarnation()) {
            return Optional.of(new Follow(databaseId, status.incarnation(), term, primary.databaseId()));
        }
        boolean readmitted =
                !status.trusted() && rules.isTrusted(status, input.registration(databaseId), input.record());
        return readmitted ? Optional.of(new Readmit(databaseId, status.incarnation(), term)) : Optional.empty();
    }

    private boolean mayReadmit(GroupInput input, DatabaseStatus status) {
        return input.primary()
                .filter(primary -> rules.isTrusted(primary, input.registration(primary.databaseId()), input.record()))
                .filter(primary -> rules.mayReadmit(status, primary, input.record()))
                .isPresent();
    }

    /** The members of a group are the first that announce themselves; without control's log their own word counts. */
    private Optional<FailoverEffect> registerFirst(GroupInput input) {
        if (input.statuses().size() < input.declaredDatabases()) {
            return Optional.empty();
        }
        List<DatabaseStatus> first = input.statuses().subList(0, input.declaredDatabases());
        boolean fresh = first.stream().allMatch(DatabaseStatus::isUninitialized);
        return Optional.of(new AppendRegistrations(first.stream()
                .map(status -> new Registration(
                        status.databaseId(), status.incarnation(), fresh || (status.trusted() && status.term() > 0)))
                .toList()));
    }
}
