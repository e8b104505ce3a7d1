package org.hornbeamspread.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the database for a statement by the time at which it is expected to end there.
 *
 * <p>The load that it answers: a burst of reads, three databases of which one is slow, lagging or far. A fixed order of
 * preference fills the nearest while others idle; a random one sends a share across the region link for nothing. Here
 * each candidate is charged its network time, the statements that wait or run there by way of this proxy, and what
 * statements took there of late. One that owes answers and has given none for a while is charged that time once more: it may
 * have gone dark, and what hangs there does not raise what statements took. A candidate that is unlikely to hold the position that is asked for, or that refused of
 * late, is charged what trying it in vain would cost.
 */
public final class InstanceSelector {
    private InstanceSelector() {}

    /**
     * What is known of a candidate.
     *
     * @param instanceId the database
     * @param roundTripMs network time for one exchange
     * @param serviceMs what a statement took there of late, with the database's own queue
     * @param outstanding statements of this proxy that wait or run there
     * @param parallel how many of them it runs at once
     * @param silentMs for how long it has owed an answer without giving any
     * @param penaltyMs expected cost of a vain attempt
     */
    public record Candidate(
            String instanceId,
            double roundTripMs,
            double serviceMs,
            int outstanding,
            int concurrencyLimit,
            long silentMs,
            double expectedFailureCostMs) {
        /** When a statement sent now is expected to end. */
        double expectedCompletionMs() {
            double waitMs = serviceMs * Math.max(0, outstanding - concurrencyLimit + 1) / Math.max(1, concurrencyLimit);
            double darkMs = Math.max(0, silentMs - roundTripMs - serviceMs);
            return roundTripMs + serviceMs + waitMs + darkMs + expectedFailureCostMs;
        }
    }

    /** The candidate that is expected to end first; ties go to the earlier one. */
    public static Optional<Candidate> select(List<Candidate> candidates) {
        return candidates.stream().min(Comparator.comparingDouble(Candidate::expectedCompletionMs));
    }
}
