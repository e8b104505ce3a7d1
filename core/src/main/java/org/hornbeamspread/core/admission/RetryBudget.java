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

    private static final double INITIAL_CALLER_RETRIES = 1;
    private static final double MAX_CALLER_RETRIES = 5;
    private static final double MAX_RANK_RETRIES = 20;
    private static final int MAX_CALLERS = 10_000;
    private static final int INITIAL_CAPACITY = 1024;
    private static final float LOAD_FACTOR = 0.75f;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Map<String, Double> balanceByRank = new HashMap<>();

    /** The least recently used caller is forgotten when there are too many. */
    private final Map<CallerAndRank, Double> balanceByCaller =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<CallerAndRank, Double> eldest) {
                    return size() > MAX_CALLERS;
                }
            };

    /** A first attempt was made. */
    public void recordRequest(String callerId, String rank) {
        CallerAndRank key = new CallerAndRank(callerId, rank);
        balanceByCaller.put(key, Math.min(MAX_CALLER_RETRIES, callerBalance(key) + RETRIES_PER_REQUEST));
        balanceByRank.put(rank, Math.min(MAX_RANK_RETRIES, rankBalance(rank) + RETRIES_PER_REQUEST));
    }

    /** Spends one retry; RETRY_BUDGET_SPENT when the caller or the rank has none left, and then nothing is spent. */
    public Optional<FailureException> spendRetry(String callerId, String rank) {
        CallerAndRank key = new CallerAndRank(callerId, rank);
        double ofCaller = callerBalance(key);
        double ofRank = rankBalance(rank);
        if (ofCaller < 1 || ofRank < 1) {
            return Optional.of(
                    new FailureException(FailureType.RETRY_BUDGET_SPENT, callerId + " " + rank, RETRY_AFTER));
        }
        balanceByCaller.put(key, ofCaller - 1);
        balanceByRank.put(rank, ofRank - 1);
        return Optional.empty();
    }

    private double callerBalance(CallerAndRank key) {
        return balanceByCaller.getOrDefault(key, INITIAL_CALLER_RETRIES);
    }

    private double rankBalance(String rank) {
        return balanceByRank.getOrDefault(rank, MAX_RANK_RETRIES);
    }

    /**
     * Whose budget it is.
     *
     * @param callerId the caller
     * @param rank the rank of work
     */
    private record CallerAndRank(String callerId, String rank) {}
}
