package org.hornbeamspread.core.failover;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.hornbeamspread.core.membership.DatabaseStatus;

/**
 * The state of one group from which {@link GroupFailover} computes its next effects.
 *
 * @param record the group's record in the control log
 * @param declaredDatabases the number of databases that the configuration declares
 * @param statuses the latest status of each announced database of the group
 * @param registrations the group's members in the control log, by database id
 * @param suspected the databases suspected to have failed, with their silence in milliseconds
 * @param departing the databases that are departing and should not be primary
 * @param regions the region of each announced database, by database id
 * @param oldLeasesExpired whether no proxy can act on a view older than the one that shows the record's term
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
    /** The latest status of the record's primary, if the primary is a member and announced. */
    public Optional<DatabaseStatus> primary() {
        return record.primaryId().flatMap(this::member);
    }

    /** The latest status of a member. */
    public Optional<DatabaseStatus> member(String databaseId) {
        return members().stream()
                .filter(status -> status.databaseId().equals(databaseId))
                .findFirst();
    }

    /** The latest statuses of the databases that are registered as members. */
    public List<DatabaseStatus> members() {
        return statuses.stream()
                .filter(status -> registrations.containsKey(status.databaseId()))
                .toList();
    }

    /** The number of members in a database's region that are not suspected; 0 when the region is unknown. */
    public long liveMembersInRegion(String databaseId) {
        String region = regions.get(databaseId);
        return members().stream()
                .map(DatabaseStatus::databaseId)
                .filter(id -> !suspected.containsKey(id))
                .filter(id -> region != null && region.equals(regions.get(id)))
                .count();
    }

    /** The registration of a database in the control log. */
    public Optional<Registration> registration(String databaseId) {
        return Optional.ofNullable(registrations.get(databaseId));
    }
}
