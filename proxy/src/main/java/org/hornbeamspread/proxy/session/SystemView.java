package org.hornbeamspread.proxy.session;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.Route;
import org.hornbeamspread.core.route.RouteConfiguration;
import org.hornbeamspread.core.route.Workspace;

/**
 * A proxy's view of the system: configuration, instances and primaries. Immutable.
 *
 * @param configuration the configuration in force
 * @param instances the instances that announced themselves
 * @param promotedIds the instance that control promoted last, by service
 * @param proxyCount number of proxies that share the connections
 * @param drainingSinceMs when draining instances announced that, as far as control has sent it; {@link #UNKNOWN_TIME} if control does
 *     not know it
 */
public record SystemView(
        RouteConfiguration configuration,
        List<DatabaseInstance> instances,
        Map<String, String> promotedIds,
        int proxyCount,
        Map<String, Long> drainingSinceMs,
        Map<String, Route> routesByDatabase,
        Map<String, Workspace> workspacesByKey) {
    /** A time that may be any in the past. */
    public static final long UNKNOWN_TIME = Long.MIN_VALUE / 2;

    /** The view of a proxy that has not received any update from control yet. */
    public static final SystemView NONE = of(RouteConfiguration.NONE, List.of(), Map.of(), 1);

    /** Creates a view and its index of routes by database name. */
    public static SystemView of(
            RouteConfiguration configuration,
            List<DatabaseInstance> instances,
            Map<String, String> promotedIds,
            int proxyCount) {
        return of(configuration, instances, promotedIds, proxyCount, Map.of());
    }

    /** Creates a view with the times since which instances are draining. */
    public static SystemView of(
            RouteConfiguration configuration,
            List<DatabaseInstance> instances,
            Map<String, String> promotedIds,
            int proxyCount,
            Map<String, Long> drainingSinceMs) {
        Map<String, Route> routes = new HashMap<>();
        configuration.routes().forEach(route -> routes.put(route.database(), route));
        return new SystemView(
                configuration,
                List.copyOf(instances),
                Map.copyOf(promotedIds),
                proxyCount,
                Map.copyOf(drainingSinceMs),
                routes,
                workspacesByKey(configuration));
    }

    private static Map<String, Workspace> workspacesByKey(RouteConfiguration configuration) {
        Map<String, Workspace> byKey = new HashMap<>();
        configuration
                .workspaces()
                .ifPresent(workspaces ->
                        workspaces.forEach(workspace -> workspace.keys().forEach(key -> byKey.put(key, workspace))));
        return byKey;
    }

    /** Omits the keys. */
    @Override
    public String toString() {
        return "SystemView[" + configuration + ", " + instances + ", promoted " + promotedIds + ", " + proxyCount
                + " proxies, draining since " + drainingSinceMs + "]";
    }

    /** Whether callers need a key on routes without public access. */
    public boolean requiresKeys() {
        return configuration.workspaces().isPresent();
    }

    /** The workspace that holds a key. */
    public Optional<Workspace> workspaceOfKey(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }

    /** Whether a configuration was received. */
    public boolean isLoaded() {
        return configuration.version() > 0;
    }

    /** The route of a database name. */
    public Optional<Route> route(String database) {
        return Optional.ofNullable(routesByDatabase.get(database));
    }

    /** The instances of a service. */
    public List<DatabaseInstance> instances(String service) {
        return instances.stream()
                .filter(instance -> instance.service().equals(service))
                .toList();
    }

    /**
     * The instance most likely to be the primary of a service: preferably the one that control promoted last, otherwise one that
     * announced itself as primary, preferably one that is not draining.
     */
    public Optional<DatabaseInstance> primary(String service) {
        String promotedId = promotedIds.getOrDefault(service, "");
        return instances(service).stream()
                .filter(instance -> instance.primary() || instance.instanceId().equals(promotedId))
                .min(Comparator.comparing((DatabaseInstance instance) ->
                                !instance.instanceId().equals(promotedId))
                        .thenComparing(DatabaseInstance::draining));
    }

    /** Whether control has promoted an instance that is in the view, so that no other instance may be the primary. */
    public boolean hasPromotedInstance(String service) {
        String promotedId = promotedIds.getOrDefault(service, "");
        return instances(service).stream()
                .anyMatch(instance -> instance.instanceId().equals(promotedId));
    }
}
