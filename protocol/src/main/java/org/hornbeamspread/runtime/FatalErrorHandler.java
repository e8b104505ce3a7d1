package org.hornbeamspread.runtime;

/**
 * Ends the process when an Error escapes a thread, or anything escapes the main thread. The process could otherwise stay without
 * the thread, with its ports open and no service, and would not be started again. Safe for any thread.
 */
public final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {
    /** The exit status after a fatal error, EX_SOFTWARE of sysexits.h. */
    public static final int EXIT_STATUS = 70;

    private final String program;
    private final Thread mainThread;

    private FatalErrorHandler(String program, Thread mainThread) {
        this.program = program;
        this.mainThread = mainThread;
    }

    /** Installs the handler for all threads of the process. Called on the main thread. */
    public static void install(String program) {
        Thread.setDefaultUncaughtExceptionHandler(new FatalErrorHandler(program, Thread.currentThread()));
    }

    @Override
    public void uncaughtException(Thread thread, Throwable cause) {
        boolean fatal = cause instanceof Error || thread.equals(mainThread);
        try {
            System.err.println(program + (fatal ? ": exits, since thread " : ": thread ") + thread.getName()
                    + " ended with " + cause);
            cause.printStackTrace();
        } finally {
            if (fatal) {
                // Shutdown hooks need memory and threads that may be missing.
                Runtime.getRuntime().halt(EXIT_STATUS);
            }
        }
    }
}
