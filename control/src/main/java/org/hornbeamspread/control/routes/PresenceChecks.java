package org.hornbeamspread.control.routes;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.LostCopy;
import org.hornbeamspread.core.route.Presence;

/**
 * Checks which instances respond at their address, with at most one connection attempt to each at a time. Every result comes from an
 * attempt that began after the check was requested, since an earlier one says nothing of a process that has started meanwhile.
 * Confined to the routes thread.
 */
final class PresenceChecks {
    private final DatabaseAdministration databases;
    private final Executor routesThread;

    /** The checks in progress, each with the one that follows it, or null. */
    private final Map<LostCopy, CompletableFuture<Presence>> nextByIncarnation = new HashMap<>();

    PresenceChecks(DatabaseAdministration databases, Executor routesThread) {
        this.databases = databases;
        this.routesThread = routesThread;
    }

    /** Checks an instance. The result is delivered on the routes thread. */
    CompletableFuture<Presence> check(DatabaseInstance instance) {
        LostCopy incarnation = LostCopy.of(instance, false);
        CompletableFuture<Presence> result = new CompletableFuture<>();
        if (!nextByIncarnation.containsKey(incarnation)) {
            start(instance, incarnation, result);
            return result;
        }
        CompletableFuture<Presence> next = nextByIncarnation.get(incarnation);
        if (next != null) {
            return next;
        }
        nextByIncarnation.put(incarnation, result);
        return result;
    }

    private void start(DatabaseInstance instance, LostCopy incarnation, CompletableFuture<Presence> result) {
        nextByIncarnation.put(incarnation, null);
        databases
                .presence(instance)
                .exceptionally(error -> Presence.UNKNOWN)
                .thenAcceptAsync(
                        presence -> {
                            CompletableFuture<Presence> next = nextByIncarnation.remove(incarnation);
                            if (next != null) {
                                start(instance, incarnation, next);
                            }
                            result.complete(presence);
                        },
                        routesThread);
    }
}
