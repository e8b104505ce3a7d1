package org.hornbeamspread.control.failover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamspread.core.failover.GroupFailover;
import org.hornbeamspread.core.failover.GroupRecord;
import org.hornbeamspread.core.failover.Registration;
import org.hornbeamspread.core.membership.AnnouncedDatabase;
import org.hornbeamspread.core.membership.DatabaseRegistry;
import org.hornbeamspread.protocol.schema.GroupDefinition;

/** One declared group as the leader works on it. Confined to the coordinator's thread. */
final class GroupState {
    private final GroupFailover failover;
    private GroupDefinition definition;
    private GroupRecord record;

    /** The members as the log holds them, in the order of their names. */
    private Map<String, Registration> registrations = Map.of();

    /** Whether the published view may be out of date. */
    private boolean changed = true;

    GroupState(GroupDefinition definition, GroupFailover failover) {
        this.definition = definition;
        this.failover = failover;
        this.record = GroupRecord.initial(definition.getName());
    }

    String name() {
        return definition.getName();
    }

    /** The size that quorums are taken of; never below the number of members, whatever is declared later. */
    int declaredDatabases() {
        return Math.max(definition.getDatabases(), registrations.size());
    }

    GroupFailover failover() {
        return failover;
    }

    GroupRecord record() {
        return record;
    }

    Map<String, Registration> registrations() {
        return registrations;
    }

    Optional<Registration> registration(String databaseId) {
        return Optional.ofNullable(registrations.get(databaseId));
    }

    /** Takes over what the log holds. */
    void update(GroupDefinition newDefinition, GroupRecord newRecord, List<Registration> newRegistrations) {
        Map<String, Registration> byName = new LinkedHashMap<>();
        newRegistrations.forEach(registration -> byName.put(registration.databaseId(), registration));
        changed |= !newDefinition.equals(definition) || !newRecord.equals(record) || !byName.equals(registrations);
        definition = newDefinition;
        record = newRecord;
        registrations = byName;
    }

    /** The announced members; before the group has members, the first announced databases. */
    List<AnnouncedDatabase> databases(DatabaseRegistry registry) {
        List<AnnouncedDatabase> announced = registry.ofGroup(name());
        if (registrations.isEmpty()) {
            return announced.subList(0, Math.min(announced.size(), declaredDatabases()));
        }
        List<AnnouncedDatabase> members = new ArrayList<>(announced);
        members.removeIf(database -> !registrations.containsKey(database.databaseId()));
        return members;
    }

    /** The names of the members that depart, by their own word or an operator's. */
    Set<String> departing(List<AnnouncedDatabase> databases, Set<String> departingByOrder) {
        Set<String> departing = new HashSet<>();
        for (AnnouncedDatabase database : databases) {
            if (database.departing() || departingByOrder.contains(database.databaseId())) {
                departing.add(database.databaseId());
            }
        }
        return departing;
    }

    /** Whether a promotion is under way or due. */
    boolean isPromotionPending() {
        return !record.writable();
    }

    void markChanged() {
        changed = true;
    }

    /** Whether the view may be out of date; false from then on. */
    boolean getAndClearChanged() {
        boolean was = changed;
        changed = false;
        return was;
    }
}
