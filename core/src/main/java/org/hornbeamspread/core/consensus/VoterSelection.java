package org.hornbeamspread.core.consensus;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides the next change of the membership, of at most one voter.
 *
 * <p>A member that lost its disk is recorded without a vote. A standby, which is a caught-up member without a vote, is promoted while
 * there are fewer voters than required. A voter that is silent or departs is demoted only while a standby waits and the other
 * voters that respond are a majority without it; the standby is then promoted as soon as the demotion is committed.
 *
 * <p>A substitution is two changes of one voter. The order matters only when a fault strikes between them, for one round
 * trip: the demotion first leaves two voters of three that both respond, the promotion first leaves four of which one is
 * silent. Both need every responding voter of the old membership. After the demotion the leader goes on when the standby
 * fails; after the promotion it would need the standby as well.
 *
 * @param policy how many members vote
 * @param membership the committed membership
 * @param statuses the state of each member, by name
 * @param responsiveMs a member that has been silent for longer is not responsive
 */
record VoterSelection(VoterPolicy policy, Membership membership, List<MemberStatus> statuses, long responsiveMs) {
    /** Copies the list. */
    VoterSelection {
        statuses = List.copyOf(statuses);
    }

    /** The change that brings the membership one voter closer to the policy. */
    Optional<Change> nextChange() {
        return recordAfterDiskLoss()
                .or(this::promotion)
                .or(this::substitutionOfDeparting)
                .or(this::substitutionOfSilent);
    }

    /**
     * A member grants votes once its own log contains its incarnation. A standby is therefore recorded with its new incarnation
     * before it is promoted: otherwise it could be needed for a majority before it has received the record that admits it.
     */
    private Optional<Change> recordAfterDiskLoss() {
        return statuses.stream()
                .filter(this::isResponsive)
                .filter(status -> status.member().incarnation() != status.incarnation())
                .filter(status -> status.member().voting() || !status.isNew())
                .findFirst()
                .map(status -> change(status.responding(false), false));
    }

    private Optional<Change> promotion() {
        if (membership.voters().size() >= policy.requiredVoters()) {
            return Optional.empty();
        }
        return statuses.stream()
                .filter(this::isStandby)
                .min(Comparator.comparing(MemberStatus::heldBack))
                .map(status -> change(status.responding(true), false));
    }

    private Optional<Change> substitutionOfDeparting() {
        if (statuses.stream().noneMatch(this::isStandby)) {
            return Optional.empty();
        }
        return statuses.stream()
                .filter(status -> status.member().voting() && status.departing() && isDispensable(status))
                .findFirst()
                .map(status -> change(status.demoted(), false));
    }

    private Optional<Change> substitutionOfSilent() {
        if (statuses.stream().noneMatch(status -> isStandby(status) && !status.heldBack())) {
            return Optional.empty();
        }
        return statuses.stream()
                .filter(status -> status.member().voting() && isDispensable(status))
                .filter(status -> status.silentMs() >= policy.substitutionSilenceMs())
                .max(Comparator.comparingLong(MemberStatus::silentMs))
                .map(status -> change(status.demoted(), true));
    }

    /** Whether the other voters that respond are a majority of the other voters. */
    private boolean isDispensable(MemberStatus voter) {
        long responsive = statuses.stream()
                .filter(status -> status.member().voting() && !status.equals(voter))
                .filter(status -> isResponsive(status) && status.member().incarnation() == status.incarnation())
                .count();
        return responsive * 2 > membership.voters().size() - 1;
    }

    private boolean isResponsive(MemberStatus status) {
        return status.incarnation() != 0 && status.silentMs() <= responsiveMs;
    }

    private boolean isStandby(MemberStatus status) {
        return !status.member().voting() && status.caughtUp() && !status.departing() && isResponsive(status);
    }

    private Change change(Member changed, boolean substitutesSilent) {
        return new Change(membership.withMember(changed), changed.memberId(), substitutesSilent);
    }

    /**
     * The state of a member from the leader's view.
     *
     * @param member the member according to the membership
     * @param incarnation the incarnation in its last response; 0 before its first response to this leader
     * @param silentMs time since its last response
     * @param caughtUp whether it has synced all committed records
     * @param departing whether it has announced that its process ends
     * @param heldBack whether it was substituted recently
     */
    record MemberStatus(
            Member member, long incarnation, long silentMs, boolean caughtUp, boolean departing, boolean heldBack) {
        /** Whether no incarnation of the member has been recorded. Such a member grants votes in any. */
        private boolean isNew() {
            return member.incarnation() == 0;
        }

        /** The member with the incarnation that responds. */
        private Member responding(boolean voting) {
            return new Member(member.memberId(), incarnation, voting);
        }

        /** The member without its vote; it may not have responded to this leader. */
        private Member demoted() {
            return new Member(member.memberId(), member.incarnation(), false);
        }
    }

    /**
     * A change of one member.
     *
     * @param membership the membership after the change
     * @param memberId the member whose vote or incarnation changes
     * @param substitutesSilent whether the member loses its vote because it is silent
     */
    record Change(Membership membership, String memberId, boolean substitutesSilent) {}
}
