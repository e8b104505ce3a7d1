package org.hornbeamspread.proxy;

import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.ExecuteStatements;
import org.hornbeamspread.protocol.schema.StatementsExecuted;

/** Runs statements at a database. */
interface DatabaseExecutor {
    /**
     * Runs statements as a transaction of their own. Completes on the dispatcher's thread. Fails with the database's own
     * type, or DATABASE_UNREACHABLE, WRONG_HOLDER, DEADLINE_BEFORE_START or QUEUE_FULL (not run), or TIMEOUT_AFTER_SEND
     * or CONNECTION_LOST_AFTER_SEND (unknown).
     */
    CompletableFuture<StatementsExecuted> execute(
            ViewSnapshot view, DatabaseEntry database, RequestContext order, ExecuteStatements statements);
}
