package org.hornbeamspread.proxy.session;

import org.hornbeamspread.core.route.DatabaseInstance;

/** Exclusive use of a pooled connection by one statement or one transaction. */
final class ConnectionLease {
    private final InstanceConnectionPool pool;
    private final long slotRequestId;
    private final PooledConnection connection;

    /** Whether the request has lost a connection before. This one is new, or has responded since the request arrived. */
    private final boolean repeated;

    private boolean released;
    private boolean retryable;

    ConnectionLease(InstanceConnectionPool pool, long slotRequestId, PooledConnection connection, boolean repeated) {
        this.pool = pool;
        this.slotRequestId = slotRequestId;
        this.connection = connection;
        this.repeated = repeated;
    }

    InstanceConnectionPool pool() {
        return pool;
    }

    DatabaseInstance instance() {
        return pool.instance();
    }

    PooledConnection connection() {
        return connection;
    }

    /** Sets whether the statement that runs on the connection may be retried on another instance. */
    void setRetryable(boolean mayBeRetried) {
        retryable = mayBeRetried;
    }

    boolean isRetryable() {
        return retryable;
    }

    boolean isRepeated() {
        return repeated;
    }

    /** Returns the connection to the pool. No transaction may be open and no response outstanding. */
    void release() {
        returnConnection(true);
    }

    /** Closes a connection after a timeout; one that is silent as {@link #discardSilent} does. */
    void discardUnanswered() {
        if (pool.isSilent(connection)) {
            discardSilent();
        } else {
            discard();
        }
    }

    /** Closes a silent connection, and idle connections that may be silent as well. */
    void discardSilent() {
        if (!released) {
            pool.closeUnproven(connection);
            discard();
        }
    }

    /** Closes the connection, which rolls back an open transaction. */
    void discard() {
        returnConnection(false);
    }

    private void returnConnection(boolean reusable) {
        if (!released) {
            released = true;
            pool.release(slotRequestId, connection, reusable);
        }
    }
}
