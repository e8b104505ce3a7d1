package org.hornbeamspread.core.route;

/**
 * A service: one primary and its replicas.
 *
 * @param name the name of the service
 * @param maxConnections the connection limit of one database, over all callers; 0 if the limit is unknown
 * @param syncReplicas the number of replicas that must hold a commit before it is acknowledged
 */
public record RoutedService(String name, int maxConnections, int syncReplicas) {}
