package org.hornbeamspread.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureType;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

final class RetryPolicyTest {
    private static final RetryPolicy POLICY = new RetryPolicy(Duration.ofMillis(5), Duration.ofMillis(100));

    @ParameterizedTest
    @EnumSource(FailureType.class)
    void unkeyedWriteIsNotRetriedAfterAnUnknownOutcome(FailureType type) {
        if (type.effect() != Effect.NOT_RUN) {
            assertThat(RetryPolicy.isRetryable(type, StatementKind.UNKEYED_WRITE))
                    .isFalse();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "WRONG_TERM, UNKEYED_WRITE, true",
        "WRONG_HOLDER, READ, true",
        "TERM_CHANGED_AFTER_SEND, KEYED_WRITE, true",
        "CONNECTION_LOST_AFTER_SEND, READ, true",
        "STATEMENT_CONFLICT, KEYED_WRITE, false",
        "INVALID_TOKEN, READ, false",
        "QUEUE_FULL, READ, false",
        "DEADLINE_BEFORE_START, KEYED_WRITE, false",
        "INTERNAL, READ, false",
        "TRANSACTION_LOST, KEYED_WRITE, false",
    })
    void retryabilityDependsOnFailureAndStatementKind(FailureType type, StatementKind kind, boolean retryable) {
        assertThat(RetryPolicy.isRetryable(type, kind)).isEqualTo(retryable);
    }

    @ParameterizedTest
    @CsvSource({"1, 1000, 5", "2, 1000, 10", "5, 1000, 80", "6, 1000, 100", "90, 1000, 100", "3, 20, -1", "3, 21, 20"})
    void backoffDoublesUpToALimitAndEndsBeforeTheDeadline(int attempts, long remainingMs, long backoffMs) {
        Optional<Duration> backoff = POLICY.nextBackoff(
                FailureType.NO_PRIMARY, StatementKind.READ, attempts, Duration.ofMillis(remainingMs));
        assertThat(backoff.map(Duration::toMillis).orElse(-1L)).isEqualTo(backoffMs);
    }

    /** Failures caused by a replaced primary or by the proxy's own view add no load; attempts that may have run do. */
    @ParameterizedTest
    @CsvSource({
        "TIMEOUT_AFTER_SEND, true",
        "CONNECTION_LOST_AFTER_SEND, true",
        "CONNECTION_LIMIT, true",
        "TERM_CHANGED_AFTER_SEND, false",
        "WRONG_TERM, false",
        "NO_PRIMARY, false",
    })
    void retryBudgetCountsAttemptsThatMayHaveLoadedADatabase(FailureType type, boolean consumesBudget) {
        assertThat(RetryPolicy.consumesRetryBudget(type)).isEqualTo(consumesBudget);
    }
}
