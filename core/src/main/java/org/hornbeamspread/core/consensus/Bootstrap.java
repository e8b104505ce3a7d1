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
 */
final class Bootstrap {
    private final NodeState state;
    private final List<String> initialMemberIds;

    /** False for a member that joins a log which other members bootstrap or have bootstrapped. */
    private final boolean mayBootstrap;

    private final Map<String, Long> blankIncarnations = new TreeMap<>();

    /** The members that the log was bootstrapped with; present once they are proven to contain this incarnation. */
    private Optional<Membership> initialMembership;

    private long nextIntroduceMs;

    Bootstrap(
            NodeState state,
            List<String> initialMemberIds,
            boolean mayBootstrap,
            Optional<Membership> initialMembership) {
        this.state = state;
        this.initialMemberIds = initialMemberIds.stream().sorted().toList();
        this.mayBootstrap = mayBootstrap;
        this.initialMembership = initialMembership;
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
            bootstrapIfAllBlank();
        }
    }

    Message onRequest(Message.IntroduceRequest request) {
        return new Message.IntroduceResponse(
                state.selfId,
                state.incarnation,
                isBlank(),
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
            bootstrapIfAllBlank();
        }
    }

    private boolean hasMembership() {
        return initialMembership.isPresent()
                || !state.log.membership().members().isEmpty();
    }

    private void bootstrapIfAllBlank() {
        boolean isBootstrapMember = mayBootstrap && initialMemberIds.get(0).equals(state.selfId);
        blankIncarnations.put(state.selfId, state.incarnation);
        if (isBootstrapMember && isBlank() && blankIncarnations.keySet().containsAll(initialMemberIds)) {
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
