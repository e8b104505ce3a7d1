package org.hornbeamspread.emulator;

import org.kohsuke.args4j.Option;

/** The flags of the emulator. */
final class EmulatorOptions {
    @Option(name = "--mode", usage = "database, or link")
    String mode = "database";

    @Option(name = "--database-id", usage = "name of the database")
    String databaseId = "";

    @Option(name = "--group", usage = "name of its database group")
    String group = "";

    @Option(name = "--endpoint", usage = "host:port to listen on")
    String endpoint = "";

    @Option(name = "--failure-domain", usage = "failure domain it runs in")
    String failureDomain = "";

    @Option(name = "--region", usage = "region it runs in")
    String region = "";

    @Option(name = "--announce-to", usage = "peer endpoints of control, host:port,host:port")
    String announceTo = "";

    @Option(name = "--slots", usage = "statements that run at once")
    int slots = 5;

    @Option(name = "--connection-limit", usage = "connections that may be open")
    int connectionLimit = 35;

    @Option(name = "--connect-time-ms", usage = "time that a new connection takes")
    long connectTimeMs = 12;

    @Option(name = "--statement-ms", usage = "time that a statement holds its slot")
    long statementMs = 5;

    @Option(name = "--replication-lag-ms", usage = "time that a replica holds entries before it applies them")
    long replicationLagMs = 0;

    @Option(name = "--cluster-id", usage = "the system that the database belongs to, as control has it")
    String clusterId = "hornbeamspread";

    @Option(name = "--data-dir", usage = "folder of the log; without it nothing survives a restart")
    String dataDir = "";

    @Option(name = "--expect-data", usage = "start untrusted when the data folder holds no database")
    boolean expectData;

    @Option(name = "--disk-lost", usage = "start untrusted")
    boolean diskLost;

    @Option(name = "--address-map", usage = "file with announced=reached addresses, one a line")
    String addressMap = "";

    @Option(name = "--fault", usage = "drop-acknowledged-row: silently lose one committed row")
    String fault = "";

    @Option(name = "--fault-after-writes", usage = "number of the write whose row the fault drops")
    long faultAfterWrites = 100;

    @Option(name = "--link-file", usage = "the routes, latencies and bandwidths of mode link")
    String linkFile = "";

    @Option(name = "--http-endpoint", usage = "host:port of the links' control")
    String httpEndpoint = "";

    @Option(name = "--help", usage = "print this")
    boolean help;

    @Option(name = "--version", usage = "print the version")
    boolean version;
}
