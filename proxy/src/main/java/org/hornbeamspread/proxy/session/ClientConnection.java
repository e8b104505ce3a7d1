package org.hornbeamspread.proxy.session;

import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlResult;

/** The client's end of a session, as the engine sees it. Used on the engine's thread. */
public interface ClientConnection {
    /** The session is open. */
    void accept();

    /** The session is refused; the connection is closed behind the answer. */
    void refuse(SqlError error, String detail);

    /** Answers the oldest request that has none. */
    void reply(SqlResult result);

    /** Closes the connection once what was written is out. */
    void close();
}
