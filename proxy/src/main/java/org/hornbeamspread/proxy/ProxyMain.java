package org.hornbeamspread.proxy;

import java.time.Duration;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.runtime.CommandLine;
import org.hornbeamspread.runtime.FatalErrorHandler;
import org.hornbeamspread.runtime.MonotonicClock;

/** Starts the proxy daemon. */
public final class ProxyMain {
    private static final String BINARY = "hornbeamspread-proxy";
    private static final int EXIT_FAILURE = 1;

    /** The longest wait for requests in progress after the proxy stops accepting new ones. */
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(60);

    private ProxyMain() {}

    /** Runs until SIGTERM. The exit code is 2 for an invalid setting and 1 for another startup failure. */
    @SuppressWarnings("ShutdownHook")
    public static void main(String[] arguments) {
        FatalErrorHandler.install(BINARY);
        ProxyOptions options = new ProxyOptions();
        if (CommandLine.printHelpOrVersion(BINARY, options, System.out, arguments)) {
            return;
        }
        try {
            ProxySettings settings = ProxySettings.of(CommandLine.parse(options, System.getenv(), arguments));
            ProxyServer server = new ProxyServer(settings, new MonotonicClock());
            server.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(server), "drain"));
        } catch (FailureException e) {
            System.err.println(BINARY + ": " + e.getMessage());
            System.exit(e.type() == FailureType.INVALID_SETTING ? CommandLine.EXIT_USAGE : EXIT_FAILURE);
        }
    }

    private static void drain(ProxyServer server) {
        try {
            server.drain(DRAIN_TIMEOUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
