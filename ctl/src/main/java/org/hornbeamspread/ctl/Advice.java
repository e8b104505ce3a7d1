package org.hornbeamspread.ctl;

import org.hornbeamspread.core.misc.FailureType;

/** Messages that say what an operator should do after a failure. */
final class Advice {
    private Advice() {}

    /** The advice for a type of failure. */
    static String of(FailureType type) {
        return switch (type) {
            case INVALID_SETTING -> "run hornbeamspread-ctl --help and correct the command";
            case INVALID_CONFIGURATION -> "correct the file at the line in the message and load it again";
            case VERSION_CONFLICT ->
                "another change was applied first: see 'configuration diff FILE', then load with the current version";
            case REQUEST_ID_REUSED -> "use a new --request-id for a new change";
            case CONNECTION_REFUSED -> "check --control and that the control processes run";
            case NOT_LEADER, NO_LEADER ->
                "wait for an election; if it lasts, see 'control': a majority of members must run and reach each other";
            case MEMBER_CHANGE_IN_PROGRESS -> "wait until 'control' shows the replaced member as caught up";
            case NO_FENCE_QUORUM -> "bring back a majority of the group's databases, then promote again";
            case UNKNOWN_DATABASE -> "see 'databases' for the names that were announced";
            case UNKNOWN_GROUP -> "see 'groups' for the names in the configuration";
            case LEADERSHIP_LOST, REQUEST_TIMEOUT, CONNECTION_LOST ->
                "the change may have been made: send it again with the same --request-id";
            case DISK_FULL, DISK_FAILED, LOG_CORRUPTED -> "see 'control' and replace the member that reports it";
            default -> "see the control members' logs for this failure";
        };
    }
}
