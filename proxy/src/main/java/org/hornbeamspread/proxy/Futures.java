package org.hornbeamspread.proxy;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/** Utilities for futures that fail with {@link FailureException}. */
final class Futures {
    private Futures() {}

    /** Starts work. An exception thrown synchronously becomes the failure of the returned future. */
    static <T> CompletableFuture<T> start(Supplier<CompletableFuture<T>> work) {
        try {
            return work.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(FailureException.of(e));
        }
    }

    /**
     * Starts work that fails with REQUEST_TIMEOUT after a time on the dispatcher's clock, and is then cancelled. Call only on the
     * dispatcher's thread.
     */
    static <T> CompletableFuture<T> startWithTimeout(
            Dispatcher dispatcher, Duration timeout, Supplier<CompletableFuture<T>> work) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Dispatcher.Timer timer = dispatcher.schedule(
                timeout,
                () -> result.completeExceptionally(
                        new FailureException(FailureType.REQUEST_TIMEOUT, timeout.toMillis() + " ms")));
        CompletableFuture<T> started = start(work);
        started.whenComplete((value, error) -> complete(result, value, error));
        result.whenCompleteAsync(
                (value, error) -> {
                    timer.cancel();
                    started.cancel(false);
                },
                dispatcher);
        return result;
    }

    /** Completes a future with an outcome; an error is converted to a {@link FailureException}. */
    static <T> void complete(CompletableFuture<T> target, T value, Throwable error) {
        if (error != null) {
            target.completeExceptionally(FailureException.of(error));
        } else {
            target.complete(value);
        }
    }
}
