package org.hornbeamspread.ctl;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The flags of hornbeamspread-ctl and its commands. */
final class CtlOptions {
    @Option(name = "--control", metaVar = "HOST:PORT,...", usage = "HTTP endpoints of the control members")
    String control = "";

    @Option(name = "--output", usage = "format of the output")
    OutputFormat output = OutputFormat.TABLE;

    @Option(name = "--timeout-ms", usage = "how long to try to reach a leader")
    int timeoutMs = 10_000;

    @Argument(metaVar = "COMMAND", required = true, handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "configuration", impl = ConfigurationCommand.class),
        @SubCommand(name = "topology", impl = TopologyCommands.Overview.class),
        @SubCommand(name = "groups", impl = TopologyCommands.Groups.class),
        @SubCommand(name = "databases", impl = TopologyCommands.Databases.class),
        @SubCommand(name = "proxies", impl = TopologyCommands.Proxies.class),
        @SubCommand(name = "control", impl = ControlCommand.class),
        @SubCommand(name = "departure", impl = ChangeCommands.Departure.class),
        @SubCommand(name = "promote", impl = ChangeCommands.Promote.class)
    })
    Command command;
}
