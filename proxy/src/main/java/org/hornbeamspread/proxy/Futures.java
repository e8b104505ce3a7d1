package org.hornbeamspread.proxy;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamspread.core.misc.FailureException;

/** Help with futures that fail with typed failures. */
final class Futures {
    private Futures() {}

    /** Starts work; an exception that it throws at once becomes the future's failure. */
    static <T> CompletableFuture<T> start(Supplier<CompletableFuture<T>> work) {
        try {
            return work.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(FailureException.of(e));
        }
    }

    /** Passes an outcome on; a failure is typed. */
    static <T> void complete(CompletableFuture<T> target, T value, Throwable error) {
        if (error != null) {
            target.completeExceptionally(FailureException.of(error));
        } else {
            target.complete(value);
        }
    }
}
