package org.hornbeamspread.core.sql;

import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * A statement with a request id and an optional required log position.
 *
 * @param id the client's id, or {@link #INTERNAL_ID} for a statement issued by the proxy or by control
 * @param requiredPosition the position that the database's log must include before the statement runs; absent if none
 * is required
 * @param statement the statement to run
 */
public record SqlRequest(String id, Optional<LogPosition> requiredPosition, SqlStatement statement) {
    /** The id of statements issued by the proxy or by control. */
    public static final String INTERNAL_ID = "-";

    /** A request for a statement issued by the proxy or by control. */
    public static SqlRequest internal(SqlStatement statement) {
        return new SqlRequest(INTERNAL_ID, Optional.empty(), statement);
    }

    /** The same request, to run only on a log that includes a position. */
    public SqlRequest requiringPosition(LogPosition position) {
        return new SqlRequest(id, Optional.of(position), statement);
    }
}
