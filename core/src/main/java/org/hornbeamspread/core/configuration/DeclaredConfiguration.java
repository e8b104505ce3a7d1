package org.hornbeamspread.core.configuration;

import java.util.List;

/**
 * The configuration declared by operators, at one version.
 *
 * @param version one more than the version that was replaced; 0 for the empty initial configuration
 * @param ranks the priority ranks of requests, most urgent first
 * @param groups the database groups
 * @param services the services
 */
public record DeclaredConfiguration(
        long version, List<Rank> ranks, List<DatabaseGroup> groups, List<Service> services) {
    /** The configuration in force before the first change. */
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
