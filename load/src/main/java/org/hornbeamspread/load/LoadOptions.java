package org.hornbeamspread.load;

import org.kohsuke.args4j.Option;

/** The flags of hornbeamspread-load. */
final class LoadOptions {
    @Option(name = "--proxies", metaVar = "ID=HOST:PORT,...", usage = "HTTP endpoints of the proxies")
    String proxies = "";

    @Option(name = "--user", usage = "entoto or ujaas")
    String user = "entoto";

    @Option(name = "--groups", metaVar = "N", usage = "how many groups the service has, named g1 to gN")
    int groups = 3;

    @Option(name = "--seconds", usage = "how long requests arrive")
    int seconds = 20;

    @Option(name = "--warm-up-seconds", usage = "requests before the start, audited but not counted by rank")
    int warmUpSeconds = 5;

    @Option(name = "--seed", usage = "fixes the arrivals and every choice")
    long seed = 1;

    @Option(name = "--fault", usage = "the fault's name, for the report; flood-low and flood-urgent are made here")
    String fault = "none";

    @Option(name = "--fault-time-file", usage = "holds the time of the fault in ms since 1970, written meanwhile")
    String faultTimeFile = "";

    @Option(name = "--affected-groups", usage = "groups that the fault hits; default: all")
    String affectedGroups = "";

    @Option(name = "--start-file", usage = "is written when the first request is due")
    String startFile = "";

    @Option(name = "--configuration-in-force-ms", usage = "a measured value to put into the report")
    long configurationInForceMs = -1;

    @Option(
            name = "--link-control",
            metaVar = "HOST:PORT",
            usage = "HTTP endpoint of the emulator's links, to count bytes")
    String linkControl = "";

    @Option(name = "--report", metaVar = "FILE", usage = "where the JSON report goes")
    String report = "";

    @Option(name = "--page", metaVar = "FILE", usage = "where the report as an HTML page with plots goes")
    String page = "";
}
