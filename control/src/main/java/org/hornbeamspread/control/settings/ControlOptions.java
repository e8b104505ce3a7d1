package org.hornbeamspread.control.settings;

import org.kohsuke.args4j.Option;

/** The flags of the control daemon before validation. {@link ControlSettings} validates them. */
public final class ControlOptions {
    private static final int DEFAULT_LEASE_MS = 1000;

    /** The id of this member. */
    @Option(name = "--member-id", usage = "the id of this member, one of --members")
    public String memberId = "";

    /** The endpoint of this member for other processes. */
    @Option(name = "--peer-endpoint", usage = "host:port of this member for other processes")
    public String peerEndpoint = "";

    /** The HTTP endpoint of this member for operators. */
    @Option(name = "--http-endpoint", usage = "host:port of this member for operators")
    public String httpEndpoint = "";

    /** The failure domain of this member. */
    @Option(name = "--failure-domain", usage = "this member's failure domain")
    public String failureDomain = "";

    /** The region of this member. */
    @Option(name = "--region", usage = "this member's region")
    public String region = "";

    /** The directory of the log. */
    @Option(name = "--data-dir", usage = "the directory of the log; created when absent")
    public String dataDir = "";

    /** All members. */
    @Option(name = "--members", usage = "all members: id=peer host:port/http host:port,...")
    public String members = "";

    /** The duration of a view lease in milliseconds. */
    @Option(name = "--lease-ms", usage = "how long a proxy may act on a view, in milliseconds; 100 to 10000")
    public int leaseMs = DEFAULT_LEASE_MS;

    /** The id of the system that the log belongs to; a data directory of another system is refused. */
    @Option(name = "--cluster-id", usage = "the id of the system that the log belongs to")
    public String clusterId = "hornbeamspread";

    /** The file that maps announced addresses to reachable ones. */
    @Option(name = "--address-map", usage = "file of announced=reachable lines, host:port each")
    public String addressMap = "";

    /** Read by {@code CommandLine.printHelpOrVersion}. */
    @Option(name = "--help", usage = "print the flags")
    public boolean help;

    /** Read by {@code CommandLine.printHelpOrVersion}. */
    @Option(name = "--version", usage = "print the version")
    public boolean version;
}
