package org.hornbeamspread.emulator;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CountDownLatch;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.runtime.CommandLine;
import org.hornbeamspread.runtime.MonotonicClock;

/** Entry point of the emulator, which runs an emulated database or emulated links between failure domains. */
public final class EmulatorMain {
    private static final Logger LOG = System.getLogger(EmulatorMain.class.getName());
    private static final String BINARY = "hornbeamspread-emulator";

    private EmulatorMain() {}

    /** Runs until SIGTERM. Exits with status 2 if a setting is invalid, and with 1 on any other failure at startup. */
    public static void main(String[] arguments) throws InterruptedException {
        EmulatorOptions options = new EmulatorOptions();
        if (CommandLine.printHelpOrVersion(BINARY, options, System.out, arguments)) {
            return;
        }
        try {
            CommandLine.parse(options, System.getenv(), arguments);
            start(options);
        } catch (FailureException e) {
            System.err.println(BINARY + ": " + e.getMessage());
            System.exit(e.type() == FailureType.INVALID_SETTING ? CommandLine.EXIT_USAGE : 1);
        }
        new CountDownLatch(1).await();
    }

    private static void start(EmulatorOptions options) {
        switch (options.mode) {
            case "database" -> startDatabase(options);
            case "link" -> {
                LinkLauncher.start(options);
                LOG.log(Level.INFO, "links of {0} are listening", options.linkFile);
            }
            default -> throw new FailureException(FailureType.INVALID_SETTING, "--mode must be database or link");
        }
    }

    // An emulated database has no web server whose shutdown callback could announce the departure.
    @SuppressWarnings("ShutdownHook")
    private static void startDatabase(EmulatorOptions options) {
        DatabaseServer server = DatabaseLauncher.start(options, new MonotonicClock());
        LOG.log(Level.INFO, "database {0} is listening", options.databaseId);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            server.depart().join();
                            server.close();
                        },
                        "departure"));
    }
}
