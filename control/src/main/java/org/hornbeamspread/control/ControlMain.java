package org.hornbeamspread.control;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hornbeamspread.control.settings.ControlOptions;
import org.hornbeamspread.control.settings.ControlSettings;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.runtime.CommandLine;

/** Starts the control daemon; SIGTERM ends it. */
public final class ControlMain {
    private static final String BINARY = "hornbeamspread-control";

    private ControlMain() {}

    /** SIGTERM reaches a plain JVM process through a shutdown hook only. Exits with 2 when a setting is refused, with 1 when the daemon can't start. */
    @SuppressWarnings("ShutdownHook")
    public static void main(String[] arguments) {
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
