package org.hornbeamspread.control.consensus;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamspread.core.consensus.Message;

/** One round of vote or pre-vote requests of this member, with the answers received so far. */
final class Campaign {
    private final Message.VoteRequest request;
    private final long startedMs;
    private final Map<String, Answer> answers = new TreeMap<>();

    Campaign(Message.VoteRequest request, long startedMs) {
        this.request = request;
        this.startedMs = startedMs;
    }

    private enum Answer {
        NONE,
        GRANTED,
        REFUSED
    }

    /** Whether a request belongs to a campaign of this kind and term. */
    boolean covers(Message.VoteRequest other) {
        return other.term() == request.term() && other.preVote() == request.preVote();
    }

    /** Whether this is the pre-vote that precedes the vote. */
    boolean isPreVoteOf(Message.VoteRequest vote) {
        return request.preVote() && !vote.preVote() && vote.term() == request.term();
    }

    boolean isAsked(String memberId) {
        return answers.containsKey(memberId);
    }

    void onAsked(String memberId) {
        answers.put(memberId, Answer.NONE);
    }

    /** Records an answer. A refusal carries the voter's term, so one to an earlier campaign can't be told apart. */
    void onAnswer(Message.VoteResponse response) {
        boolean matches =
                response.preVote() == request.preVote() && (!response.granted() || response.term() == request.term());
        if (matches) {
            answers.replace(response.voterId(), response.granted() ? Answer.GRANTED : Answer.REFUSED);
        }
    }

    long term() {
        return request.term();
    }

    boolean isPreVote() {
        return request.preVote();
    }

    long startedMs() {
        return startedMs;
    }

    List<String> granted() {
        return membersWith(Answer.GRANTED);
    }

    List<String> refused() {
        return membersWith(Answer.REFUSED);
    }

    List<String> unanswered() {
        return membersWith(Answer.NONE);
    }

    /** The term and the answers, to compare campaigns. */
    String result() {
        return request.term() + " " + answers;
    }

    private List<String> membersWith(Answer answer) {
        return answers.entrySet().stream()
                .filter(entry -> entry.getValue() == answer)
                .map(Map.Entry::getKey)
                .toList();
    }
}
