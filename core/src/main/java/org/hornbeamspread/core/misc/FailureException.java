package org.hornbeamspread.core.misc;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/**
 * A typed failure, with which futures of this project complete exceptionally. The exception has no stack trace, because
 * a typed failure is an expected outcome, not a defect, and under overload most requests fail. An INTERNAL failure
 * keeps its cause, which has a stack trace.
 */
public final class FailureException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final FailureType type;
    private final String detail;

    /** 0 if a retry is not advised. */
    private final long retryAfterMs;

    /** Creates a failure without advice to retry. */
    public FailureException(FailureType type, String detail) {
        this(type, detail, Duration.ZERO);
    }

    /** Creates a failure that advises a retry after a delay; zero for no advice. */
    public FailureException(FailureType type, String detail, Duration retryAfter) {
        this(type, detail, retryAfter, null);
    }

    /** Creates a failure that another error caused. */
    public FailureException(FailureType type, String detail, Throwable cause) {
        this(type, detail, Duration.ZERO, cause);
    }

    private FailureException(FailureType type, String detail, Duration retryAfter, Throwable cause) {
        super(type.message(detail), cause, false, false);
        this.type = type;
        this.detail = detail;
        this.retryAfterMs = retryAfter.toMillis();
    }

    /** The type of the failure. */
    public FailureType type() {
        return type;
    }

    /** The detail inserted into the message template. */
    public String detail() {
        return detail;
    }

    /** The delay before a retry, if a retry is advised. */
    public Optional<Duration> retryAfter() {
        return retryAfterMs == 0 ? Optional.empty() : Optional.of(Duration.ofMillis(retryAfterMs));
    }

    /** Converts a future's error: unwraps completion exceptions, and wraps an error without a type as INTERNAL. */
    public static FailureException of(Throwable error) {
        Throwable cause = error;
        while (cause instanceof CompletionException && cause.getCause() != null) {
            cause = cause.getCause();
        }
        if (cause instanceof FailureException) {
            return (FailureException) cause;
        }
        return new FailureException(FailureType.INTERNAL, String.valueOf(cause), cause);
    }
}
