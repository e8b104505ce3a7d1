package org.hornbeamspread.emulator;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Statement;
import org.hornbeamspread.protocol.schema.StatementResult;

/**
 * The writes of one transaction, buffered until it commits. Its own reads see them. At commit the write statements run
 * once more on the rows of that moment, so that a {@code row.add} adds to the latest value and a {@code row.insert}
 * finds a row that was committed meanwhile.
 */
final class DatabaseTransaction {
    private final long term;
    private final boolean readOnly;
    private final RowOverlay rows;
    private final List<Statement> writes = new ArrayList<>();
    private final List<StatementResult> results = new ArrayList<>();

    /** The key that came with a statement; empty when none did. */
    private String idempotencyKey = "";

    DatabaseTransaction(long term, boolean readOnly, Rows committed) {
        this.term = term;
        this.readOnly = readOnly;
        this.rows = new RowOverlay(committed);
    }

    /** Runs statements, all or none. Fails with INVALID_STATEMENT or STATEMENT_CONFLICT. */
    List<StatementResult> run(List<Statement> statements) {
        RowOverlay attempt = new RowOverlay(rows);
        List<Statement> newWrites =
                statements.stream().filter(StatementRunner::isWrite).toList();
        if (readOnly && !newWrites.isEmpty()) {
            throw new FailureException(FailureType.INVALID_STATEMENT, "a write in a read-only transaction");
        }
        List<StatementResult> newResults = StatementRunner.runAll(attempt, statements);
        attempt.flush();
        writes.addAll(newWrites);
        results.addAll(newResults);
        return newResults;
    }

    /** Keeps the key that came with a statement, for the commit. Fails with INVALID_REQUEST when there is another. */
    void setIdempotencyKey(String key) {
        if (!idempotencyKey.isEmpty() && !idempotencyKey.equals(key)) {
            throw new FailureException(FailureType.INVALID_REQUEST, "a second idempotency key in one transaction");
        }
        idempotencyKey = key;
    }

    /** The key that came with a statement; empty when none did. */
    String idempotencyKey() {
        return idempotencyKey;
    }

    /** The term that the sender began it at. */
    long term() {
        return term;
    }

    boolean readOnly() {
        return readOnly;
    }

    /** The write statements so far. */
    List<Statement> writes() {
        return List.copyOf(writes);
    }

    /** The results of every statement so far. */
    List<StatementResult> results() {
        return List.copyOf(results);
    }
}
