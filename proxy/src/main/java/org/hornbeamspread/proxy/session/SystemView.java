package org.hornbeamspread.proxy.session;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.Route;
import org.hornbeamspread.core.route.RouteConfiguration;

/**
 * What a proxy believes of the system. Immutable.
 *
 * @param configuration in force
 * @param instances that announced themselves
 * @param promotedIds the instance that control promoted last, by service
 * @param proxies how many proxies share the connections
 */
public record SystemView(
        RouteConfiguration configuration,
        List<DatabaseInstance> instances,
        Map<String, String> promotedIds,
        int proxyCount,
        Map<String, Route> routesByDatabase) {
    /** Of a proxy that has heard nothing yet. */
    public static final SystemView NONE = of(RouteConfiguration.NONE, List.of(), Map.of(), 1);

    /** Builds the index of routes. */
    public static SystemView of(
            RouteConfiguration configuration,
            List<DatabaseInstance> instances,
            Map<String, String> promotedIds,
            int proxies) {
        Map<String, Route> routes = new HashMap<>();
        configuration.routes().forEach(route -> routes.put(route.database(), route));
        return new SystemView(configuration, List.copyOf(instances), Map.copyOf(promotedIds), proxies, routes);
    }

    /** Whether a configuration is known. */
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

    /** The instance most likely to lead a service: one that says so, the one that control promoted before others. */
    public Optional<DatabaseInstance> primary(String service) {
        String promotedId = promotedIds.getOrDefault(service, "");
        return instances(service).stream()
                .filter(instance -> instance.primary() || instance.instanceId().equals(promotedId))
                .min(Comparator.comparing((DatabaseInstance instance) ->
                                !instance.instanceId().equals(promotedId))
                        .thenComparing(DatabaseInstance::draining));
    }

    /** Whether control has promoted an instance that is present, so that no other may lead. */
    public boolean hasPromotedInstance(String service) {
        String promotedId = promotedIds.getOrDefault(service, "");
        return instances(service).stream()
                .anyMatch(instance -> instance.instanceId().equals(promotedId));
    }
}
