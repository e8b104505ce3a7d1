package org.hornbeamspread.control.routes;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.LostCopy;
import org.hornbeamspread.core.route.Presence;

/**
 * Checks which instances respond at their address, with at most one connection attempt to each at a time. Every result comes from an
 * attempt that began after the check was requested, since an earlier one says nothing of a process that has started meanwhile.
 * Safe for any thread.
 */
final class PresenceChecks {
    private final DatabaseAdministration databases;

    /** The checks in progress, each with the one that follows it, or null. */
    private final Map<LostCopy, CompletableFuture<Presence>> nextByIncarnation = new HashMap<>();

    PresenceChecks(DatabaseAdministration databases) {
        this.databases = databases;
    }

    /** Checks an instance. The result may be delivered on any thread. */
    CompletableFuture<Presence> check(DatabaseInstance instance) {
        LostCopy incarnation = LostCopy.of(instance, false);
        CompletableFuture<Presence> result = new CompletableFuture<>();
        synchronized (this) {
            if (nextByIncarnation.containsKey(incarnation)) {
                CompletableFuture<Presence> next = nextByIncarnation.get(incarnation);
                if (next == null) {
                    nextByIncarnation.put(incarnation, result);
                }
                return next == null ? result : next;
            }
            nextByIncarnation.put(incarnation, null);
        }
        start(instance, incarnation, result);
        return result;
    }

    private void start(DatabaseInstance instance, LostCopy incarnation, CompletableFuture<Presence> result) {
        databases.presence(instance).exceptionally(error -> Presence.UNKNOWN).thenAccept(presence -> {
            CompletableFuture<Presence> next = finish(incarnation);
            if (next != null) {
                start(instance, incarnation, next);
            }
            result.complete(presence);
        });
    }

    /** Ends the check in progress. Returns the one that follows it, which is in progress then, or null. */
    private synchronized CompletableFuture<Presence> finish(LostCopy incarnation) {
        CompletableFuture<Presence> next = nextByIncarnation.remove(incarnation);
        if (next != null) {
            nextByIncarnation.put(incarnation, null);
        }
        return next;
    }
}
