package org.hornbeamspread.ctl;

import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureType;

/** The exit codes of hornbeamspread-ctl. The meaning of a code must not change. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The system refused the command; nothing changed. */
    REFUSED(1),
    /** The command line or a file is invalid; no request was sent. */
    USAGE(2),
    /** No control member could be reached, or there is no leader. Nothing changed. */
    NOT_REACHABLE(3),
    /** The change may have been made: its answer was lost. */
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
