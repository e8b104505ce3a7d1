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
 * When the leader heard each database last, and which of them it tells proxies of.
 *
 * <p>Silence is not a departure. A database that is cut off from control may still receive from its primary and acknowledge
 * commits, so it stays in the registry, and counts in promotions. It is only left out of what proxies are told, until it
 * announces itself again. Confined to the routes duty.
 */
final class DatabaseLivenessTracker {
    /** A database that has not announced itself for longer is silent. */
    private static final long SILENCE_TIMEOUT_MS = SyncFailoverTimings.DEFAULT.silenceMs();

    private final Clock clock;
    private final EventLog events;
    private final Map<String, Long> lastAnnouncedAtMs = new HashMap<>();
    private final Set<String> silentIds = new HashSet<>();

    DatabaseLivenessTracker(Clock clock, EventLog events) {
        this.clock = clock;
        this.events = events;
    }

    /** Forgets everything; what is known counts as heard now. */
    void reset(Collection<DatabaseInstance> known) {
        lastAnnouncedAtMs.clear();
        silentIds.clear();
        retainConnections(known);
    }

    /** Forgets all but what is known; what is new counts as heard now. */
    void retainConnections(Collection<DatabaseInstance> known) {
        Set<String> knownIds = known.stream().map(DatabaseInstance::instanceId).collect(Collectors.toUnmodifiableSet());
        knownIds.forEach(id -> lastAnnouncedAtMs.putIfAbsent(id, clock.millis()));
        lastAnnouncedAtMs.keySet().retainAll(knownIds);
        silentIds.retainAll(knownIds);
    }

    /** A database announced itself. True when it was silent. */
    boolean onAnnounced(String instanceId) {
        long nowMs = clock.millis();
        Long beforeMs = lastAnnouncedAtMs.put(instanceId, nowMs);
        boolean wasSilent = silentIds.remove(instanceId);
        if (wasSilent && beforeMs != null) {
            events.record("instance_heard_again", "instance", instanceId, "silent_ms", nowMs - beforeMs);
        }
        return wasSilent;
    }

    /** Notes which of the known databases have become silent. */
    void markSilent(Collection<DatabaseInstance> known) {
        long nowMs = clock.millis();
        for (DatabaseInstance instance : known) {
            String id = instance.instanceId();
            if (nowMs - lastAnnouncedAtMs.getOrDefault(id, nowMs) > SILENCE_TIMEOUT_MS && silentIds.add(id)) {
                events.record("instance_silent", "instance", id, "limit_ms", SILENCE_TIMEOUT_MS);
            }
        }
    }

    /**
     * What proxies are told: all but silent replicas. Those are told too while a promotion of their service goes on, as one of
     * them may be chosen.
     *
     * @param isSettled whether no promotion of a service goes on
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

    /** When each known database was heard last, by its id. */
    Map<String, Long> lastAnnouncedAtMs() {
        return lastAnnouncedAtMs;
    }
}
