package org.hornbeamspread.core.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides on announcements that contradict the registry, and on those that would add an instance to a service with many.
 *
 * <p>An announcement does not show who wrote it. What it contradicts is therefore checked: whether the registered instance responds at its
 * address. Two instances never listen at one address, and an id never runs at two, so that a registered instance that responds
 * refutes the announcement, and has ended if another one responds there. Without a response, an announced id that is new is registered
 * beside the other: to count a copy that is gone costs a wait, not to count one that receives loses commits. An id at another place
 * replaces the registered one only if that was observed to have ended, or if the id responds at the announced place.
 */
public final class AnnouncementReview {
    /**
     * An instance is added to a service with this many only if it responds at its address. Above the databases of any service, so that the
     * number of entries that name none is limited while a database that control reaches is never refused.
     */
    static final int MAX_UNCHECKED_INSTANCES = 32;

    /** The same for all services together, before the first configuration names them. */
    static final int MAX_UNNAMED_INSTANCES = 32_768;

    private AnnouncementReview() {}

    /** The instances whose presence is to be checked before an announcement is applied; empty if it can be applied at once. */
    public static List<DatabaseInstance> instancesToCheck(InstanceRegistry registry, DatabaseInstance announced) {
        List<DatabaseInstance> checked = new ArrayList<>(registry.contradictedBy(announced));
        Optional<DatabaseInstance> registered = registry.find(announced.instanceId());
        boolean ownPresenceCounts =
                registered.isPresent() ? checked.contains(registered.get()) : isCrowded(registry, announced);
        if (ownPresenceCounts) {
            checked.add(announced);
        }
        return checked;
    }

    /**
     * Decides on an announcement.
     *
     * @param observations the instances that were checked, and what was observed of each
     */
    public static Decision decide(DatabaseInstance announced, Map<DatabaseInstance, Presence> observations) {
        boolean confirmed = observations.get(announced) == Presence.RUNNING;
        Outcome outcome = observations.containsKey(announced) && !confirmed ? Outcome.UNCONFIRMED : Outcome.ACCEPTED;
        List<DatabaseInstance> ended = new ArrayList<>();
        for (Map.Entry<DatabaseInstance, Presence> observation : observations.entrySet()) {
            DatabaseInstance registered = observation.getKey();
            if (registered.equals(announced)) {
                continue;
            }
            boolean sameId = registered.instanceId().equals(announced.instanceId());
            if (observation.getValue() == Presence.RUNNING) {
                return new Decision(Outcome.REFUTED, List.of());
            }
            if (observation.getValue() == Presence.REPLACED || confirmed) {
                ended.add(registered);
                outcome = sameId ? Outcome.ACCEPTED : outcome;
            }
        }
        return new Decision(outcome, ended);
    }

    private static boolean isCrowded(InstanceRegistry registry, DatabaseInstance announced) {
        long ofService = registry.all().stream()
                .filter(instance -> instance.service().equals(announced.service()))
                .count();
        return ofService >= MAX_UNCHECKED_INSTANCES
                || (registry.namedServices().isEmpty() && registry.all().size() >= MAX_UNNAMED_INSTANCES);
    }

    /** What becomes of an announcement. */
    public enum Outcome {
        ACCEPTED,
        /** A registered instance that it contradicts responds. */
        REFUTED,
        /** Nothing supports it. It is not applied, and may be repeated. */
        UNCONFIRMED
    }

    /**
     * A decision on an announcement.
     *
     * @param ended the registered instances that have ended, whatever the outcome
     */
    public record Decision(Outcome outcome, List<DatabaseInstance> ended) {
        /** Copies the list. */
        public Decision {
            ended = List.copyOf(ended);
        }
    }
}
