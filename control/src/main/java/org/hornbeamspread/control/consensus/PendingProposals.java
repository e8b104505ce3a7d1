package org.hornbeamspread.control.consensus;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/** The proposals and reads that wait for their outcome. Used by the consensus thread. */
final class PendingProposals {
    private final ConsensusMetrics metrics;
    private final Map<Long, CompletableFuture<CommandResult>> unappended = new HashMap<>();
    private final Map<Long, AppendedProposal> appended = new HashMap<>();
    private final Map<Long, CompletableFuture<Void>> reads = new HashMap<>();
    private long nextId = 1;

    PendingProposals(ConsensusMetrics metrics) {
        this.metrics = metrics;
    }

    long add(CompletableFuture<CommandResult> outcome) {
        unappended.put(nextId, outcome);
        return nextId++;
    }

    long addRead(CompletableFuture<Void> outcome) {
        reads.put(nextId, outcome);
        return nextId++;
    }

    void onAppended(long proposalId, long index, long term) {
        CompletableFuture<CommandResult> outcome = unappended.remove(proposalId);
        if (outcome != null) {
            appended.put(index, new AppendedProposal(term, outcome));
        }
    }

    void onRefused(long proposalId, FailureException failure) {
        CompletableFuture<CommandResult> outcome = unappended.remove(proposalId);
        if (outcome != null) {
            fail(outcome, failure);
        }
    }

    void onApplied(long index, long term, CommandResult result) {
        AppendedProposal waiting = appended.remove(index);
        if (waiting == null) {
            return;
        }
        if (waiting.term() == term) {
            waiting.outcome().complete(result);
        } else {
            fail(waiting.outcome(), leadershipLost(waiting.term()));
        }
    }

    void onReadConfirmed(long readId) {
        CompletableFuture<Void> outcome = reads.remove(readId);
        if (outcome != null) {
            outcome.complete(null);
        }
    }

    void onReadRefused(long readId, FailureException failure) {
        CompletableFuture<Void> outcome = reads.remove(readId);
        if (outcome != null) {
            fail(outcome, failure);
        }
    }

    /** Fails what was placed at other terms than the one this member leads in; 0 when it leads in none. */
    void onLeadershipChange(long leadingTerm) {
        Iterator<AppendedProposal> waiting = appended.values().iterator();
        while (waiting.hasNext()) {
            AppendedProposal proposal = waiting.next();
            if (proposal.term() != leadingTerm) {
                waiting.remove();
                fail(proposal.outcome(), leadershipLost(proposal.term()));
            }
        }
    }

    /** Fails everything, as the log stops. */
    void close() {
        onLeadershipChange(0);
        FailureException stopped = new FailureException(FailureType.NOT_LEADER, "the log is stopped");
        unappended.values().forEach(outcome -> fail(outcome, stopped));
        reads.values().forEach(outcome -> fail(outcome, stopped));
        unappended.clear();
        reads.clear();
    }

    private void fail(CompletableFuture<?> outcome, FailureException failure) {
        metrics.onRefusal(failure.type());
        outcome.completeExceptionally(failure);
    }

    private static FailureException leadershipLost(long term) {
        return new FailureException(FailureType.LEADERSHIP_LOST, "term " + term);
    }

    /** A proposal that has its place in the log. */
    private record AppendedProposal(long term, CompletableFuture<CommandResult> outcome) {}
}
