package org.hornbeamspread.proxy.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.hornbeamspread.core.admission.WorkspaceShare;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlResult;
import org.hornbeamspread.core.sql.SqlStatement.PreparedDefinition;

/**
 * Sends a statement on a leased connection, after the requests that restore the session's state there. The statement is sent only
 * once the session's values are set. A successful result is delivered only if its own answer arrived and the statement was
 * prepared successfully before.
 */
final class StatementSender {
    private final ConnectionLease lease;
    private final SqlRequest request;

    /** The statement to prepare first. */
    private final Optional<PreparedDefinition> definition;

    /** Requests pipelined after the statement; the result is delivered after their responses. */
    private final List<SqlRequest> trailing;

    /**
     * Called before the statement is sent; returns false if the statement was cancelled in the meantime and must not be sent, since
     * its connection may already be in use by another session.
     */
    private final BooleanSupplier beforeSend;

    /** Receives the statement's result, or the error if there is none. */
    private final BiConsumer<SqlResult, Throwable> callback;

    StatementSender(
            ConnectionLease lease,
            SqlRequest request,
            Optional<PreparedDefinition> definition,
            List<SqlRequest> trailing,
            BooleanSupplier beforeSend,
            BiConsumer<SqlResult, Throwable> callback) {
        this.lease = lease;
        this.request = request;
        this.definition = definition;
        this.trailing = List.copyOf(trailing);
        this.beforeSend = beforeSend;
        this.callback = callback;
    }

    /** Sets the session's values if necessary, and then sends the statement as soon as the concurrency limit admits it. */
    void send(ClientSession session, int priority, WorkspaceShare share) {
        lease.connection().setValues(session.values(), List.of()).whenComplete((ignored, error) -> {
            if (error == null) {
                submit(priority, share);
            } else {
                callback.accept(null, error);
            }
        });
    }

    private void submit(int priority, WorkspaceShare share) {
        lease.pool().limiter().submit(priority, share, place -> {
            if (!beforeSend.getAsBoolean()) {
                place.release(false);
                return;
            }
            sendNow((result, error) -> {
                place.release(error == null && result.hasError(SqlError.BUSY));
                callback.accept(result, error);
            });
        });
    }

    private void sendNow(BiConsumer<SqlResult, Throwable> onResult) {
        Optional<SqlRequest> prepare = definition.flatMap(lease.connection()::prepareRequest);
        List<SqlRequest> batch = new ArrayList<>();
        prepare.ifPresent(batch::add);
        batch.add(request);
        batch.addAll(trailing);
        List<CompletableFuture<SqlResult>> results = lease.connection().send(batch);
        CompletableFuture<SqlResult> statement = results.get(batch.indexOf(request));
        results.get(results.size() - 1)
                .whenComplete((ignored, error) -> statement.whenComplete((result, failure) -> {
                    if (prepare.isEmpty() || succeeded(results.get(0))) {
                        onResult.accept(result, failure);
                        return;
                    }
                    lease.connection().close();
                    if (failure == null && !result.isSuccess()) {
                        onResult.accept(result, null);
                    } else {
                        onResult.accept(
                                null,
                                new FailureException(
                                        FailureType.CONNECTION_LOST, "the statement could not be prepared"));
                    }
                }));
    }

    private static boolean succeeded(CompletableFuture<SqlResult> result) {
        return result.isDone()
                && !result.isCompletedExceptionally()
                && result.join().isSuccess();
    }
}
