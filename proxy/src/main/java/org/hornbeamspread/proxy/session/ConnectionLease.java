package org.hornbeamspread.proxy.session;

import org.hornbeamspread.core.route.DatabaseInstance;

/** A connection that one statement or one transaction has for itself. */
final class ConnectionLease {
    private final InstanceLink link;
    private final long slotRequestId;
    private final PooledConnection connection;
    private boolean released;
    private boolean retryable;

    ConnectionLease(InstanceLink link, long ticket, PooledConnection connection) {
        this.link = link;
        this.slotRequestId = ticket;
        this.connection = connection;
    }

    InstanceLink link() {
        return link;
    }

    DatabaseInstance instance() {
        return link.instance();
    }

    PooledConnection connection() {
        return connection;
    }

    /** Whether what runs on it may be run again elsewhere. */
    void setRetryable(boolean mayRunAgain) {
        retryable = mayRunAgain;
    }

    boolean isRetryable() {
        return retryable;
    }

    /** Gives the connection back; it stands outside of any transaction and waits for no answer. */
    void release() {
        returnConnection(true);
    }

    /** Closes the connection, which rolls back what is open there. */
    void discard() {
        returnConnection(false);
    }

    private void returnConnection(boolean reusable) {
        if (!released) {
            released = true;
            link.giveBack(slotRequestId, connection, reusable);
        }
    }
}
