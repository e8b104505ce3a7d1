package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.hornbeamspread.core.admission.RetryBudget;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.retry.RetryPolicy;

/**
 * Repeats attempts until one succeeds, the policy or the budget says no, or the deadline comes. Once an attempt ended
 * as unknown, no later refusal turns the outcome into "not run": the earlier attempt may still have run, or may run
 * yet. A proxy that is cut off from control refuses after the first attempt, so that the caller can go elsewhere while
 * there is time. Owned by the dispatcher's thread.
 */
final class RetryLoop {
    private static final RetryPolicy POLICY = new RetryPolicy(Duration.ofMillis(5), Duration.ofMillis(50));

    /** How long after the deadline an attempt may still tell its own outcome. */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(20);

    private final Dispatcher dispatcher;
    private final ProxyMetrics metrics;
    private final BooleanSupplier isolatedFromControl;
    private final RetryBudget budget = new RetryBudget();

    RetryLoop(Dispatcher dispatcher, ProxyMetrics metrics, BooleanSupplier cutOff) {
        this.isolatedFromControl = cutOff;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
    }

    /** Runs attempts of one request. */
    <T> CompletableFuture<T> run(StatementRequest request, Supplier<CompletableFuture<T>> attempt) {
        budget.recordRequest(request.context().callerId(), request.context().rank());
        RetriedRequest<T> run = new RetriedRequest<>(request, attempt);
        Dispatcher.Timer timer = dispatcher.schedule(
                Duration.between(dispatcher.clock().instant(), request.context().deadline())
                        .plus(RESPONSE_MARGIN),
                run::expire);
        run.result.whenComplete((value, error) -> timer.cancel());
        run.startAttempt();
        return run.result;
    }

    private final class RetriedRequest<T> {
        private final StatementRequest request;
        private final Supplier<CompletableFuture<T>> attempt;
        private final CompletableFuture<T> result = new CompletableFuture<>();
        private int attempts;
        private Optional<FailureException> firstUnknownOutcome = Optional.empty();

        RetriedRequest(StatementRequest request, Supplier<CompletableFuture<T>> attempt) {
            this.request = request;
            this.attempt = attempt;
        }

        void startAttempt() {
            attempts++;
            Futures.start(attempt).whenComplete((value, error) -> {
                if (error == null) {
                    result.complete(value);
                } else {
                    onAttemptFailed(FailureException.of(error));
                }
            });
        }

        /** Ends a request whose attempt has not ended by its deadline. */
        void expire() {
            fail(new FailureException(FailureType.TIMEOUT_AFTER_SEND, "attempt " + attempts));
        }

        private void onAttemptFailed(FailureException failure) {
            if (result.isDone()) {
                return;
            }
            if (firstUnknownOutcome.isEmpty() && failure.type().effect() != Effect.NOT_RUN) {
                firstUnknownOutcome = Optional.of(failure);
            }
            Instant now = dispatcher.clock().instant();
            Duration remaining = Duration.between(now, request.context().deadline());
            Optional<Duration> pause = POLICY.nextBackoff(failure.type(), request.kind(), attempts, remaining);
            if (pause.isEmpty() || (failure.type().effect() == Effect.NOT_RUN && isolatedFromControl.getAsBoolean())) {
                fail(failure);
                return;
            }
            Optional<FailureException> spent = spendRetryBudget(failure);
            if (spent.isPresent()) {
                fail(spent.get());
                return;
            }
            metrics.retried(failure.type());
            dispatcher.schedule(pause.get(), this::startAttempt);
        }

        private Optional<FailureException> spendRetryBudget(FailureException failure) {
            return RetryPolicy.consumesRetryBudget(failure.type())
                    ? budget.spendRetry(
                            request.context().callerId(), request.context().rank())
                    : Optional.empty();
        }

        private void fail(FailureException last) {
            result.completeExceptionally(firstUnknownOutcome.orElse(last));
        }
    }
}
