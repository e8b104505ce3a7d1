package org.hornbeamspread.core.sql;

import org.hornbeamspread.core.sql.SqlStatement.PreparedDefinition;

/** Estimates the memory that statements and session state occupy. */
public final class StatementSize {
    /** Objects around the text of a statement or of a session value. */
    private static final long OVERHEAD_BYTES = 200;

    private StatementSize() {}

    /** The memory of a request. */
    public static long bytes(SqlRequest request) {
        return OVERHEAD_BYTES + request.id().length() + textLength(request.statement());
    }

    /** The memory of a session value, or of a prepared statement with this text. */
    public static long bytes(String name, String text) {
        return OVERHEAD_BYTES + name.length() + text.length();
    }

    private static long textLength(SqlStatement statement) {
        if (statement instanceof SqlStatement.Read read) {
            return read.item().length();
        } else if (statement instanceof SqlStatement.Write write) {
            return (long) write.item().length() + write.data().length();
        } else if (statement instanceof SqlStatement.SetValue set) {
            return (long) set.name().length() + set.value().length();
        } else if (statement instanceof SqlStatement.Prepare prepare) {
            PreparedDefinition definition = prepare.definition();
            return (long) prepare.name().length() + definition.text().length();
        } else if (statement instanceof SqlStatement.Execute execute) {
            return (long) execute.name().length()
                    + execute.item().length()
                    + execute.data().map(String::length).orElse(0);
        } else if (statement instanceof SqlStatement.Deallocate deallocate) {
            return deallocate.name().length();
        }
        return 0;
    }
}
