package org.hornbeamspread.control.routes;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamspread.protocol.schema.DrainingInstance;
import org.hornbeamspread.protocol.schema.RegisteredInstance;

/**
 * The time at which this control member first applied that an instance is draining. Proxies count the time for new work from then on,
 * also those that start later. Confined to the routes thread.
 */
final class DrainingInstances {
    private final Clock clock;
    private final Map<Incarnation, Long> sinceMs = new HashMap<>();

    private record Incarnation(String instanceId, long bornMs) {}

    DrainingInstances(Clock clock) {
        this.clock = clock;
    }

    /** Updates which of the registered instances are draining. Called on every member, so that a new leader has the times. */
    void update(List<RegisteredInstance> registered) {
        Map<Incarnation, Long> next = new HashMap<>();
        for (RegisteredInstance instance : registered) {
            if (instance.getDraining()) {
                Incarnation incarnation = new Incarnation(instance.getInstanceId(), instance.getBornMs());
                next.put(incarnation, sinceMs.getOrDefault(incarnation, clock.millis()));
            }
        }
        sinceMs.clear();
        sinceMs.putAll(next);
    }

    /** The draining instances with their ages as of now. */
    List<DrainingInstance> toWire() {
        long nowMs = clock.millis();
        return sinceMs.entrySet().stream()
                .map(draining -> DrainingInstance.newBuilder()
                        .setInstanceId(draining.getKey().instanceId())
                        .setAgeMs((int) Math.min(Integer.MAX_VALUE, nowMs - draining.getValue()))
                        .build())
                .toList();
    }
}
