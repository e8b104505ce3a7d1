package org.hornbeamspread.control.consensus;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/** The proposals and reads whose outcome is pending. Used by the consensus thread. */
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
        AppendedProposal proposal = appended.remove(index);
        if (proposal == null) {
            return;
        }
        if (proposal.term() == term) {
            proposal.outcome().complete(result);
        } else {
            fail(proposal.outcome(), leadershipLost(proposal.term()));
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

    /**
     * Fails the proposals appended in any other term than the one in which this member leads.
     *
     * @param leadingTerm the term in which this member leads, 0 when it does not lead
     */
    void onLeadershipChange(long leadingTerm) {
        Iterator<AppendedProposal> proposals = appended.values().iterator();
        while (proposals.hasNext()) {
            AppendedProposal proposal = proposals.next();
            if (proposal.term() != leadingTerm) {
                proposals.remove();
                fail(proposal.outcome(), leadershipLost(proposal.term()));
            }
        }
    }

    /** Fails all pending proposals and reads because the log stops. */
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

    /** A proposal appended to the log and not yet applied. */
    private record AppendedProposal(long term, CompletableFuture<CommandResult> outcome) {}
}
