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

    /**
     * Returns why a result cannot be the answer to this request; empty if it can.
     *
     * <p>Answers carry no request id and are assigned to requests by their order. If an answer was lost or cut off, each later
     * answer on the connection would be assigned to the request before its own. A database signs the answer to every successful
     * read, write and commit, and no other; each statement determines the transaction state after its success; an error leaves
     * the state, or fails the open transaction. An answer that violates this belongs to another request.
     *
     * @param stateBefore the transaction state after the previous answer on the connection
     */
    public Optional<String> findMismatch(SqlResult result, TransactionState stateBefore) {
        String name = statement.getClass().getSimpleName();
        if (!isPossibleState(result, stateBefore)) {
            return Optional.of(
                    "state " + result.state() + (result.isSuccess() ? " after " : " after a failed ") + name);
        }
        if (!result.isSuccess()) {
            return Optional.empty();
        }
        boolean signed = !result.signature().equals(SqlResult.NO_SIGNATURE);
        if (signed != statement.isSigned()) {
            return Optional.of((signed ? "signed" : "unsigned") + " answer to " + name);
        }
        return result.rows().isEmpty() || statement.returnsRows() ? Optional.empty() : Optional.of("rows for " + name);
    }

    private boolean isPossibleState(SqlResult result, TransactionState stateBefore) {
        if (result.isSuccess()) {
            return result.state() == statement.stateAfterSuccess(stateBefore);
        }
        boolean endsTransaction = statement.stateAfterSuccess(TransactionState.OPEN) == TransactionState.IDLE;
        boolean failsTransaction = stateBefore == TransactionState.OPEN && result.state() == TransactionState.FAILED;
        return endsTransaction || failsTransaction || result.state() == stateBefore;
    }

    /** The same request, to run only on a log that includes a position. */
    public SqlRequest requiringPosition(LogPosition position) {
        return new SqlRequest(id, Optional.of(position), statement);
    }
}
