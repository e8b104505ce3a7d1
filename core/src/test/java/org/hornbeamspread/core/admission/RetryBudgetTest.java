package org.hornbeamspread.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.IntStream;
import org.hornbeamspread.core.misc.FailureType;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RetryBudgetTest {
    /** Every request is retried as often as the budget allows, at most twice. */
    @ParameterizedTest
    @CsvSource({"1, 1000, 101", "1000, 1000, 120", "10000, 10000, 1020", "100, 10000, 1020"})
    void retriesAreAtMostATenthOfRequests(int callers, int requests, int allowedRetries) {
        RetryBudget budget = new RetryBudget();
        long retries = IntStream.range(0, requests)
                .mapToLong(request -> {
                    String caller = "caller" + request % callers;
                    budget.recordRequest(caller, "urgent");
                    return IntStream.range(0, 2)
                            .filter(retry -> budget.spendRetry(caller, "urgent").isEmpty())
                            .count();
                })
                .sum();
        assertThat(retries).isAtMost(allowedRetries);
        assertThat(retries).isAtLeast((long) (0.95 * allowedRetries));
    }

    @Test
    void eachCallerAndRankHasItsOwnBudget() {
        RetryBudget budget = new RetryBudget();
        assertThat(budget.spendRetry("a", "urgent")).isEmpty();
        assertThat(budget.spendRetry("a", "urgent").orElseThrow().type()).isEqualTo(FailureType.RETRY_BUDGET_SPENT);
        assertThat(budget.spendRetry("a", "ledger")).isEmpty();
        assertThat(budget.spendRetry("b", "urgent")).isEmpty();
    }
}
