package org.hornbeamspread.control.routes;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.PromotedInstance;
import org.hornbeamspread.protocol.schema.RegisteredInstance;
import org.hornbeamspread.protocol.schema.SealedService;
import org.hornbeamspread.protocol.schema.SystemUpdate;

/**
 * The state that proxies receive from the leader, with the version at which each instance last changed.
 *
 * <p>Guards against the traffic of whole lists at a large number of proxies and databases: when many of either start or
 * restart at once, each change of one instance would otherwise send all instances to all proxies. A proxy that has a
 * version of the same leader receives the instances that changed or were removed since. Versions of another leader are
 * not comparable. Confined to the routes thread.
 */
final class PublishedView {
    /** Removals that are retained for deltas. A proxy that misses an older one receives the whole list. */
    private static final int MAX_RETAINED_REMOVALS = 1_024;

    private final Map<String, VersionedInstance> instances = new TreeMap<>();

    /** The version at which each instance was removed, oldest first. */
    private final Map<String, Long> removedAtVersion = new LinkedHashMap<>();

    private List<Endpoint> controlPeers = List.of();
    private List<PromotedInstance> promoted = List.of();
    private List<SealedService> seals = List.of();

    /** Incremented with each change; 0 before the first. */
    private long version;

    /** Deltas contain every removal after this version. */
    private long oldestDeltaVersion;

    private record VersionedInstance(RegisteredInstance instance, long changedAtVersion) {}

    /** Drops everything, for a new leader's term. */
    void reset() {
        instances.clear();
        removedAtVersion.clear();
        controlPeers = List.of();
        promoted = List.of();
        seals = List.of();
        version = 0;
        oldestDeltaVersion = 0;
    }

    long version() {
        return version;
    }

    /** Replaces the state; the version increases if anything has changed. */
    void publish(
            List<RegisteredInstance> newInstances,
            List<Endpoint> newPeers,
            List<PromotedInstance> newPromoted,
            List<SealedService> newSeals) {
        long nextVersion = version + 1;
        boolean instancesChanged = applyInstances(newInstances, nextVersion);
        if (instancesChanged
                || version == 0
                || !newPeers.equals(controlPeers)
                || !newPromoted.equals(promoted)
                || !newSeals.equals(seals)) {
            version = nextVersion;
        }
        controlPeers = List.copyOf(newPeers);
        promoted = List.copyOf(newPromoted);
        seals = List.copyOf(newSeals);
    }

    /** The whole state. */
    SystemUpdate.Builder all() {
        SystemUpdate.Builder update = changedUpdate();
        instances.values().forEach(entry -> update.addInstances(entry.instance()));
        return update;
    }

    /** What has changed since a version of this leader's term: nothing, a delta, or the whole state. */
    SystemUpdate.Builder since(long knownVersion) {
        if (knownVersion == version) {
            return SystemUpdate.newBuilder().setSystemVersion(version);
        }
        if (knownVersion < Math.max(1, oldestDeltaVersion) || knownVersion > version) {
            return all();
        }
        SystemUpdate.Builder update = changedUpdate().setDelta(true);
        instances.values().stream()
                .filter(entry -> entry.changedAtVersion() > knownVersion)
                .forEach(entry -> update.addInstances(entry.instance()));
        removedAtVersion.forEach((id, removedVersion) -> {
            if (removedVersion > knownVersion) {
                update.addRemovedInstanceIds(id);
            }
        });
        return update;
    }

    private SystemUpdate.Builder changedUpdate() {
        return SystemUpdate.newBuilder()
                .setSystemVersion(version)
                .setChanged(true)
                .addAllControlPeers(controlPeers)
                .addAllPromoted(promoted)
                .addAllSealed(seals);
    }

    private boolean applyInstances(List<RegisteredInstance> newInstances, long nextVersion) {
        boolean changed = false;
        Map<String, RegisteredInstance> next = new HashMap<>();
        newInstances.forEach(instance -> next.put(instance.getInstanceId(), instance));
        for (String id : List.copyOf(instances.keySet())) {
            if (!next.containsKey(id)) {
                instances.remove(id);
                addRemoval(id, nextVersion);
                changed = true;
            }
        }
        for (RegisteredInstance instance : newInstances) {
            String id = instance.getInstanceId();
            VersionedInstance present = instances.get(id);
            if (present == null || !present.instance().equals(instance)) {
                instances.put(id, new VersionedInstance(instance, nextVersion));
                removedAtVersion.remove(id);
                changed = true;
            }
        }
        return changed;
    }

    private void addRemoval(String id, long removedVersion) {
        removedAtVersion.remove(id);
        removedAtVersion.put(id, removedVersion);
        if (removedAtVersion.size() > MAX_RETAINED_REMOVALS) {
            String oldest = removedAtVersion.keySet().iterator().next();
            oldestDeltaVersion = removedAtVersion.remove(oldest);
        }
    }
}
