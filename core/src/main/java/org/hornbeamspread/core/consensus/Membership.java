package org.hornbeamspread.core.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The members of the log at one place in it.
 *
 * @param members in order of their names
 */
public record Membership(List<Member> members) {
    /** Of a member that has not learned of any. */
    public static final Membership NONE = new Membership(List.of());

    /** Sorts and copies. */
    public Membership {
        members =
                members.stream().sorted(Comparator.comparing(Member::memberId)).toList();
    }

    /** The member of a name. */
    public Optional<Member> find(String memberId) {
        return members.stream()
                .filter(member -> member.memberId().equals(memberId))
                .findFirst();
    }

    /** Whether this incarnation's votes and copies count. */
    public boolean isVoter(String memberId, long incarnation) {
        return find(memberId)
                .filter(member -> member.voting() && member.incarnation() == incarnation)
                .isPresent();
    }

    /** Whether the voters that satisfy the predicate are a majority of all voters. */
    public boolean isMajority(Predicate<Member> predicate) {
        List<Member> voters = voters();
        return voters.stream().filter(predicate).count() * 2 > voters.size();
    }

    /** The members whose votes and copies count. */
    public List<Member> voters() {
        return members.stream().filter(Member::voting).toList();
    }

    /** This membership with one member replaced, or added, by name. */
    public Membership withMember(Member changed) {
        List<Member> next = new ArrayList<>(members);
        next.removeIf(member -> member.memberId().equals(changed.memberId()));
        next.add(changed);
        return new Membership(next);
    }

    /** How many voters come or go between two memberships; majorities of both meet when it is at most one. */
    public int countVoterChanges(Membership next) {
        Set<Member> before = Set.copyOf(voters());
        Set<Member> after = Set.copyOf(next.voters());
        Set<Member> changed = new HashSet<>(before);
        changed.addAll(after);
        changed.removeIf(member -> before.contains(member) && after.contains(member));
        return changed.size();
    }

    /** Whether no name stands twice and someone may vote. */
    public boolean isWellFormed() {
        Set<String> names = members.stream().map(Member::memberId).collect(Collectors.toSet());
        return names.size() == members.size() && !voters().isEmpty();
    }
}
