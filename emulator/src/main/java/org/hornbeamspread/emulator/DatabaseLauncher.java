package org.hornbeamspread.emulator;

import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.LogEntry;
import org.hornbeamspread.runtime.EndpointSettings;
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.PeerTransport;

/** Starts an emulated database from the command-line flags. */
final class DatabaseLauncher {
    private static final int NETWORK_THREADS = 2;
    private static final String DROP_ACKNOWLEDGED_ROW = "drop-acknowledged-row";

    private DatabaseLauncher() {}

    /**
     * Validates the flags, opens the disk and starts listening. Fails with INVALID_SETTING, CONNECTION_REFUSED or
     * DISK_FAILED.
     */
    static DatabaseServer start(EmulatorOptions options, Clock clock) {
        DatabaseSettings settings = settings(options);
        AddressTranslator translator = EndpointSettings.readAddressMap(options.addressMap);
        DatabaseState state = state(options, clock);
        return new DatabaseServer(settings, state, new PeerTransport(NETWORK_THREADS, translator));
    }

    private static DatabaseSettings settings(EmulatorOptions options) {
        return new DatabaseSettings(
                options.databaseId,
                options.group,
                AddressTranslator.parse(options.endpoint),
                options.failureDomain,
                options.region,
                EndpointSettings.parseList(options.announceTo),
                options.slots,
                options.connectionLimit,
                options.connectTimeMs,
                options.statementMs,
                options.replicationLagMs,
                options.clusterId);
    }

    private static DatabaseState state(EmulatorOptions options, Clock clock) {
        if (options.dataDir.isEmpty()) {
            DatabaseMetadata initialMetadata = DatabaseMetadata.initial(clock.millis(), !options.diskLost);
            return new DatabaseState(DatabaseDisk.none(), initialMetadata, List.of(), fault(options));
        }
        FileDatabaseDisk disk = new FileDatabaseDisk(Path.of(options.dataDir));
        boolean diskLost =
                options.diskLost || (options.expectData && disk.readMetadata().isEmpty());
        DatabaseMetadata metadata = disk.readMetadata()
                .map(saved -> saved.withIncarnation(saved.incarnation() + 1))
                .orElseGet(() -> DatabaseMetadata.initial(clock.millis(), !diskLost));
        List<LogEntry> recovered = disk.recoveredEntries();
        return new DatabaseState(disk, diskLost ? metadata.diskLost() : metadata, recovered, fault(options));
    }

    private static RowFault fault(EmulatorOptions options) {
        if (options.fault.isEmpty()) {
            return RowFault.none();
        }
        if (!DROP_ACKNOWLEDGED_ROW.equals(options.fault)) {
            throw new FailureException(FailureType.INVALID_SETTING, "--fault must be " + DROP_ACKNOWLEDGED_ROW);
        }
        return RowFault.dropAcknowledgedRow(options.faultAfterWrites);
    }
}
