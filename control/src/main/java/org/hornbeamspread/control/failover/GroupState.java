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

/** The leader's state of one declared group. Confined to the coordinator's thread. */
final class GroupState {
    private final GroupFailover failover;
    private GroupDefinition definition;
    private GroupRecord record;

    /** The members in the control log by database id, ordered by id. */
    private Map<String, Registration> registrations = Map.of();

    /** Whether the published view of this group may be out of date. */
    private boolean changed = true;

    GroupState(GroupDefinition definition, GroupFailover failover) {
        this.definition = definition;
        this.failover = failover;
        this.record = GroupRecord.initial(definition.getName());
    }

    String name() {
        return definition.getName();
    }

    /** The size that quorums are computed from: at least the number of members, even if fewer are declared later. */
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

    /** Sets the group's state to that of the control log. */
    void update(GroupDefinition newDefinition, GroupRecord newRecord, List<Registration> newRegistrations) {
        Map<String, Registration> byId = new LinkedHashMap<>();
        newRegistrations.forEach(registration -> byId.put(registration.databaseId(), registration));
        changed |= !newDefinition.equals(definition) || !newRecord.equals(record) || !byId.equals(registrations);
        definition = newDefinition;
        record = newRecord;
        registrations = byId;
    }

    /** The announced members. While the group has no members, the first announced databases up to the declared size. */
    List<AnnouncedDatabase> databases(DatabaseRegistry registry) {
        List<AnnouncedDatabase> announced = registry.findByGroup(name());
        if (registrations.isEmpty()) {
            return announced.subList(0, Math.min(announced.size(), declaredDatabases()));
        }
        List<AnnouncedDatabase> members = new ArrayList<>(announced);
        members.removeIf(database -> !registrations.containsKey(database.databaseId()));
        return members;
    }

    /** The ids of the databases that are departing by their own announcement or by an operator's request. */
    Set<String> departing(List<AnnouncedDatabase> databases, Set<String> departingByOperator) {
        Set<String> departing = new HashSet<>();
        for (AnnouncedDatabase database : databases) {
            if (database.departing() || departingByOperator.contains(database.databaseId())) {
                departing.add(database.databaseId());
            }
        }
        return departing;
    }

    /** Whether a promotion is in progress or required. */
    boolean isPromotionPending() {
        return !record.writable();
    }

    void markChanged() {
        changed = true;
    }

    /** Returns whether the published view may be out of date, and clears the mark. */
    boolean getAndClearChanged() {
        boolean wasChanged = changed;
        changed = false;
        return wasChanged;
    }
}
