package org.hornbeamspread.core.configuration;

import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * Stores the configuration in force and accepts or rejects changes. Each change specifies the version that it replaces
 * (optimistic concurrency control): of several changes to the same version, one is accepted and the others fail with
 * VERSION_CONFLICT. The version increases by one with each accepted change. Not thread-safe.
 */
public final class ConfigurationStore {
    private DeclaredConfiguration current = DeclaredConfiguration.EMPTY;

    /** The configuration in force. */
    public DeclaredConfiguration current() {
        return current;
    }

    /** Validates a change without applying it; empty when the change would be accepted. */
    public Optional<FailureException> check(DeclaredConfiguration proposed, long expectedVersion) {
        if (expectedVersion != current.version()) {
            return Optional.of(new FailureException(
                    FailureType.VERSION_CONFLICT, "expected " + expectedVersion + ", current " + current.version()));
        }
        return ConfigurationValidator.check(proposed);
    }

    /** Applies a change that {@link #check} accepts; otherwise returns the error and changes nothing. */
    public Optional<FailureException> replace(DeclaredConfiguration proposed, long expectedVersion) {
        Optional<FailureException> error = check(proposed, expectedVersion);
        if (error.isEmpty()) {
            current = proposed.withVersion(current.version() + 1);
        }
        return error;
    }

    /** Replaces the configuration with the one from a snapshot. */
    public void restore(DeclaredConfiguration snapshot) {
        current = snapshot;
    }
}
