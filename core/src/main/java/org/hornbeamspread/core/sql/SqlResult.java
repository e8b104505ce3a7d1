package org.hornbeamspread.core.sql;

import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * A whole answer to one statement.
 *
 * @param rows in order; empty on an error
 * @param signature the database's proof of having run it, or {@link #NO_SIGNATURE}
 * @param error absent on success
 * @param detail says more about the error; may be empty
 * @param state of the session after it
 * @param position of the database's log after it; absent when unknown
 */
public record SqlResult(
        List<String> rows,
        String signature,
        Optional<SqlError> error,
        String detail,
        TransactionState state,
        Optional<LogPosition> position) {
    /** Stands for the signature of statements that no database ran. */
    public static final String NO_SIGNATURE = "-";

    /** Copies the rows. */
    public SqlResult {
        rows = List.copyOf(rows);
    }

    /** Success without a database. */
    public static SqlResult success(TransactionState state) {
        return new SqlResult(List.of(), NO_SIGNATURE, Optional.empty(), "", state, Optional.empty());
    }

    /** An error. */
    public static SqlResult failure(SqlError error, String detail, TransactionState state) {
        return new SqlResult(List.of(), NO_SIGNATURE, Optional.of(error), detail, state, Optional.empty());
    }

    /** Whether it succeeded. */
    public boolean isSuccess() {
        return error.isEmpty();
    }

    /** Whether the error is this one. */
    public boolean hasError(SqlError expected) {
        return error.filter(expected::equals).isPresent();
    }

    /** The same answer in another session state. */
    public SqlResult withState(TransactionState next) {
        return new SqlResult(rows, signature, error, detail, next, position);
    }
}
