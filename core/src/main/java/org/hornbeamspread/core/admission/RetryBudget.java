package org.hornbeamspread.core.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * Limits retries to a tenth of the requests, for each caller and rank and for each rank as a whole, so that retries
 * can't amplify an overload. Each first attempt earns a tenth of a retry, up to a small reserve. A caller starts with
 * one retry; the rank's own budget bounds what many new callers can spend together. For one thread.
 */
public final class RetryBudget {
    /** Retries that one first attempt earns. */
    public static final double RETRIES_PER_REQUEST = 0.1;

    private static final double FIRST_RETRIES_OF_CALLER = 1;
    private static final double RESERVE_OF_CALLER = 5;
    private static final double RESERVE_OF_RANK = 20;
    private static final int MAX_CALLERS = 10_000;
    private static final int INITIAL_CAPACITY = 1024;
    private static final float LOAD_FACTOR = 0.75f;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Map<String, Double> byRank = new HashMap<>();

    /** The least recently used caller is forgotten when there are too many. */
    private final Map<CallerAndRank, Double> byCaller = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<CallerAndRank, Double> eldest) {
            return size() > MAX_CALLERS;
        }
    };

    /** A first attempt was made. */
    public void recordRequest(String callerId, String rank) {
        CallerAndRank key = new CallerAndRank(callerId, rank);
        byCaller.put(key, Math.min(RESERVE_OF_CALLER, ofCaller(key) + RETRIES_PER_REQUEST));
        byRank.put(rank, Math.min(RESERVE_OF_RANK, ofRank(rank) + RETRIES_PER_REQUEST));
    }

    /** Spends one retry; RETRY_BUDGET_SPENT when the caller or the rank has none left, and then nothing is spent. */
    public Optional<FailureException> spendRetry(String callerId, String rank) {
        CallerAndRank key = new CallerAndRank(callerId, rank);
        double ofCaller = ofCaller(key);
        double ofRank = ofRank(rank);
        if (ofCaller < 1 || ofRank < 1) {
            return Optional.of(
                    new FailureException(FailureType.RETRY_BUDGET_SPENT, callerId + " " + rank, RETRY_AFTER));
        }
        byCaller.put(key, ofCaller - 1);
        byRank.put(rank, ofRank - 1);
        return Optional.empty();
    }

    private double ofCaller(CallerAndRank key) {
        return byCaller.getOrDefault(key, FIRST_RETRIES_OF_CALLER);
    }

    private double ofRank(String rank) {
        return byRank.getOrDefault(rank, RESERVE_OF_RANK);
    }

    /**
     * Whose budget it is.
     *
     * @param callerId the caller
     * @param rank the rank of work
     */
    private record CallerAndRank(String callerId, String rank) {}
}
