package org.hornbeamspread.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.Arrays;
import java.util.Iterator;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.retry.StatementKind;
import org.hornbeamspread.core.session.SessionToken;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the outcome of a request whose attempts end as listed. Guards against a write that is reported as not run
 * although an earlier attempt with an unknown outcome may have run.
 */
final class RetryLoopTest {
    private final ManualDispatcher dispatcher = new ManualDispatcher();
    private boolean isolatedFromControl;
    private final RetryLoop retryLoop =
            new RetryLoop(dispatcher, new ProxyMetrics(new PrometheusRegistry()), () -> isolatedFromControl);

    @ParameterizedTest
    @CsvSource({
        // attempts, kind, outcome, attempts made
        "NO_PRIMARY WRONG_TERM DONE, UNKEYED_WRITE, DONE, 3",
        "TERM_CHANGED_AFTER_SEND DONE, KEYED_WRITE, DONE, 2",
        "TERM_CHANGED_AFTER_SEND DONE, UNKEYED_WRITE, TERM_CHANGED_AFTER_SEND, 1",
        "NO_PRIMARY STATEMENT_CONFLICT, KEYED_WRITE, STATEMENT_CONFLICT, 2",
        "TIMEOUT_AFTER_SEND STATEMENT_CONFLICT, KEYED_WRITE, TIMEOUT_AFTER_SEND, 2",
        "CONNECTION_LOST_AFTER_SEND QUEUE_FULL, KEYED_WRITE, CONNECTION_LOST_AFTER_SEND, 2",
        "TERM_CHANGED_AFTER_SEND NO_PRIMARY DEPARTING DRAINING, KEYED_WRITE, TERM_CHANGED_AFTER_SEND, 4",
        "CONNECTION_LIMIT CONNECTION_LIMIT DONE, READ, RETRY_BUDGET_SPENT, 2",
        "TIMEOUT_AFTER_SEND TIMEOUT_AFTER_SEND DONE, READ, TIMEOUT_AFTER_SEND, 2",
    })
    void unknownOutcomeIsNeverReportedAsNotRun(String attempts, StatementKind kind, String outcome, int attemptsMade) {
        Iterator<String> outcomes = Arrays.asList(attempts.split(" ", -1)).iterator();
        int[] attemptCount = {0};
        CompletableFuture<String> result = retryLoop.run(request(kind), () -> {
            attemptCount[0]++;
            return attemptOutcome(outcomes.next());
        });
        dispatcher.advance(Duration.ofMillis(500));
        assertThat(result.exceptionally(
                                error -> FailureException.of(error).type().name())
                        .join())
                .isEqualTo(outcome);
        assertThat(attemptCount[0]).isEqualTo(attemptsMade);
    }

    /** An isolated proxy still retries after an unknown outcome, because only another attempt can resolve it. */
    @ParameterizedTest
    @CsvSource({
        "VIEW_EXPIRED DONE, false, DONE, 2",
        "VIEW_EXPIRED DONE, true, VIEW_EXPIRED, 1",
        "NO_REPLICA_IN_TIME DONE, true, NO_REPLICA_IN_TIME, 1",
        "TIMEOUT_AFTER_SEND DONE, true, DONE, 2",
        "TIMEOUT_AFTER_SEND VIEW_EXPIRED DONE, true, TIMEOUT_AFTER_SEND, 2",
    })
    void isolatedProxyDoesNotRetryAfterAnAttemptThatDidNotRun(
            String attempts, boolean isIsolated, String outcome, int attemptsMade) {
        isolatedFromControl = isIsolated;
        unknownOutcomeIsNeverReportedAsNotRun(attempts, StatementKind.READ, outcome, attemptsMade);
    }

    private static CompletableFuture<String> attemptOutcome(String name) {
        return "DONE".equals(name)
                ? CompletableFuture.completedFuture(name)
                : CompletableFuture.failedFuture(new FailureException(FailureType.valueOf(name), ""));
    }

    private StatementRequest request(StatementKind kind) {
        return new StatementRequest(
                ExecuteRequest.getDefaultInstance(),
                TestViews.GROUP,
                SessionToken.EMPTY,
                kind,
                Duration.ZERO,
                new RequestContext(
                        "urgent", "agent-7", dispatcher.clock().instant().plusSeconds(1)));
    }
}
