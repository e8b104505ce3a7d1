package org.hornbeamspread.core.consensus;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Bootstraps a log, and prevents a member that lost its disk from bootstrapping it again or voting.
 *
 * <p>A member with an empty disk cannot distinguish a new log from the loss of its own votes and records. Each member
 * therefore draws an incarnation when its disk is empty and sends an introduction to the others. The bootstrap member,
 * the first of the initial members by name, creates the log once every other member has replied to its current incarnation
 * that it has neither voted nor stored a record either: nothing can then have been committed, since a majority would
 * hold it. These members with their incarnations are the membership before the first record. The other members receive
 * it in the responses of members that have it.
 *
 * <p>A member votes only once the initial membership or its own log contains its incarnation, and votes and copies are
 * counted by incarnation. Neither contains a member that lost its disk: it follows as a learner until the log records
 * its new incarnation. There is only one bootstrap member because two members that created the log independently, from
 * stale responses, could count two incarnations of a third member.
 *
 * <p>With {@link BootstrapMode#MAJORITY} a member that is lost during the first start does not prevent it. Every member that
 * responds as blank then has its first disk, so that no initial member is ever counted in two incarnations, and several members
 * may create the log: any two majorities of the initial members share one with the same disk, as in any election. A
 * majority therefore suffices after a delay, which is longer for later names so that usually one member creates the log. The
 * membership has every initial member, so that a majority is one of all of them; those that did not respond have no
 * incarnation, as if they had lost their disks, and are admitted in the same way.
 */
final class Bootstrap {
    /** The delay for each rank by name, in election timeouts: longer than the processes of a deployment take to start. */
    private static final long MAJORITY_DELAY_TIMEOUTS = 2;

    private final NodeState state;
    private final List<String> initialMemberIds;

    private final BootstrapMode mode;

    /** The incarnations of the members whose last response was blank, and of this member. */
    private final Map<String, Long> blankIncarnations = new TreeMap<>();

    /** The time from which on a majority suffices. */
    private final long majorityFromMs;

    /** The members that the log was bootstrapped with; present once they are proven to contain this incarnation. */
    private Optional<Membership> initialMembership;

    private long nextIntroduceMs;

    Bootstrap(
            NodeState state,
            List<String> initialMemberIds,
            BootstrapMode mode,
            Optional<Membership> initialMembership) {
        this.state = state;
        this.initialMemberIds = initialMemberIds.stream().sorted().toList();
        this.mode = mode;
        this.initialMembership = initialMembership;
        int rank = this.initialMemberIds.indexOf(state.selfId);
        this.majorityFromMs =
                state.nowMs() + (1 + rank) * MAJORITY_DELAY_TIMEOUTS * state.parameters.electionTimeoutMs();
    }

    /** Whether this member has neither voted nor stored a record. */
    boolean isBlank() {
        return initialMembership.isEmpty() && state.term() == 0 && state.log.lastIndex() == 0;
    }

    /** Whether this member has certainly lost no vote that could still be counted. */
    boolean mayVote() {
        if (initialMembership.isPresent() || !state.isEnabled(ConsensusRule.COUNT_INCARNATION)) {
            return true;
        }
        return state.log
                .membership()
                .find(state.selfId)
                .filter(member -> member.incarnation() == state.incarnation || member.incarnation() == 0)
                .isPresent();
    }

    void tick() {
        if (hasMembership()) {
            return;
        }
        if (!state.isEnabled(ConsensusRule.COUNT_INCARNATION)) {
            bootstrap();
        } else if (state.nowMs() >= nextIntroduceMs) {
            nextIntroduceMs = state.nowMs() + state.parameters.heartbeatMs();
            Message request = new Message.IntroduceRequest(state.selfId, state.incarnation);
            initialMemberIds.stream()
                    .filter(id -> !id.equals(state.selfId))
                    .forEach(id -> state.outbox.emit(new ConsensusEffect.Send(id, request)));
            bootstrapIfPossible();
        }
    }

    Message onRequest(Message.IntroduceRequest request) {
        return new Message.IntroduceResponse(
                state.selfId,
                state.incarnation,
                isBlank() && mode != BootstrapMode.NONE,
                request.incarnation(),
                initialMembership.orElse(Membership.NONE));
    }

    void onResponse(Message.IntroduceResponse response) {
        if (response.askedBy() != state.incarnation || hasMembership()) {
            return;
        }
        if (response.initialMembership().isVoter(state.selfId, state.incarnation)) {
            setInitialMembership(response.initialMembership());
        } else if (response.blank()) {
            blankIncarnations.put(response.memberId(), response.incarnation());
            bootstrapIfPossible();
        } else {
            blankIncarnations.remove(response.memberId());
        }
    }

    private boolean hasMembership() {
        return initialMembership.isPresent()
                || !state.log.membership().members().isEmpty();
    }

    private void bootstrapIfPossible() {
        if (mode == BootstrapMode.NONE || !isBlank()) {
            return;
        }
        blankIncarnations.put(state.selfId, state.incarnation);
        boolean isBootstrapMember = initialMemberIds.get(0).equals(state.selfId);
        long blank =
                initialMemberIds.stream().filter(blankIncarnations::containsKey).count();
        boolean allBlank = blank == initialMemberIds.size();
        boolean majoritySuffices = mode == BootstrapMode.MAJORITY && state.nowMs() >= majorityFromMs;
        if ((isBootstrapMember && allBlank) || (majoritySuffices && 2 * blank > initialMemberIds.size())) {
            bootstrap();
        }
    }

    private void bootstrap() {
        setInitialMembership(new Membership(initialMemberIds.stream()
                .map(id -> new Member(id, blankIncarnations.getOrDefault(id, 0L), true))
                .toList()));
    }

    private void setInitialMembership(Membership members) {
        initialMembership = Optional.of(members);
        state.log.setInitialMembership(members);
        state.outbox.stageInitialMembership(members);
    }
}
