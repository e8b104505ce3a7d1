package org.hornbeamspread.core.configuration;

import java.util.List;

/**
 * A service that callers name.
 *
 * @param name the service's name
 * @param groups the groups that hold its rows, in the order that keys are hashed over
 * @param stalenessAllowanceMs how old a read without a session position may be, 0 for reads at the primary only
 * @param defaultTimeoutMs the timeout of a request that names none
 */
public record Service(String name, List<String> groups, int stalenessAllowanceMs, int defaultTimeoutMs) {
    /** Copies the list. */
    public Service {
        groups = List.copyOf(groups);
    }
}
