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
 * The members of the log as of one index.
 *
 * @param members the members, ordered by name
 */
public record Membership(List<Member> members) {
    /** The membership of a member that has not received one. */
    public static final Membership NONE = new Membership(List.of());

    /** Copies and sorts the members. */
    public Membership {
        members =
                members.stream().sorted(Comparator.comparing(Member::memberId)).toList();
    }

    /** Returns the member with the given name. */
    public Optional<Member> find(String memberId) {
        return members.stream()
                .filter(member -> member.memberId().equals(memberId))
                .findFirst();
    }

    /** Whether the votes and copies of this incarnation of a member are counted. */
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

    /** The members whose votes and copies are counted. */
    public List<Member> voters() {
        return members.stream().filter(Member::voting).toList();
    }

    /** Returns this membership with the member of the same name replaced, or with the member added. */
    public Membership withMember(Member changed) {
        List<Member> next = new ArrayList<>(members);
        next.removeIf(member -> member.memberId().equals(changed.memberId()));
        next.add(changed);
        return new Membership(next);
    }

    /**
     * The number of voters added or removed by a change; with at most one, any two majorities of both share a voter.
     */
    public int countVoterChanges(Membership next) {
        Set<Member> before = Set.copyOf(voters());
        Set<Member> after = Set.copyOf(next.voters());
        Set<Member> changed = new HashSet<>(before);
        changed.addAll(after);
        changed.removeIf(member -> before.contains(member) && after.contains(member));
        return changed.size();
    }

    /** Whether the names are unique and there is at least one voter. */
    public boolean isWellFormed() {
        Set<String> names = members.stream().map(Member::memberId).collect(Collectors.toSet());
        return names.size() == members.size() && !voters().isEmpty();
    }
}
