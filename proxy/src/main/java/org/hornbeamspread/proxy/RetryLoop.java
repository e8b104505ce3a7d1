package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.retry.RetryBudget;
import org.hornbeamspread.core.retry.RetryPolicy;

/**
 * Repeats attempts until one succeeds, the policy or the budget says no, or the deadline comes. Once an attempt ended
 * as unknown, no later refusal turns the outcome into "not run": the earlier attempt may still have run, or may run
 * yet. Owned by the dispatcher's thread.
 */
final class RetryLoop {
    private static final RetryPolicy POLICY = new RetryPolicy(Duration.ofMillis(5), Duration.ofMillis(50));
    private static final double RETRY_SHARE = 0.1;
    private static final double RETRY_RESERVE = 100;
    private static final int MAX_ACCOUNTS = 10_000;

    private final Dispatcher dispatcher;
    private final ProxyMetrics metrics;
    private final RetryBudget budget = new RetryBudget(RETRY_SHARE, RETRY_RESERVE, MAX_ACCOUNTS);

    RetryLoop(Dispatcher dispatcher, ProxyMetrics metrics) {
        this.dispatcher = dispatcher;
        this.metrics = metrics;
    }

    /** Runs attempts of one request. */
    <T> CompletableFuture<T> run(StatementRequest request, Supplier<CompletableFuture<T>> attempt) {
        budget.earn(request.order().callerId(), request.order().rank());
        Run<T> run = new Run<>(request, attempt);
        run.next();
        return run.result;
    }

    private final class Run<T> {
        private final StatementRequest request;
        private final Supplier<CompletableFuture<T>> attempt;
        private final CompletableFuture<T> result = new CompletableFuture<>();
        private int attempts;
        private Optional<FailureException> unknown = Optional.empty();

        Run(StatementRequest request, Supplier<CompletableFuture<T>> attempt) {
            this.request = request;
            this.attempt = attempt;
        }

        void next() {
            attempts++;
            attempt.get().whenComplete((value, error) -> {
                if (error == null) {
                    result.complete(value);
                } else {
                    failed(FailureException.of(error));
                }
            });
        }

        private void failed(FailureException failure) {
            if (unknown.isEmpty() && failure.type().effect() != Effect.NOT_RUN) {
                unknown = Optional.of(failure);
            }
            Instant now = dispatcher.clock().instant();
            Duration remaining = Duration.between(now, request.order().deadline());
            Optional<Duration> pause = POLICY.nextAttempt(failure.type(), request.kind(), attempts, remaining);
            if (pause.isEmpty()) {
                fail(failure);
            } else if (RetryPolicy.isCharged(failure.type())
                    && !budget.spend(request.order().callerId(), request.order().rank())) {
                fail(new FailureException(
                        FailureType.RETRY_BUDGET_SPENT, failure.type().name()));
            } else {
                metrics.retried(failure.type());
                dispatcher.schedule(pause.get(), this::next);
            }
        }

        /** A read that did not answer has changed nothing, but its type is kept: the caller knows it was a read. */
        private void fail(FailureException last) {
            result.completeExceptionally(unknown.orElse(last));
        }
    }
}
