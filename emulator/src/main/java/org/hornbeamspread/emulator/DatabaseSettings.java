package org.hornbeamspread.emulator;

import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;

/**
 * The settings of one emulated database.
 *
 * @param databaseId name of the database
 * @param group the database group to which the database belongs
 * @param endpoint the endpoint on which the database listens
 * @param failureDomain the failure domain of the database
 * @param region the region of the database
 * @param announceTo the control endpoints to which the database announces itself
 * @param slots maximum number of concurrently running statements
 * @param connectionLimit maximum number of open connections
 * @param connectTimeMs time to establish a connection
 * @param statementMs time for which a statement holds its slot
 * @param replicationLagMs delay after which a replica appends received entries
 * @param clusterId the cluster to which the database announces itself
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
    /** Validates every setting. Fails with INVALID_SETTING. */
    DatabaseSettings {
        announceTo = List.copyOf(announceTo);
        firstInvalidSetting(databaseId, group, slots, connectionLimit).ifPresent(detail -> {
            throw new FailureException(FailureType.INVALID_SETTING, detail);
        });
        if (connectTimeMs < 0 || statementMs < 0 || replicationLagMs < 0) {
            throw new FailureException(
                    FailureType.INVALID_SETTING,
                    "--connect-time-ms, --statement-ms and --replication-lag-ms must not be negative");
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
