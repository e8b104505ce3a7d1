package org.hornbeamspread.control.routes;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.hornbeamspread.protocol.schema.DrainingInstance;
import org.hornbeamspread.protocol.schema.RegisteredInstance;

/**
 * Since when instances are draining, as far as this leader knows it. It knows the time of what was committed under its own lead: it applies
 * the announcement before it acknowledges it. What it finds when it begins to lead may have been announced at any time before: a member that
 * started again, or that stood still, has applied the announcement later. Confined to the routes thread.
 */
final class DrainingInstances {
    private final Clock clock;

    /** The time at which each incarnation was observed to be draining; empty if it may have announced that earlier. */
    private final Map<Incarnation, OptionalLong> sinceMs = new HashMap<>();

    /** Whether the next update has what was committed before this member led. */
    private boolean leadBegins = true;

    private record Incarnation(String instanceId, long bornMs) {}

    DrainingInstances(Clock clock) {
        this.clock = clock;
    }

    void onLeadershipGained() {
        sinceMs.clear();
        leadBegins = true;
    }

    /** Drops all times, which are unknown once the clock has stood still. */
    void onClockJump() {
        sinceMs.replaceAll((incarnation, atMs) -> OptionalLong.empty());
    }

    /** Updates which of the registered instances are draining. */
    void update(List<RegisteredInstance> registered) {
        OptionalLong observedAtMs = leadBegins ? OptionalLong.empty() : OptionalLong.of(clock.millis());
        Map<Incarnation, OptionalLong> next = new HashMap<>();
        for (RegisteredInstance instance : registered) {
            if (instance.getDraining()) {
                Incarnation incarnation = new Incarnation(instance.getInstanceId(), instance.getBornMs());
                next.put(incarnation, sinceMs.getOrDefault(incarnation, observedAtMs));
            }
        }
        leadBegins = false;
        sinceMs.clear();
        sinceMs.putAll(next);
    }

    /** The draining instances with their ages as of now. */
    List<DrainingInstance> toWire() {
        long nowMs = clock.millis();
        return sinceMs.entrySet().stream()
                .map(draining -> DrainingInstance.newBuilder()
                        .setInstanceId(draining.getKey().instanceId())
                        .setAgeMs((int) Math.min(
                                Integer.MAX_VALUE, nowMs - draining.getValue().orElse(nowMs)))
                        .setAgeUnknown(draining.getValue().isEmpty())
                        .build())
                .toList();
    }
}
