package org.hornbeamspread.emulator;

import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;

/**
 * The settings of one stand-in database.
 *
 * @param databaseId its name
 * @param group the database group it belongs to
 * @param endpoint where it listens
 * @param failureDomain the failure domain it runs in
 * @param region the region it runs in
 * @param announceTo the endpoints it announces itself to
 * @param slots how many statements run at once
 * @param connectionLimit how many connections may be open
 * @param connectTimeMs how long a new connection takes
 * @param statementMs how long a statement holds its slot
 * @param replicationLagMs how long a replica holds entries before it applies them
 * @param clusterId the system that it announces itself to
 */
record DatabaseSettings(
        String databaseId,
        String group,
        Endpoint endpoint,
        String failureDomain,
        String region,
        List<Endpoint> announceTo,
        int slots,
        int connectionLimit,
        long connectTimeMs,
        long statementMs,
        long replicationLagMs,
        String clusterId) {
    /** Checks every setting. Fails with INVALID_SETTING. */
    DatabaseSettings {
        announceTo = List.copyOf(announceTo);
        firstInvalidSetting(databaseId, group, slots, connectionLimit).ifPresent(detail -> {
            throw new FailureException(FailureType.INVALID_SETTING, detail);
        });
        if (connectTimeMs < 0 || statementMs < 0 || replicationLagMs < 0) {
            throw new FailureException(FailureType.INVALID_SETTING, "a time must not be negative");
        }
    }

    private static Optional<String> firstInvalidSetting(
            String databaseId, String group, int slots, int connectionLimit) {
        if (databaseId.isBlank()) {
            return Optional.of("--database-id must not be empty");
        }
        if (group.isBlank()) {
            return Optional.of("--group must not be empty");
        }
        if (slots < 1) {
            return Optional.of("--slots must be at least 1");
        }
        return connectionLimit < 1 ? Optional.of("--connection-limit must be at least 1") : Optional.empty();
    }
}
