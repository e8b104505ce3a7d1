package org.hornbeamspread.emulator;

import org.kohsuke.args4j.Option;

/** The command-line flags of the emulator. */
final class EmulatorOptions {
    @Option(name = "--mode", usage = "what to emulate: database or link")
    String mode = "database";

    @Option(name = "--database-id", usage = "name of the database")
    String databaseId = "";

    @Option(name = "--group", usage = "name of the database group")
    String group = "";

    @Option(name = "--endpoint", usage = "host:port to listen on")
    String endpoint = "";

    @Option(name = "--failure-domain", usage = "failure domain of the database")
    String failureDomain = "";

    @Option(name = "--region", usage = "region of the database")
    String region = "";

    @Option(name = "--announce-to", usage = "peer endpoints of the control members, host:port,host:port")
    String announceTo = "";

    @Option(name = "--slots", usage = "maximum number of concurrently running statements")
    int slots = 5;

    @Option(name = "--connection-limit", usage = "maximum number of open connections")
    int connectionLimit = 35;

    @Option(name = "--connect-time-ms", usage = "time to establish a connection")
    long connectTimeMs = 12;

    @Option(name = "--statement-ms", usage = "time for which a statement holds its slot")
    long statementMs = 5;

    @Option(name = "--replication-lag-ms", usage = "delay after which a replica appends received entries")
    long replicationLagMs = 0;

    @Option(name = "--cluster-id", usage = "cluster to which the database belongs, as configured in control")
    String clusterId = "hornbeamspread";

    @Option(name = "--data-dir", usage = "directory of the log and metadata; if not set, all data is lost at a restart")
    String dataDir = "";

    @Option(name = "--expect-data", usage = "start untrusted if the data directory contains no database")
    boolean expectData;

    @Option(name = "--disk-lost", usage = "start untrusted, as after the loss of the disk")
    boolean diskLost;

    @Option(name = "--address-map", usage = "file with announced=reachable address pairs, one per line")
    String addressMap = "";

    @Option(name = "--fault", usage = "drop-acknowledged-row: silently drop one committed row")
    String fault = "";

    @Option(name = "--fault-after-writes", usage = "number of the committed write whose row the fault drops")
    long faultAfterWrites = 100;

    @Option(name = "--link-file", usage = "file with the routes, latencies and bandwidths, in mode link")
    String linkFile = "";

    @Option(name = "--http-endpoint", usage = "host:port of the HTTP interface that controls the links")
    String httpEndpoint = "";

    @Option(name = "--help", usage = "print this help")
    boolean help;

    @Option(name = "--version", usage = "print the version")
    boolean version;
}
