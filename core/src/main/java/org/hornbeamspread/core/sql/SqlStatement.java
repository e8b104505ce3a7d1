package org.hornbeamspread.core.sql;

import java.util.Optional;

/** One statement of a session, or one that the proxy or control itself sends to a database. */
public sealed interface SqlStatement {
    /** Opens a transaction. */
    record Begin(boolean readOnly) implements SqlStatement {}

    /** Ends a transaction and keeps its writes. */
    record Commit() implements SqlStatement {}

    /** Ends a transaction and drops its writes. */
    record Rollback() implements SqlStatement {}

    /** Reads an item. */
    record Read(String item) implements SqlStatement {}

    /** Writes an item. */
    record Write(String item, String data) implements SqlStatement {}

    /** Sets a value of the session. */
    record SetValue(String name, String value) implements SqlStatement {}

    /** Gives a statement's shape a name in the session. */
    record Prepare(String name, PreparedDefinition definition) implements SqlStatement {}

    /** Runs a prepared statement; a write has data. */
    record Execute(String name, String item, Optional<String> data) implements SqlStatement {}

    /** Forgets a prepared name. */
    record Deallocate(String name) implements SqlStatement {}

    /** Forgets all values and prepared names of a connection. */
    record Reset() implements SqlStatement {}

    /** Asks a database for its role and position. */
    record Status() implements SqlStatement {}

    /** Stops a replica from receiving, until a promotion or {@link ResumeReplication}. */
    record PauseReplication(long term) implements SqlStatement {}

    /** Lets a paused replica receive again. */
    record ResumeReplication() implements SqlStatement {}

    /** Makes a primary of a lower term a replica. */
    record Demote(long term) implements SqlStatement {}

    /**
     * What a prepared name stands for.
     *
     * @param write whether it writes
     * @param text the rest of its definition, not interpreted
     */
    record PreparedDefinition(boolean write, String text) {}
}
