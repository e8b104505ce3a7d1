package org.hornbeamspread.proxy;

import org.kohsuke.args4j.Option;

/** The proxy's flags as they are typed; {@link ProxySettings} checks them. */
final class ProxyOptions {
    @Option(name = "--proxy-id", usage = "this proxy's id, unique among all proxies")
    String proxyId = "";

    @Option(name = "--peer-endpoint", usage = "host:port for other proxies")
    String peerEndpoint = "";

    @Option(name = "--http-endpoint", usage = "host:port for callers, /health, /ready and /metrics")
    String httpEndpoint = "";

    @Option(name = "--failure-domain", usage = "the failure domain that this instance is in")
    String failureDomain = "";

    @Option(name = "--region", usage = "the region that this instance is in")
    String region = "";

    @Option(name = "--control", usage = "peer endpoints of the control members, host:port,host:port")
    String control = "";

    @Option(name = "--address-map", usage = "file of announced=reached addresses, one a line")
    String addressMap = "";

    @Option(name = "--drain-grace-ms", usage = "how long requests are still accepted after SIGTERM, 0 to 600000")
    long drainGraceMs = 5_000;

    @Option(
            name = "--idle-transaction-ms",
            usage = "an interactive transaction idle for longer is closed, 100 to 600000")
    long idleTransactionMs = 5_000;

    @Option(name = "--max-requests", usage = "requests in progress at once, 1 to 100000")
    int maxRequests = 4_096;

    @Option(name = "--network-threads", usage = "threads of the peer transport, 1 to 64")
    int networkThreads = 2;

    @Option(name = "--cluster-id", usage = "the system that this proxy belongs to, as control has it")
    String clusterId = "hornbeamspread";

    @Option(name = "--slot-order", usage = "who gets a database's next slot: rank, strict or fifo")
    String slotOrder = "rank";

    @Option(name = "--help", usage = "print this")
    boolean help;

    @Option(name = "--version", usage = "print the version")
    boolean version;
}
