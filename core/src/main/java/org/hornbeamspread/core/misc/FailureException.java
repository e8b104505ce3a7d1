package org.hornbeamspread.core.misc;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/**
 * A typed failure. Futures of this project complete exceptionally with it. It carries no stack trace: it is an outcome,
 * not a defect, and in a flood most requests end in one. An INTERNAL failure keeps its cause, which has one.
 */
public final class FailureException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final FailureType type;
    private final String detail;

    /** 0 when a retry is not advised. */
    private final long retryAfterMs;

    /** A failure without advice to retry. */
    public FailureException(FailureType type, String detail) {
        this(type, detail, Duration.ZERO);
    }

    /** A failure that advises a retry after a pause; zero for none. */
    public FailureException(FailureType type, String detail, Duration retryAfter) {
        this(type, detail, retryAfter, null);
    }

    /** A failure that another error brought about. */
    public FailureException(FailureType type, String detail, Throwable cause) {
        this(type, detail, Duration.ZERO, cause);
    }

    private FailureException(FailureType type, String detail, Duration retryAfter, Throwable cause) {
        super(type.message(detail), cause, false, false);
        this.type = type;
        this.detail = detail;
        this.retryAfterMs = retryAfter.toMillis();
    }

    /** The entry of the failure table. */
    public FailureType type() {
        return type;
    }

    /** What the message template was filled with. */
    public String detail() {
        return detail;
    }

    /** How long to wait before a retry, if one is advised. */
    public Optional<Duration> retryAfter() {
        return retryAfterMs == 0 ? Optional.empty() : Optional.of(Duration.ofMillis(retryAfterMs));
    }

    /** The typed failure behind a future's error: unwraps completion exceptions, and types anything else INTERNAL. */
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
