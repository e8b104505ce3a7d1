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
 * Repeats the attempts of a request until one succeeds, the retry policy or the retry budget allows no further attempt,
 * or the deadline expires. Once an attempt has ended with an unknown outcome, no later refusal changes the outcome to
 * "not run", because the earlier attempt may have run or may still run. A proxy that is isolated from control does not
 * retry an attempt that was not run, so that the caller still has time to use another proxy. Confined to the
 * dispatcher's thread.
 */
final class RetryLoop {
    private static final RetryPolicy POLICY = new RetryPolicy(Duration.ofMillis(5), Duration.ofMillis(50));

    /** How long after the deadline the outcome of the last attempt is still accepted. */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(20);

    private final Dispatcher dispatcher;
    private final ProxyMetrics metrics;
    private final BooleanSupplier isolatedFromControl;
    private final RetryBudget budget = new RetryBudget();

    RetryLoop(Dispatcher dispatcher, ProxyMetrics metrics, BooleanSupplier isolatedFromControl) {
        this.isolatedFromControl = isolatedFromControl;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
    }

    /** Executes one request with retries. */
    <T> CompletableFuture<T> run(StatementRequest request, Supplier<CompletableFuture<T>> attempt) {
        budget.recordRequest(request.context().callerId(), request.context().rank());
        RetriedRequest<T> retried = new RetriedRequest<>(request, attempt);
        Dispatcher.Timer timer = dispatcher.schedule(
                Duration.between(dispatcher.clock().instant(), request.context().deadline())
                        .plus(RESPONSE_MARGIN),
                retried::expire);
        retried.result.whenComplete((value, error) -> timer.cancel());
        retried.startAttempt();
        return retried.result;
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

        /** Fails a request whose last attempt has not ended by the deadline plus the margin. */
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
            Optional<Duration> backoff = POLICY.nextBackoff(failure.type(), request.kind(), attempts, remaining);
            if (backoff.isEmpty()
                    || (failure.type().effect() == Effect.NOT_RUN && isolatedFromControl.getAsBoolean())) {
                fail(failure);
                return;
            }
            Optional<FailureException> refusal = spendRetryBudget(failure);
            if (refusal.isPresent()) {
                fail(refusal.get());
                return;
            }
            metrics.countRetry(failure.type());
            dispatcher.schedule(backoff.get(), this::startAttempt);
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
