package org.hornbeamspread.proxy.session;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlResult;
import org.hornbeamspread.core.sql.SqlStatement.PreparedDefinition;

/** Sends a statement on a leased connection, after the statements that restore the session's state there. */
final class StatementSender {
    private StatementSender() {}

    /**
     * Runs one statement as soon as the database's concurrency limit admits it.
     *
     * @param beforeSend called before the statement is sent; returns false if the statement was cancelled in the meantime and
     *     must not be sent, since its connection may already be in use by another session
     * @param definition the statement to prepare first; null for none
     * @param trailing requests pipelined after the statement; the result is delivered after their responses
     * @param callback receives the statement's result, or the error if there is none
     */
    static void send(
            ConnectionLease lease,
            ClientSession session,
            SqlRequest request,
            PreparedDefinition definition,
            List<SqlRequest> trailing,
            int priority,
            BooleanSupplier beforeSend,
            BiConsumer<SqlResult, Throwable> callback) {
        StatementLimiter limiter = lease.pool().limiter();
        limiter.submit(priority, () -> {
            if (!beforeSend.getAsBoolean()) {
                limiter.release(false);
                return;
            }
            sendNow(lease, session, request, definition, trailing, (result, error) -> {
                limiter.release(error == null && result.hasError(SqlError.BUSY));
                callback.accept(result, error);
            });
        });
    }

    private static void sendNow(
            ConnectionLease lease,
            ClientSession session,
            SqlRequest request,
            PreparedDefinition definition,
            List<SqlRequest> trailing,
            BiConsumer<SqlResult, Throwable> callback) {
        List<SqlRequest> all = new ArrayList<>(lease.connection().setUpRequests(session.values(), definition));
        int setUpCount = all.size();
        all.add(request);
        all.addAll(trailing);
        List<CompletableFuture<SqlResult>> results = lease.connection().send(all);
        CompletableFuture<SqlResult> last = results.get(results.size() - 1);
        CompletableFuture<SqlResult> statement = results.get(setUpCount);
        last.whenComplete((ignored, error) -> {
            boolean setUpFailed = results.subList(0, setUpCount).stream()
                    .anyMatch(result -> result.isDone()
                            && !result.isCompletedExceptionally()
                            && !result.join().isSuccess());
            if (setUpFailed) {
                lease.connection().close();
            }
            statement.whenComplete(callback);
        });
    }
}
