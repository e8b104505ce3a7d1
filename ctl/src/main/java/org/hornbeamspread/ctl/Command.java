package org.hornbeamspread.ctl;

/** One sub-command; its options and arguments are filled in by the command line's parser. */
public interface Command {
    /** Runs it and prints its answer. Fails with a typed failure, which the caller prints. */
    void run(CommandContext session);
}
