package org.hornbeamspread.proxy;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamspread.core.misc.FailureException;

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

    /** Completes a future with an outcome; an error is converted to a {@link FailureException}. */
    static <T> void complete(CompletableFuture<T> target, T value, Throwable error) {
        if (error != null) {
            target.completeExceptionally(FailureException.of(error));
        } else {
            target.complete(value);
        }
    }
}
