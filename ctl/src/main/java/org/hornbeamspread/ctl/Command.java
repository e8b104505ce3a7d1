package org.hornbeamspread.ctl;

/** A command; the command line parser sets its options and arguments. */
public interface Command {
    /** Runs the command and prints the result. Fails with a typed failure, which the caller prints. */
    void run(CommandContext context);
}
