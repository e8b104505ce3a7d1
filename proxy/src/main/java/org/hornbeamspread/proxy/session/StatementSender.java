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

/** Sends a statement on a leased connection, behind what the connection must hold for its session. */
final class StatementSender {
    private StatementSender() {}

    /**
     * Runs one statement, as soon as the database's gate lets it through.
     *
     * @param onSend called before it is sent; false when it is not wanted any more, and must not be sent: its connection may be
     *     another's by now
     * @param shape to be prepared first; null for none
     * @param behind sent behind the statement, without waiting for it
     * @param end told the statement's result, or why there is none
     */
    static void send(
            ConnectionLease lease,
            ClientSession session,
            SqlRequest request,
            PreparedDefinition shape,
            List<SqlRequest> behind,
            int priority,
            BooleanSupplier onSend,
            BiConsumer<SqlResult, Throwable> end) {
        StatementGate gate = lease.link().gate();
        gate.enter(priority, () -> {
            if (!onSend.getAsBoolean()) {
                gate.leave(false);
                return;
            }
            sendNow(lease, session, request, shape, behind, (result, error) -> {
                gate.leave(error == null && result.hasError(SqlError.BUSY));
                end.accept(result, error);
            });
        });
    }

    private static void sendNow(
            ConnectionLease lease,
            ClientSession session,
            SqlRequest request,
            PreparedDefinition shape,
            List<SqlRequest> behind,
            BiConsumer<SqlResult, Throwable> end) {
        List<SqlRequest> all = new ArrayList<>(lease.connection().setUp(session.values(), shape));
        int setUps = all.size();
        all.add(request);
        all.addAll(behind);
        List<CompletableFuture<SqlResult>> results = lease.connection().send(all);
        CompletableFuture<SqlResult> last = results.get(results.size() - 1);
        CompletableFuture<SqlResult> statement = results.get(setUps);
        last.whenComplete((ignored, error) -> {
            boolean setUpFailed = results.subList(0, setUps).stream()
                    .anyMatch(result -> result.isDone()
                            && !result.isCompletedExceptionally()
                            && !result.join().isSuccess());
            if (setUpFailed) {
                lease.connection().close();
            }
            statement.whenComplete(end);
        });
    }
}
