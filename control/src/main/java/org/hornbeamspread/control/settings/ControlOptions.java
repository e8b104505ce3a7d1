package org.hornbeamspread.control.settings;

import org.kohsuke.args4j.Option;

/** The flags of the control daemon, as given. {@link ControlSettings} checks them. */
public final class ControlOptions {
    private static final int DEFAULT_LEASE_MS = 1000;

    /** This member's name. */
    @Option(name = "--member-id", usage = "this member's name, one of --members")
    public String memberId = "";

    /** Where other processes reach it. */
    @Option(name = "--peer-endpoint", usage = "host:port that other processes reach this member at")
    public String peerEndpoint = "";

    /** Where operators reach it. */
    @Option(name = "--http-endpoint", usage = "host:port that operators reach this member at")
    public String httpEndpoint = "";

    /** Its failure domain. */
    @Option(name = "--failure-domain", usage = "this member's failure domain")
    public String failureDomain = "";

    /** Its region. */
    @Option(name = "--region", usage = "this member's region")
    public String region = "";

    /** Where its log lives. */
    @Option(name = "--data-dir", usage = "the directory of the log; made when absent")
    public String dataDir = "";

    /** All members. */
    @Option(name = "--members", usage = "all members: id=peer host:port/http host:port,...")
    public String members = "";

    /** The length of a view lease. */
    @Option(name = "--lease-ms", usage = "how long a proxy may act on a view, in milliseconds; 100 to 10000")
    public int leaseMs = DEFAULT_LEASE_MS;

    /** Names the log, so that a directory of another system is refused. */
    @Option(name = "--cluster-id", usage = "names the system that the log belongs to")
    public String clusterId = "hornbeamspread";

    /** Replaced addresses. */
    @Option(name = "--address-map", usage = "file of announced=reached lines, host:port each")
    public String addressMap = "";

    /** Read by {@code CommandLine.printHelpOrVersion}. */
    @Option(name = "--help", usage = "print the flags")
    public boolean help;

    /** Read by {@code CommandLine.printHelpOrVersion}. */
    @Option(name = "--version", usage = "print the version")
    public boolean version;
}
