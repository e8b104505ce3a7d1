package org.hornbeamspread.core.route;

/** What an attempt to connect to an instance shows about its process. */
public enum Presence {
    /** The instance responds at its address. */
    RUNNING,
    /** Another instance responds at its address. */
    REPLACED,
    /** Its address refuses connections. */
    NOT_LISTENING,
    /** Nothing: there was no response, or one that does not depend on the instance. */
    UNKNOWN;

    /** Whether the process of an instance that has listened at the address has ended. */
    public boolean isProcessEnded() {
        return this == REPLACED || this == NOT_LISTENING;
    }
}
