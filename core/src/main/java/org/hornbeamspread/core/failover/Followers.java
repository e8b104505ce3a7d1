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
 * Makes a group's other members follow the primary, and keeps the group's registrations up to date.
 *
 * <p>An old primary that returns reports a lower term; it is fenced, then follows. A database that lost its disk is first
 * registered as untrusted, and no command is sent to the database before that registration is committed. Otherwise the
 * database could restart with a term that it received in the meantime, and be mistaken for one that never lost its disk. The
 * database follows like the other members, and is registered as trusted again once {@link PromotionRules#mayReadmit} holds.
 * Confined to one thread.
 */
final class Followers {
    private final PromotionRules rules;
    private final CommandThrottle throttle;

    /** The incarnation of each database that follows at the current term. */
    private final Map<String, Long> followingIncarnations = new HashMap<>();

    Followers(PromotionRules rules, CommandThrottle throttle) {
        this.rules = rules;
        this.throttle = throttle;
    }

    /** The registrations to append to the log next. */
    Optional<FailoverEffect> nextRegistrations(FailoverInput input) {
        if (input.registrations().size() < input.declaredDatabases()) {
            return input.record().term() == 0 ? registerInitialMembers(input) : Optional.empty();
        }
        List<Registration> changes = new ArrayList<>();
        for (DatabaseStatus status : input.members()) {
            Registration registration = input.registrations().get(status.databaseId());
            boolean trusted = rules.isTrusted(status, Optional.of(registration), input.record());
            if (!trusted && registration.trusted()) {
                changes.add(new Registration(status.databaseId(), status.incarnation(), false));
            } else if (!trusted && mayReadmit(input, status)) {
                changes.add(new Registration(status.databaseId(), status.incarnation(), true));
            }
        }
        return changes.isEmpty() ? Optional.empty() : Optional.of(new AppendRegistrations(changes));
    }

    /** Whether a database is trusted, or its loss of trust is committed to the log, so that commands may be sent to it. */
    boolean isTrustCommitted(FailoverInput input, DatabaseStatus status) {
        Optional<Registration> registration = input.registration(status.databaseId());
        return rules.isTrusted(status, registration, input.record())
                || registration.filter(Registration::trusted).isEmpty();
    }

    /** The commands that make the other members follow a promoted primary. */
    List<FailoverEffect> follow(FailoverInput input) {
        long term = input.record().term();
        Optional<DatabaseStatus> primary = input.primary().filter(status -> status.isPrimaryAt(term));
        if (primary.isEmpty()) {
            return List.of();
        }
        List<FailoverEffect> effects = new ArrayList<>();
        for (DatabaseStatus status : input.members()) {
            boolean reachable = !input.suspected().containsKey(status.databaseId());
            if (status.databaseId().equals(primary.get().databaseId())
                    || !reachable
                    || !isTrustCommitted(input, status)) {
                continue;
            }
            nextCommand(input, status, primary.get())
                    .flatMap(throttle::sendIfDue)
                    .ifPresent(effects::add);
        }
        return effects;
    }

    /** Handles a database's confirmation that it follows. */
    void onFollowing(String databaseId, long incarnation) {
        followingIncarnations.put(databaseId, incarnation);
    }

    /** Clears the confirmations, at a new term. */
    void clear() {
        followingIncarnations.clear();
    }

    private Optional<FailoverEffect> nextCommand(FailoverInput input, DatabaseStatus status, DatabaseStatus primary) {
        long term = input.record().term();
        String databaseId = status.databaseId();
        if (status.term() < term) {
            return Optional.of(new Fence(databaseId, term));
        }
        Long followingIncarnation = followingIncarnations.get(databaseId);
        if (followingIncarnation == null || followingIncarnation != status.incarnation()) {
            return Optional.of(new Follow(databaseId, status.incarnation(), term, primary.databaseId()));
        }
        boolean readmitted =
                !status.trusted() && rules.isTrusted(status, input.registration(databaseId), input.record());
        return readmitted ? Optional.of(new Readmit(databaseId, status.incarnation(), term)) : Optional.empty();
    }

    private boolean mayReadmit(FailoverInput input, DatabaseStatus status) {
        return input.primary()
                .filter(primary -> rules.isTrusted(primary, input.registration(primary.databaseId()), input.record()))
                .filter(primary -> rules.mayReadmit(status, primary, input.record()))
                .isPresent();
    }

    /**
     * Registers the first databases that announce themselves as the members of the group. Without registrations in the control
     * log, trust is derived from the databases' reports: each database is trusted if all are empty, else if it reports to be
     * trusted at a term.
     */
    private Optional<FailoverEffect> registerInitialMembers(FailoverInput input) {
        if (input.statuses().size() < input.declaredDatabases()) {
            return Optional.empty();
        }
        List<DatabaseStatus> initialMembers = input.statuses().subList(0, input.declaredDatabases());
        boolean allEmpty = initialMembers.stream().allMatch(DatabaseStatus::isUninitialized);
        return Optional.of(new AppendRegistrations(initialMembers.stream()
                .map(status -> new Registration(
                        status.databaseId(), status.incarnation(), allEmpty || (status.trusted() && status.term() > 0)))
                .toList()));
    }
}
