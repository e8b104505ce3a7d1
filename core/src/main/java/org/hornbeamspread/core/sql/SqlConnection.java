package org.hornbeamspread.core.sql;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A connection to a database. Results arrive in the order of the requests. The connection closes when an answer cannot be that of
 * the next request, because an earlier answer was lost or cut off.
 */
public interface SqlConnection {
    /**
     * Sends requests as one batch. Each future completes with a complete result, or fails with CONNECTION_LOST if the
     * connection closes before the result has arrived; the request may then have run.
     */
    List<CompletableFuture<SqlResult>> send(List<SqlRequest> requests);

    /** Whether requests can be sent. */
    boolean isOpen();

    /** Closes the connection; the database rolls back an open transaction. */
    void close();
}
