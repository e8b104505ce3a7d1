package org.hornbeamspread.control.routes;

import java.time.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.hornbeamspread.core.failover.SyncFailoverTimings;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.RegisteredInstance;

/**
 * Tracks the last announcement of each database to the leader, and selects the databases that are published to proxies.
 *
 * <p>Silence is not a departure. A database that is partitioned from control may still receive from its primary and
 * acknowledge commits, so it stays in the registry and counts in promotions. It is only excluded from the instances
 * that are published to proxies, until it announces itself again. Confined to the routes thread.
 */
final class DatabaseLivenessTracker {
    /** A database that has not announced itself for longer than this is silent. */
    private static final long SILENCE_TIMEOUT_MS = SyncFailoverTimings.DEFAULT.silenceMs();

    private final Clock clock;
    private final EventLog events;
    private final Map<String, Long> lastAnnouncedAtMs = new HashMap<>();
    private final Set<String> silentIds = new HashSet<>();

    DatabaseLivenessTracker(Clock clock, EventLog events) {
        this.clock = clock;
        this.events = events;
    }

    /** Drops all state. The last announcement of each registered database counts as received now. */
    void reset(Collection<DatabaseInstance> registered) {
        lastAnnouncedAtMs.clear();
        silentIds.clear();
        retain(registered);
    }

    /**
     * Drops the state of databases that are not registered. The last announcement of a newly registered database counts
     * as received now.
     */
    void retain(Collection<DatabaseInstance> registered) {
        Set<String> registeredIds =
                registered.stream().map(DatabaseInstance::instanceId).collect(Collectors.toUnmodifiableSet());
        registeredIds.forEach(id -> lastAnnouncedAtMs.putIfAbsent(id, clock.millis()));
        lastAnnouncedAtMs.keySet().retainAll(registeredIds);
        silentIds.retainAll(registeredIds);
    }

    /** Records an announcement. Returns whether the database was silent before. */
    boolean onAnnounced(String instanceId) {
        long nowMs = clock.millis();
        Long previousMs = lastAnnouncedAtMs.put(instanceId, nowMs);
        boolean wasSilent = silentIds.remove(instanceId);
        if (wasSilent && previousMs != null) {
            events.record("instance_heard_again", "instance", instanceId, "silent_ms", nowMs - previousMs);
        }
        return wasSilent;
    }

    /** Marks the registered databases that have become silent, and logs an event for each. */
    void markSilent(Collection<DatabaseInstance> registered) {
        long nowMs = clock.millis();
        for (DatabaseInstance instance : registered) {
            String id = instance.instanceId();
            if (nowMs - lastAnnouncedAtMs.getOrDefault(id, nowMs) > SILENCE_TIMEOUT_MS && silentIds.add(id)) {
                events.record("instance_silent", "instance", id, "limit_ms", SILENCE_TIMEOUT_MS);
            }
        }
    }

    /**
     * Returns the instances to publish to proxies: all but silent replicas. Silent replicas are published too while a
     * promotion of their service is in progress, since one of them may be chosen.
     *
     * @param isSettled whether no promotion of a service is in progress
     */
    List<RegisteredInstance> instancesToPublish(ControlState state, Predicate<String> isSettled) {
        Set<String> promotedIds = state.getGroupsList().stream()
                .filter(GroupTerm::getWritable)
                .map(GroupTerm::getPrimaryId)
                .collect(Collectors.toUnmodifiableSet());
        return state.getInstancesList().stream()
                .filter(instance -> !silentIds.contains(instance.getInstanceId())
                        || instance.getPrimary()
                        || promotedIds.contains(instance.getInstanceId())
                        || !isSettled.test(instance.getService()))
                .toList();
    }

    /** Returns the time of the last announcement of each registered database, by instance id. */
    Map<String, Long> lastAnnouncedAtMs() {
        return lastAnnouncedAtMs;
    }
}
