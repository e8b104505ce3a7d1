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
 * can't amplify an overload. Each first attempt adds a tenth of a retry to the budget, up to a small maximum. A caller
 * starts with one retry; the budget of the rank bounds the retries of many new callers together. Confined to one
 * thread.
 */
public final class RetryBudget {
    /** Retries that one first attempt adds to the budget. */
    public static final double RETRIES_PER_REQUEST = 0.1;

    private static final double INITIAL_CALLER_RETRIES = 1;
    private static final double MAX_CALLER_RETRIES = 5;
    private static final double MAX_RANK_RETRIES = 20;
    private static final int MAX_CALLERS = 10_000;
    private static final int INITIAL_CAPACITY = 1024;
    private static final float LOAD_FACTOR = 0.75f;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Map<String, Double> balanceByRank = new HashMap<>();

    /** The least recently used entry is evicted beyond {@link #MAX_CALLERS} entries. */
    private final Map<CallerAndRank, Double> balanceByCaller =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<CallerAndRank, Double> eldest) {
                    return size() > MAX_CALLERS;
                }
            };

    /** Records a first attempt. */
    public void recordRequest(String callerId, String rank) {
        CallerAndRank key = new CallerAndRank(callerId, rank);
        balanceByCaller.put(key, Math.min(MAX_CALLER_RETRIES, callerBalance(key) + RETRIES_PER_REQUEST));
        balanceByRank.put(rank, Math.min(MAX_RANK_RETRIES, rankBalance(rank) + RETRIES_PER_REQUEST));
    }

    /** Spends one retry; returns RETRY_BUDGET_SPENT, and spends nothing, when the caller or the rank has none left. */
    public Optional<FailureException> spendRetry(String callerId, String rank) {
        CallerAndRank key = new CallerAndRank(callerId, rank);
        double callerBalance = callerBalance(key);
        double rankBalance = rankBalance(rank);
        if (callerBalance < 1 || rankBalance < 1) {
            return Optional.of(
                    new FailureException(FailureType.RETRY_BUDGET_SPENT, callerId + " " + rank, RETRY_AFTER));
        }
        balanceByCaller.put(key, callerBalance - 1);
        balanceByRank.put(rank, rankBalance - 1);
        return Optional.empty();
    }

    private double callerBalance(CallerAndRank key) {
        return balanceByCaller.getOrDefault(key, INITIAL_CALLER_RETRIES);
    }

    private double rankBalance(String rank) {
        return balanceByRank.getOrDefault(rank, MAX_RANK_RETRIES);
    }

    /**
     * Key of a caller's budget.
     *
     * @param callerId the caller
     * @param rank the rank of work
     */
    private record CallerAndRank(String callerId, String rank) {}
}
