package org.hornbeamspread.core.sql;

import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * The complete result of one statement.
 *
 * @param rows the rows in order; empty on an error
 * @param signature the database's proof that it ran the statement, or {@link #NO_SIGNATURE}
 * @param error the error; absent on success
 * @param detail details of the error; may be empty
 * @param state the session's transaction state after the statement
 * @param position the end of the database's log after the statement; absent if unknown
 */
public record SqlResult(
        List<String> rows,
        String signature,
        Optional<SqlError> error,
        String detail,
        TransactionState state,
        Optional<LogPosition> position) {
    /** The placeholder signature of a statement that no database ran. */
    public static final String NO_SIGNATURE = "-";

    /** Copies the rows. */
    public SqlResult {
        rows = List.copyOf(rows);
    }

    /** A successful result of a statement that no database ran. */
    public static SqlResult success(TransactionState state) {
        return new SqlResult(List.of(), NO_SIGNATURE, Optional.empty(), "", state, Optional.empty());
    }

    /** A failed result. */
    public static SqlResult failure(SqlError error, String detail, TransactionState state) {
        return new SqlResult(List.of(), NO_SIGNATURE, Optional.of(error), detail, state, Optional.empty());
    }

    /** Whether the statement succeeded. */
    public boolean isSuccess() {
        return error.isEmpty();
    }

    /** Whether the statement failed with this error. */
    public boolean hasError(SqlError expected) {
        return error.filter(expected::equals).isPresent();
    }

    /** The same result with another transaction state. */
    public SqlResult withState(TransactionState next) {
        return new SqlResult(rows, signature, error, detail, next, position);
    }
}
