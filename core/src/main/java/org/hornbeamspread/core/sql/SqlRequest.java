package org.hornbeamspread.core.sql;

import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * A statement with its id.
 *
 * @param id the client's id, or {@link #INTERNAL_ID} for a statement that the system issues itself
 * @param requiredPosition the position that the database's log must hold; absent for none
 * @param statement what to run
 */
public record SqlRequest(String id, Optional<LogPosition> requiredPosition, SqlStatement statement) {
    /** The id of the system's own statements. */
    public static final String INTERNAL_ID = "-";

    /** A statement of the system itself. */
    public static SqlRequest internal(SqlStatement statement) {
        return new SqlRequest(INTERNAL_ID, Optional.empty(), statement);
    }

    /** The same request, to run only on a log that holds a position. */
    public SqlRequest requiringPosition(LogPosition position) {
        return new SqlRequest(id, Optional.of(position), statement);
    }
}
