package org.hornbeamspread.core.configuration;

import java.util.List;

/**
 * Everything that operators declare, at one version.
 *
 * @param version one more than the version it replaced, 0 for the empty one that the system starts with
 * @param ranks the ranks of work, most urgent first
 * @param groups the database groups
 * @param services the services
 */
public record DeclaredConfiguration(
        long version, List<Rank> ranks, List<DatabaseGroup> groups, List<Service> services) {
    /** What is in force before the first change. */
    public static final DeclaredConfiguration EMPTY = new DeclaredConfiguration(0, List.of(), List.of(), List.of());

    /** Copies the lists. */
    public DeclaredConfiguration {
        ranks = List.copyOf(ranks);
        groups = List.copyOf(groups);
        services = List.copyOf(services);
    }

    /** The same declarations at another version. */
    public DeclaredConfiguration withVersion(long newVersion) {
        return new DeclaredConfiguration(newVersion, ranks, groups, services);
    }
}
