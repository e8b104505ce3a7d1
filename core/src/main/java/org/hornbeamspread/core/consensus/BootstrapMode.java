package org.hornbeamspread.core.consensus;

/** How a member takes part in the bootstrap of the log. */
public enum BootstrapMode {
    /** The log is bootstrapped once every initial member is blank. A member that lost its disk is blank again. */
    ALL_MEMBERS,

    /**
     * The log is bootstrapped by a majority of the initial members if the others don't respond. Requires that this member has the
     * first disk that it ever had, and that all initial members have the same list of them: one that lost its disk must use
     * {@link #NONE}.
     */
    MAJORITY,

    /** The member joins a log that other members bootstrap or have bootstrapped. */
    NONE
}
