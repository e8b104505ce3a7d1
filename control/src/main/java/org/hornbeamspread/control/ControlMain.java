package org.hornbeamspread.control;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hornbeamspread.control.settings.ControlOptions;
import org.hornbeamspread.control.settings.ControlSettings;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.runtime.CommandLine;
import org.hornbeamspread.runtime.FatalErrorHandler;

/** Starts the control daemon, which runs until SIGTERM. */
public final class ControlMain {
    private static final String BINARY = "hornbeamspread-control";

    private ControlMain() {}

    /**
     * Runs the daemon until SIGTERM, which a JVM process can handle only through a shutdown hook. Exits with status 2
     * when a setting is invalid and with status 1 when the daemon can't start.
     */
    @SuppressWarnings("ShutdownHook")
    public static void main(String[] arguments) {
        FatalErrorHandler.install(BINARY);
        ControlOptions options = new ControlOptions();
        if (CommandLine.printHelpOrVersion(BINARY, options, System.out, arguments)) {
            return;
        }
        ControlSettings settings;
        try {
            settings = ControlSettings.of(CommandLine.parse(options, System.getenv(), arguments));
        } catch (FailureException e) {
            System.err.println(BINARY + ": " + e.getMessage());
            System.exit(CommandLine.EXIT_USAGE);
            return;
        }
        try {
            ControlDaemon daemon = ControlDaemon.start(settings, new PrometheusRegistry());
            Runtime.getRuntime().addShutdownHook(new Thread(daemon::close, "shutdown"));
            daemon.awaitClose();
        } catch (FailureException e) {
            System.err.println(BINARY + ": " + e.getMessage());
            System.exit(1);
        }
    }
}
