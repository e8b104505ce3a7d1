package org.hornbeamspread.ctl;

import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureType;

/** The exit codes of hornbeamspread-ctl. A code never changes its meaning. */
public enum ExitCode {
    /** The command did what it says. */
    DONE(0),
    /** The system refused it, and nothing changed. */
    REFUSED(1),
    /** The command line or a file is wrong; nothing was sent. */
    USAGE(2),
    /** No control member could be reached, or none leads. Nothing changed. */
    NOT_REACHABLE(3),
    /** It may have been done: the answer was lost. */
    UNKNOWN_OUTCOME(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** The process's exit code. */
    public int code() {
        return code;
    }

    /** The exit code for a failure. */
    public static ExitCode of(FailureType type) {
        return switch (type) {
            case INVALID_SETTING -> USAGE;
            case CONNECTION_REFUSED, NOT_LEADER, NO_LEADER -> NOT_REACHABLE;
            default -> type.effect() == Effect.NOT_RUN ? REFUSED : UNKNOWN_OUTCOME;
        };
    }
}
