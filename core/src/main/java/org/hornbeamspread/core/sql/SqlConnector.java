package org.hornbeamspread.core.sql;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.route.DatabaseInstance;

/** Opens connections to databases. */
public interface SqlConnector {
    /**
     * Connects to an instance, and not to another instance that may have taken over its address. Fails with
     * CONNECTION_REFUSED, REQUEST_TIMEOUT, CONNECTION_LIMIT if the database accepts no further connection, or
     * UNKNOWN_DATABASE if another instance responds.
     */
    CompletableFuture<SqlConnection> connect(DatabaseInstance instance, Duration timeout);
}
