package org.hornbeamspread.ctl;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.runtime.CommandLine;
import org.hornbeamspread.runtime.MonotonicClock;
import org.hornbeamspread.transport.AddressTranslator;

/** The main class of hornbeamspread-ctl. */
public final class CtlMain {
    private static final String BINARY = "hornbeamspread-ctl";
    private static final String COMMANDS = "Commands: configuration load FILE | show | diff FILE | await VERSION;"
            + " topology; groups; databases; proxies; control; control replace MEMBER --peer HOST:PORT --http HOST:PORT;"
            + " departure start|stop DATABASE; promote GROUP [--database ID]";

    private CtlMain() {}

    /** Runs one command and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(run(System.getenv(), System.out, System.err, arguments).code());
    }

    /** Runs one command; the result goes to {@code out}, and a failure, with advice for the operator, to {@code err}. */
    static ExitCode run(Map<String, String> environment, PrintStream out, PrintStream err, String... arguments) {
        if (CommandLine.printHelpOrVersion(BINARY, new CtlOptions(), out, arguments)) {
            if (List.of(arguments).contains("--help")) {
                out.println(COMMANDS);
            }
            return ExitCode.DONE;
        }
        try {
            CtlOptions options = CommandLine.parse(new CtlOptions(), environment, arguments);
            MonotonicClock clock = new MonotonicClock();
            Sleeper sleeper = Sleeper.blocking();
            ControlClient client = new ControlClient(
                    parseMembers(options.control), Duration.ofMillis(options.timeoutMs), clock, sleeper);
            options.command.run(new CommandContext(client, options.output, out, err, clock, sleeper));
            return ExitCode.DONE;
        } catch (FailureException e) {
            err.println(BINARY + ": " + e.type() + ": " + e.getMessage());
            err.println("Next: " + Advice.of(e.type()));
            return ExitCode.of(e.type());
        }
    }

    private static List<Endpoint> parseMembers(String list) {
        if (list.isEmpty()) {
            throw new FailureException(FailureType.INVALID_SETTING, "--control is required: HOST:PORT,HOST:PORT,...");
        }
        List<Endpoint> members = new ArrayList<>();
        for (String member : list.split(",", -1)) {
            members.add(AddressTranslator.parse(member.strip()));
        }
        return members;
    }
}
