package org.hornbeamspread.proxy.session;

import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlResult;

/** The connection to the client of a session. Confined to the engine's thread. */
public interface ClientConnection {
    /** Confirms to the client that the session is open. */
    void accept();

    /** Refuses the session and closes the connection after the error has been written. */
    void refuse(SqlError error, String detail);

    /** Sends the response to the oldest request that has none. */
    void reply(SqlResult result);

    /** Closes the connection after all pending responses have been written. */
    void close();

    /** Closes the connection without waiting for the client to read. */
    default void abort() {
        close();
    }

    /** Whether the client reads its responses. While it does not, the session handles no further request. */
    default boolean isWritable() {
        return true;
    }
}
