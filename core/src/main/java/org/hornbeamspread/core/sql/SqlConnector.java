package org.hornbeamspread.core.sql;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.route.Caller;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.Presence;

/** Opens connections to databases. */
public interface SqlConnector {
    /**
     * Connects to an instance, and not to another instance that may have taken over its address. Fails with
     * CONNECTION_REFUSED if no process listens at the address, UNKNOWN_DATABASE if another instance responds, CONNECTION_LIMIT if
     * the database accepts no further connection, REQUEST_TIMEOUT, or DATABASE_UNREACHABLE in all other cases.
     *
     * @param caller on whose behalf all statements of the connection run
     */
    CompletableFuture<SqlConnection> connect(DatabaseInstance instance, Caller caller, Duration timeout);

    /** What a failure to connect shows of the instance. Others than these two may be those of the network. */
    static Presence presence(FailureType failure) {
        return switch (failure) {
            case CONNECTION_REFUSED -> Presence.NOT_LISTENING;
            case UNKNOWN_DATABASE -> Presence.REPLACED;
            default -> Presence.UNKNOWN;
        };
    }
}
