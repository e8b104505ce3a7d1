package org.hornbeamspread.core.sql;

import java.util.Optional;

/** A statement of a client session, or one that the proxy or control itself sends to a database. */
public sealed interface SqlStatement {
    /** Whether a database signs its answer after success, as proof that it ran the statement. */
    default boolean isSigned() {
        return this instanceof Read || this instanceof Write || this instanceof Execute || this instanceof Commit;
    }

    /** Whether a successful answer may contain rows. */
    default boolean returnsRows() {
        return !(this instanceof Begin
                || this instanceof Commit
                || this instanceof Rollback
                || this instanceof SetValue
                || this instanceof Prepare
                || this instanceof Deallocate
                || this instanceof Reset);
    }

    /** The transaction state of a connection after the statement has succeeded. */
    default TransactionState stateAfterSuccess(TransactionState stateBefore) {
        if (this instanceof Begin) {
            return TransactionState.OPEN;
        }
        return this instanceof Commit || this instanceof Rollback ? TransactionState.IDLE : stateBefore;
    }

    /** Opens a transaction. */
    record Begin(boolean readOnly) implements SqlStatement {}

    /** Commits the open transaction. */
    record Commit() implements SqlStatement {}

    /** Rolls the open transaction back. */
    record Rollback() implements SqlStatement {}

    /** Reads an item. */
    record Read(String item) implements SqlStatement {}

    /** Writes an item. */
    record Write(String item, String data) implements SqlStatement {}

    /** Sets a session variable. */
    record SetValue(String name, String value) implements SqlStatement {}

    /** Prepares a statement under a name in the session. */
    record Prepare(String name, PreparedDefinition definition) implements SqlStatement {}

    /** Runs a prepared statement; data is present for a write. */
    record Execute(String name, String item, Optional<String> data) implements SqlStatement {}

    /** Removes a prepared statement. */
    record Deallocate(String name) implements SqlStatement {}

    /** Removes all session variables and prepared statements of a connection. */
    record Reset() implements SqlStatement {}

    /** Requests the role and the log position of a database. */
    record Status() implements SqlStatement {}

    /** Makes a replica stop receiving the log until a promotion or {@link ResumeReplication}. */
    record PauseReplication(long term) implements SqlStatement {}

    /** Makes a paused replica receive the log again. */
    record ResumeReplication() implements SqlStatement {}

    /** Demotes a primary of a lower term to a replica. */
    record Demote(long term) implements SqlStatement {}

    /**
     * The definition of a prepared statement.
     *
     * @param write whether the statement writes
     * @param text the rest of the definition, not interpreted
     */
    record PreparedDefinition(boolean write, String text) {}
}
