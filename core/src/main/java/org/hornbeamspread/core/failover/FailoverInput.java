package org.hornbeamspread.core.failover;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.hornbeamspread.core.membership.DatabaseStatus;

/**
 * All that a group's failover decides from.
 *
 * @param record the group's record in the control log
 * @param declaredDatabases how many databases the configuration declares
 * @param statuses the latest status of each announced database of the group
 * @param registrations the members as the log holds them, by name
 * @param suspected the databases that are taken for lost, and for how many milliseconds each has been silent
 * @param departing the databases that should hold no office
 * @param regions the region of each announced database, by name
 * @param oldLeasesOver whether no proxy acts on a view older than the one that shows the record's term
 */
public record FailoverInput(
        GroupRecord record,
        int declaredDatabases,
        List<DatabaseStatus> statuses,
        Map<String, Registration> registrations,
        Map<String, Long> suspected,
        Set<String> departing,
        Map<String, String> regions,
        BooleanSupplier oldLeasesExpired) {
    /** The latest status of the record's primary, if it is a member and announced. */
    public Optional<DatabaseStatus> primary() {
        return record.primaryId().flatMap(this::member);
    }

    /** The latest status of a member. */
    public Optional<DatabaseStatus> member(String databaseId) {
        return members().stream()
                .filter(status -> status.databaseId().equals(databaseId))
                .findFirst();
    }

    /** The latest statuses of those databases that the log holds as members. */
    public List<DatabaseStatus> members() {
        return statuses.stream()
                .filter(status -> registrations.containsKey(status.databaseId()))
                .toList();
    }

    /** How many members that are not taken for lost share a database's region, itself included; 0 when it is not known. */
    public long liveMembersInRegion(String databaseId) {
        String region = regions.get(databaseId);
        return members().stream()
                .map(DatabaseStatus::databaseId)
                .filter(id -> !suspected.containsKey(id))
                .filter(id -> region != null && region.equals(regions.get(id)))
                .count();
    }

    /** What the log holds of a database. */
    public Optional<Registration> registration(String databaseId) {
        return Optional.ofNullable(registrations.get(databaseId));
    }
}
