package org.hornbeamspread.core.failover;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.route.DatabaseInstance;

/** Selects the member of a group whose lead is observed. */
public final class ObservedPrimary {
    private ObservedPrimary() {}

    /**
     * Returns the member that was promoted last; otherwise, of those that announce themselves as primary, the one that gave the latest proof,
     * or else the one with the latest announcement. An announcement alone may come from another writer.
     *
     * @param promotedId the instance promoted last; empty if there is none, or while a promotion is in progress
     * @param provenId the instance that gave the latest proof; empty if there is none
     * @param announcedAtMs the time of each member's latest announcement, by id
     */
    public static Optional<DatabaseInstance> select(
            Collection<DatabaseInstance> members, String promotedId, String provenId, Map<String, Long> announcedAtMs) {
        return members.stream()
                .filter(member -> member.primary() || member.instanceId().equals(promotedId))
                .min(Comparator.comparing((DatabaseInstance member) ->
                                !member.instanceId().equals(promotedId))
                        .thenComparing(member -> !member.instanceId().equals(provenId))
                        .thenComparing(member -> -announcedAtMs.getOrDefault(member.instanceId(), 0L)));
    }
}
