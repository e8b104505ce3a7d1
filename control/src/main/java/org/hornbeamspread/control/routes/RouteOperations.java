package org.hornbeamspread.control.routes;

import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.InstanceRegistry.Departure;
import org.hornbeamspread.protocol.schema.RouteConfigurationDocument;

/** The operations of control for operators and databases, available at every member. Safe for any thread. */
public interface RouteOperations {
    /**
     * Replaces the configuration in force if the version of the new one is higher. Completes with the version in force
     * once that version is durable. Fails with INVALID_CONFIGURATION, with NOT_LEADER if there is no known leader, or
     * with a failure after which the outcome is unknown.
     */
    CompletableFuture<Long> replaceRoutes(RouteConfigurationDocument configuration);

    /**
     * Returns the configuration in force, confirmed by a majority. Fails when it can't be confirmed, such as with
     * NOT_LEADER if there is no known leader.
     */
    CompletableFuture<RouteConfigurationDocument> readRoutes();

    /** Applies an announcement of a database. Completes once its changes are durable. */
    CompletableFuture<Void> announce(DatabaseInstance instance);

    /** Removes a departed database. Completes once the departure is durable. */
    CompletableFuture<Void> depart(Departure departure);
}
