package org.hornbeamspread.proxy.session;

import org.hornbeamspread.core.route.DatabaseInstance;

/** A connection that one statement or one transaction has for itself. */
final class Lease {
    private final InstanceConnectionPool link;
    private final long ticket;
    private final PooledConnection connection;
    private boolean released;
    private boolean repeatable;

    Lease(InstanceConnectionPool link, long ticket, PooledConnection connection) {
        this.link = link;
        this.ticket = ticket;
        this.connection = connection;
    }

    InstanceConnectionPool link() {
        return link;
    }

    DatabaseInstance instance() {
        return link.instance();
    }

    PooledConnection connection() {
        return connection;
    }

    /** Whether what runs on it may be run again elsewhere. */
    void setRepeatable(boolean mayRunAgain) {
        repeatable = mayRunAgain;
    }

    boolean isRepeatable() {
        return repeatable;
    }

    /** Gives the connection back; it stands outside of any transaction and waits for no answer. */
    void release() {
        end(true);
    }

    /** Closes the connection, which rolls back what is open there. */
    void discard() {
        end(false);
    }

    private void end(boolean reusable) {
        if (!released) {
            released = true;
            link.release(ticket, connection, reusable);
        }
    }
}
