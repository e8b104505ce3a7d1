package org.hornbeamspread.emulator;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Statement;
import org.hornbeamspread.protocol.schema.StatementResult;

/**
 * A transaction whose writes are buffered until commit and visible to its own reads. At commit the write statements are
 * executed again on the rows committed by then, so that a {@code row.add} adds to the latest value and a
 * {@code row.insert} detects a row that was committed in the meantime.
 */
final class DatabaseTransaction {
    private final long term;
    private final boolean readOnly;
    private final RowOverlay rows;
    private final List<Statement> writes = new ArrayList<>();
    private final List<StatementResult> results = new ArrayList<>();

    /** The idempotency key for the commit; empty if no request has set one. */
    private String idempotencyKey = "";

    DatabaseTransaction(long term, boolean readOnly, Rows committed) {
        this.term = term;
        this.readOnly = readOnly;
        this.rows = new RowOverlay(committed);
    }

    /** Executes all statements or none. Fails with INVALID_STATEMENT or STATEMENT_CONFLICT. */
    List<StatementResult> run(List<Statement> statements) {
        RowOverlay overlay = new RowOverlay(rows);
        List<Statement> newWrites =
                statements.stream().filter(StatementRunner::isWrite).toList();
        if (readOnly && !newWrites.isEmpty()) {
            throw new FailureException(FailureType.INVALID_STATEMENT, "write statement in a read-only transaction");
        }
        List<StatementResult> newResults = StatementRunner.runAll(overlay, statements);
        overlay.flush();
        writes.addAll(newWrites);
        results.addAll(newResults);
        return newResults;
    }

    /** Sets the idempotency key for the commit. Fails with INVALID_REQUEST if a different key is already set. */
    void setIdempotencyKey(String key) {
        if (!idempotencyKey.isEmpty() && !idempotencyKey.equals(key)) {
            throw new FailureException(
                    FailureType.INVALID_REQUEST, "the transaction already has a different idempotency key");
        }
        idempotencyKey = key;
    }

    /** The idempotency key for the commit; empty if no request has set one. */
    String idempotencyKey() {
        return idempotencyKey;
    }

    /** The term of the request that began the transaction. */
    long term() {
        return term;
    }

    boolean readOnly() {
        return readOnly;
    }

    /** All write statements executed so far. */
    List<Statement> writes() {
        return List.copyOf(writes);
    }

    /** The results of all statements executed so far. */
    List<StatementResult> results() {
        return List.copyOf(results);
    }
}
