package org.hornbeamspread.core.configuration;

import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * Holds the configuration in force and decides on each change of it. A change names the version that it replaces, so
 * that of changes prepared against the same version one wins and the others get VERSION_CONFLICT. The version only
 * rises, by one with each accepted change. Not safe for threads.
 */
public final class ConfigurationStore {
    private DeclaredConfiguration current = DeclaredConfiguration.EMPTY;

    /** What is in force. */
    public DeclaredConfiguration current() {
        return current;
    }

    /** Decides a change without making it: empty when it would be accepted. */
    public Optional<FailureException> check(DeclaredConfiguration proposed, long expectedVersion) {
        if (expectedVersion != current.version()) {
            return Optional.of(new FailureException(
                    FailureType.VERSION_CONFLICT, "expected " + expectedVersion + ", current " + current.version()));
        }
        return ConfigurationValidator.check(proposed);
    }

    /** Makes a change when {@link #check} accepts it; else returns why not and leaves what is in force. */
    public Optional<FailureException> replace(DeclaredConfiguration proposed, long expectedVersion) {
        Optional<FailureException> refusal = check(proposed, expectedVersion);
        if (refusal.isEmpty()) {
            current = proposed.withVersion(current.version() + 1);
        }
        return refusal;
    }

    /** Takes over a whole configuration from a snapshot. */
    public void restore(DeclaredConfiguration snapshot) {
        current = snapshot;
    }
}
