package org.hornbeamspread.core.configuration;

import java.util.List;

/**
 * A service, which callers address by name.
 *
 * @param name the service's name
 * @param groups the groups that store the service's rows; keys are hashed over the groups in this order
 * @param stalenessAllowanceMs the maximum age of a read without a session position; 0 for reads at the primary only
 * @param defaultTimeoutMs the timeout of a request without its own timeout
 */
public record Service(String name, List<String> groups, int stalenessAllowanceMs, int defaultTimeoutMs) {
    /** Copies the list. */
    public Service {
        groups = List.copyOf(groups);
    }
}
