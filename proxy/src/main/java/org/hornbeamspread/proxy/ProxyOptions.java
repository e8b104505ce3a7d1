package org.hornbeamspread.proxy;

import org.kohsuke.args4j.Option;

/** The proxy's command-line flags, not yet validated; see {@link ProxySettings}. */
final class ProxyOptions {
    @Option(name = "--proxy-id", usage = "this proxy's id, unique among all proxies")
    String proxyId = "";

    @Option(name = "--peer-endpoint", usage = "host:port that other proxies connect to")
    String peerEndpoint = "";

    @Option(name = "--http-endpoint", usage = "host:port for callers, /health, /ready and /metrics")
    String httpEndpoint = "";

    @Option(name = "--failure-domain", usage = "failure domain of this instance")
    String failureDomain = "";

    @Option(name = "--region", usage = "region of this instance")
    String region = "";

    @Option(name = "--control", usage = "peer endpoints of the control members, host:port,host:port")
    String control = "";

    @Option(name = "--address-map", usage = "file of announced=reachable address pairs, one per line")
    String addressMap = "";

    @Option(name = "--drain-grace-ms", usage = "time in ms that requests are still accepted after SIGTERM, 0 to 600000")
    long drainGraceMs = 5_000;

    @Option(
            name = "--idle-transaction-ms",
            usage = "idle time in ms after which an interactive transaction is closed, 100 to 600000")
    long idleTransactionMs = 5_000;

    @Option(name = "--max-requests", usage = "maximum number of requests in progress, 1 to 100000")
    int maxRequests = 4_096;

    @Option(name = "--network-threads", usage = "number of threads of the peer transport, 1 to 64")
    int networkThreads = 2;

    @Option(name = "--cluster-id", usage = "id of the cluster that this proxy belongs to, as set at control")
    String clusterId = "hornbeamspread";

    @Option(name = "--slot-order", usage = "scheduling policy for a database's slots: rank, strict or fifo")
    String slotOrder = "rank";

    @Option(name = "--help", usage = "print this help")
    boolean help;

    @Option(name = "--version", usage = "print the version")
    boolean version;
}
