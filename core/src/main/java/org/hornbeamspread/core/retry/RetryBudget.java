package org.hornbeamspread.core.retry;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the retries of each caller and rank to a share of its first attempts, so that retries can't amplify an
 * overload: when everything fails, the load on the databases grows by that share and no more. A small reserve lets a
 * quiet caller retry at all. Callers that were not seen for long are forgotten. Not safe for use by several threads.
 */
public final class RetryBudget {
    private final double sharePerAttempt;
    private final double reserveRetries;
    private final Map<Account, Double> accounts;

    /**
     * A budget.
     *
     * @param sharePerAttempt retries earned by each first attempt
     * @param reserveRetries what an account starts with and at most holds
     * @param maxAccounts accounts that are kept; the least recently used one is dropped
     */
    public RetryBudget(double sharePerAttempt, double reserveRetries, int maxAccounts) {
        this.sharePerAttempt = sharePerAttempt;
        this.reserveRetries = reserveRetries;
        this.accounts = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Account, Double> eldest) {
                return size() > maxAccounts;
            }
        };
    }

    /** A first attempt was made. */
    public void earn(String callerId, String rank) {
        accounts.merge(
                new Account(callerId, rank),
                reserveRetries,
                (held, start) -> Math.min(reserveRetries, held + sharePerAttempt));
    }

    /** Takes one retry; false when the account is spent. */
    public boolean spend(String callerId, String rank) {
        Account account = new Account(callerId, rank);
        double held = accounts.getOrDefault(account, reserveRetries);
        if (held < 1) {
            return false;
        }
        accounts.put(account, held - 1);
        return true;
    }

    private record Account(String callerId, String rank) {}
}
