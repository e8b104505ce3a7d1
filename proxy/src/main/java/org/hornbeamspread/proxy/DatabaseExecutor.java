package org.hornbeamspread.proxy;

import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.ExecuteStatements;
import org.hornbeamspread.protocol.schema.StatementsExecuted;

/** Runs statements on a database. */
interface DatabaseExecutor {
    /**
     * Runs statements as a separate transaction. Completes on the dispatcher's thread. Fails with the type that the
     * database returned, with DATABASE_UNREACHABLE, WRONG_HOLDER, DEADLINE_BEFORE_START or QUEUE_FULL (not run), or
     * with TIMEOUT_AFTER_SEND or CONNECTION_LOST_AFTER_SEND (outcome unknown).
     */
    CompletableFuture<StatementsExecuted> execute(
            ViewSnapshot view, DatabaseEntry database, RequestContext context, ExecuteStatements statements);
}
