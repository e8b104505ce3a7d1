package org.hornbeamspread.core.route;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * A complete configuration of routes and services.
 *
 * @param version the version; the highest accepted version is in force
 * @param routes the routes, at most one per database
 * @param services the services, with unique names
 * @param idleTransactionMs the time after which an idle transaction may be ended; 0 for never
 * @param workspaces the customers, whose callers need a key; absent where callers need none
 */
public record RouteConfiguration(
        long version,
        List<Route> routes,
        List<RoutedService> services,
        long idleTransactionMs,
        Optional<List<Workspace>> workspaces) {
    /** The configuration of a process that has not received one. */
    public static final RouteConfiguration NONE = new RouteConfiguration(0, List.of(), List.of(), 0);

    /** Copies the lists. */
    public RouteConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        workspaces = workspaces.map(List::copyOf);
    }

    /** A configuration without workspaces. */
    public RouteConfiguration(long version, List<Route> routes, List<RoutedService> services, long idleTransactionMs) {
        this(version, routes, services, idleTransactionMs, Optional.empty());
    }

    /**
     * Fails with INVALID_CONFIGURATION when the version is not positive, service names are not unique, or a route is
     * ambiguous, has no database, has no timeout, or refers to an unknown service, or when two workspaces share a name or a key.
     */
    public void validate() {
        Set<String> serviceNames = services.stream().map(RoutedService::name).collect(Collectors.toSet());
        require(serviceNames.size() == services.size(), "two services have the same name");
        require(version > 0, "the version is not positive");
        Set<String> databases = new HashSet<>();
        for (Route route : routes) {
            require(!route.database().isEmpty(), "a route has no database");
            require(databases.add(route.database()), "more than one route for database " + route.database());
            require(serviceNames.contains(route.service()), "a route refers to the unknown service " + route.service());
            require(route.statementTimeoutMs() > 0, "the statement timeout is not positive in route " + route.name());
        }
        validateWorkspaces();
    }

    /** The messages name no key, since keys are secret. */
    private void validateWorkspaces() {
        Set<String> names = new HashSet<>();
        Set<String> keys = new HashSet<>();
        for (Workspace workspace : workspaces.orElseGet(List::of)) {
            require(names.add(workspace.name()), "two workspaces have the name " + workspace.name());
            for (String key : new HashSet<>(workspace.keys())) {
                require(keys.add(key), "workspace " + workspace.name() + " shares a key with another workspace");
            }
        }
    }

    /** Returns the service with the given name. */
    public Optional<RoutedService> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    private static void require(boolean satisfied, String message) {
        if (!satisfied) {
            throw new FailureException(FailureType.INVALID_CONFIGURATION, message);
        }
    }
}
