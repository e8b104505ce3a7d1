package org.hornbeamspread.core.consensus;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * How a log begins, and why a member with a lost disk can't begin it again, nor vote.
 *
 * <p>A member with an empty disk does not know whether the log is new or whether it has forgotten what it voted and
 * kept. So each draws an incarnation and asks the others. One of them, the founder, forms the log once every other has
 * answered, to this very incarnation, that it has neither voted nor kept anything either: then nothing can have been
 * committed, since a majority would hold it. The members by incarnation are its membership before the first record;
 * the others learn it from the answers of those that know it.
 *
 * <p>A member votes only once the formation or its own log names its incarnation, and votes and copies are counted by
 * incarnation. One that lost its disk is in neither: it follows as a learner until the log names it. One founder is
 * needed because two members that formed the log each by itself, with stale answers, could count two incarnations of a
 * third one.
 */
final class Bootstrap {
    private final NodeState state;
    private final List<String> initialMemberIds;

    /** False for a member that joins a log which others form or have formed. */
    private final boolean mayBootstrap;

    private final Map<String, Long> blankIncarnations = new TreeMap<>();

    /** The members that the log was formed with, once known and naming this incarnation. */
    private Optional<Membership> initialMembership;

    private long nextIntroduceMs;

    Bootstrap(NodeState state, List<String> initialMemberIds, boolean mayForm, Optional<Membership> formed) {
        this.state = state;
        this.initialMemberIds = initialMemberIds.stream().sorted().toList();
        this.mayBootstrap = mayForm;
        this.initialMembership = formed;
    }

    /** Whether this member has neither voted nor kept anything. */
    boolean isBlank() {
        return initialMembership.isEmpty() && state.term() == 0 && state.log.lastIndex() == 0;
    }

    /** Whether this member knows that it has forgotten no vote that could still count. */
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
        boolean founder = mayBootstrap && initialMemberIds.get(0).equals(state.selfId);
        blankIncarnations.put(state.selfId, state.incarnation);
        if (founder && isBlank() && blankIncarnations.keySet().containsAll(initialMemberIds)) {
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
