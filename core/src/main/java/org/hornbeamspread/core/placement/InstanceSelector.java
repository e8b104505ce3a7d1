package org.hornbeamspread.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Selects the database instance for a statement by the earliest expected completion.
 *
 * <p>Spreads a burst of reads over, for example, three instances of which one is slow, lagging or in another region. A
 * fixed order of preference fills the nearest instance while others are idle; a random order needlessly sends a part of
 * the reads across regions. Here the expected completion at a candidate adds up its network time, the wait behind the
 * statements of this proxy that wait or run there, and the recent service time of statements. A candidate that has
 * pending requests, and has been silent for longer than a statement is expected to take, is charged the excess: the
 * instance may be unresponsive, and statements that hang there do not raise the service time. A candidate that is
 * unlikely to have applied the requested position, or that recently refused statements, is charged the expected cost of
 * a failed attempt. A candidate that has no idle connection of the caller's workspace is charged the expected cost of
 * opening one, so that the idle connections of a workspace are used before new ones occupy slots.
 */
public final class InstanceSelector {
    /** How long a new connection occupies a slot of the database. */
    private static final double CONNECTION_SETUP_MS = 12;

    private InstanceSelector() {}

    /**
     * An instance that may run the statement.
     *
     * @param instanceId the id of the instance
     * @param roundTripMs network round-trip time
     * @param serviceMs recent service time of a statement, including the wait in the database's own queue
     * @param outstanding statements of this proxy that wait or run there
     * @param concurrencyLimit the number of statements of this proxy that may run there concurrently
     * @param silentMs time without a response while requests are pending
     * @param expectedFailureCostMs expected cost of a failed attempt
     * @param needsConnection whether a connection has to be opened for the statement, since it may run only on one of its workspace
     */
    public record Candidate(
            String instanceId,
            double roundTripMs,
            double serviceMs,
            int outstanding,
            int concurrencyLimit,
            long silentMs,
            double expectedFailureCostMs,
            boolean needsConnection) {
        /** A candidate on which the statement may run on any connection. */
        public Candidate(
                String instanceId,
                double roundTripMs,
                double serviceMs,
                int outstanding,
                int concurrencyLimit,
                long silentMs,
                double expectedFailureCostMs) {
            this(
                    instanceId,
                    roundTripMs,
                    serviceMs,
                    outstanding,
                    concurrencyLimit,
                    silentMs,
                    expectedFailureCostMs,
                    false);
        }

        /** Time until a statement sent now is expected to complete. */
        double expectedCompletionMs() {
            double waitMs = serviceMs * Math.max(0, outstanding - concurrencyLimit + 1) / Math.max(1, concurrencyLimit);
            double excessSilenceMs = Math.max(0, silentMs - roundTripMs - serviceMs);
            double setupMs = needsConnection ? CONNECTION_SETUP_MS + roundTripMs : 0;
            return roundTripMs + serviceMs + waitMs + excessSilenceMs + expectedFailureCostMs + setupMs;
        }
    }

    /** The candidate with the earliest expected completion; of equal candidates the first in the list. */
    public static Optional<Candidate> select(List<Candidate> candidates) {
        return candidates.stream().min(Comparator.comparingDouble(Candidate::expectedCompletionMs));
    }
}
