package org.hornbeamspread.proxy.session;

import com.google.common.escape.Escaper;
import com.google.common.hash.Hashing;
import com.google.common.net.PercentEscaper;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.placement.Reachability;
import org.hornbeamspread.core.placement.SilenceTimer;
import org.hornbeamspread.core.route.Caller;
import org.hornbeamspread.core.sql.SqlConnection;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlResult;
import org.hornbeamspread.core.sql.SqlStatement;
import org.hornbeamspread.core.sql.SqlStatement.PreparedDefinition;
import org.hornbeamspread.core.sql.TransactionState;

/**
 * A database connection that sessions use in turn, with the session values and prepared statements set on the connection. The
 * name of a prepared statement is derived from its definition: sessions with the same definition share the prepared statement,
 * and no name stands for two definitions.
 */
final class PooledConnection {
    /** Prepared statements on one connection before the connection is reset. */
    private static final int MAX_PREPARED_STATEMENTS = 256;

    /** The length of a SHA-256 hash in hexadecimal digits, so that a longer name is never needed. */
    private static final int MAX_ESCAPED_LENGTH = 64;

    /** How long after a response a connection is taken to work. Connection pools use half a second to a few seconds. */
    private static final long RESPONSE_VALIDITY_MS = 1_000;

    /** A few hundred ordinary session values. Larger ones would be held for sessions that have ended. */
    private static final long MAX_IDLE_VALUE_BYTES = 64 << 10;

    private static final List<SqlRequest> VALIDATION = List.of(
            SqlRequest.internal(new SqlStatement.Begin(true)), SqlRequest.internal(new SqlStatement.Rollback()));

    private static final Escaper NAME_ESCAPER = new PercentEscaper("-_.", false);

    private final SqlConnection connection;

    /** On whose behalf all statements of the connection run. */
    private final Caller caller;

    private final Reachability reachability;
    private final Clock clock;
    private final SilenceTimer silence = new SilenceTimer();
    private long lastResponseAtMs;
    private long idleSinceMs;
    private final Map<String, String> values = new TreeMap<>();

    /** The names of the prepared statements, which stand for their definitions and are short. */
    private final Set<String> prepared = new HashSet<>();

    PooledConnection(SqlConnection connection, Caller caller, Reachability reachability, Clock clock) {
        this.connection = connection;
        this.caller = caller;
        this.reachability = reachability;
        this.clock = clock;
        this.lastResponseAtMs = clock.millis();
    }

    /** Whether the session values on the connection are too large to be held while it is idle. */
    boolean hasLargeValues() {
        long bytes = 0;
        for (Map.Entry<String, String> value : values.entrySet()) {
            bytes += value.getKey().length() + value.getValue().length();
        }
        return bytes > MAX_IDLE_VALUE_BYTES;
    }

    /** Records that the connection is idle from now on. */
    void onIdle() {
        idleSinceMs = clock.millis();
    }

    long idleSinceMs() {
        return idleSinceMs;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    void close() {
        connection.close();
    }

    /** Time without a response while requests are pending on this connection; 0 without pending requests. */
    long silentMs() {
        return silence.silentMs(clock.millis());
    }

    /** When the connection was opened, or last carried a response. */
    long lastResponseAtMs() {
        return lastResponseAtMs;
    }

    /** Records a pause of this proxy itself. */
    void onLocalPause() {
        silence.onLocalPause(clock.millis());
    }

    Caller caller() {
        return caller;
    }

    /** Whether the connection belongs to a caller's workspace. */
    boolean serves(Caller other) {
        return caller.workspace().equals(other.workspace());
    }

    boolean hasValues(Map<String, String> sessionValues) {
        return values.equals(sessionValues);
    }

    /**
     * The name of the prepared statement for a definition: its text with all but letters, digits and a few others escaped, or the hash of a
     * text whose name would be too long. No two definitions share a name, and a name holds no blank and no line end.
     */
    static String preparedName(PreparedDefinition definition) {
        String kind = definition.write() ? "w" : "r";
        String text = definition.text();
        String escaped = text.length() <= MAX_ESCAPED_LENGTH ? NAME_ESCAPER.escape(text) : text;
        return escaped.length() <= MAX_ESCAPED_LENGTH
                ? kind + "_" + escaped
                : kind + "h_" + Hashing.sha256().hashString(text, StandardCharsets.UTF_8);
    }

    /** The requests that set a session's values on the connection; empty if they are set. */
    private List<SqlRequest> valueRequests(Map<String, String> sessionValues) {
        List<SqlRequest> requests = new ArrayList<>();
        boolean surplus = !sessionValues.keySet().containsAll(values.keySet());
        if (surplus || prepared.size() >= MAX_PREPARED_STATEMENTS) {
            requests.add(SqlRequest.internal(new SqlStatement.Reset()));
            values.clear();
            prepared.clear();
        }
        sessionValues.forEach((name, value) -> {
            if (!value.equals(values.put(name, value))) {
                requests.add(SqlRequest.internal(new SqlStatement.SetValue(name, value)));
            }
        });
        return requests;
    }

    /**
     * The request that prepares a statement; empty if it is prepared. An execution may be sent directly behind the request: if the
     * request fails, the database refuses the execution, because no other definition has the name.
     */
    Optional<SqlRequest> prepareRequest(PreparedDefinition definition) {
        String name = preparedName(definition);
        return prepared.add(name)
                ? Optional.of(SqlRequest.internal(new SqlStatement.Prepare(name, definition)))
                : Optional.empty();
    }

    /**
     * Sets a session's values if necessary. Fails with CONNECTION_LOST, and closes the connection, if that does not succeed. No
     * statement of the session may be sent before, as it would run with other values.
     *
     * @param trailing requests that may run with other values, sent in the same batch
     */
    CompletableFuture<List<SqlResult>> setValues(Map<String, String> sessionValues, List<SqlRequest> trailing) {
        List<SqlRequest> requests = new ArrayList<>(valueRequests(sessionValues));
        int valueCount = requests.size();
        requests.addAll(trailing);
        if (requests.isEmpty()) {
            return CompletableFuture.completedFuture(List.of());
        }
        List<CompletableFuture<SqlResult>> results = send(requests);
        return CompletableFuture.allOf(results.toArray(CompletableFuture[]::new))
                .thenApply(ignored -> {
                    List<SqlResult> complete =
                            results.stream().map(CompletableFuture::join).toList();
                    if (!complete.subList(0, valueCount).stream().allMatch(SqlResult::isSuccess)) {
                        close();
                        throw new FailureException(
                                FailureType.CONNECTION_LOST, "the session's values could not be set");
                    }
                    return complete.subList(valueCount, complete.size());
                });
    }

    /** Whether the connection has responded lately, and is therefore taken to work. */
    boolean isProven() {
        return clock.millis() - lastResponseAtMs <= RESPONSE_VALIDITY_MS;
    }

    /**
     * Checks a connection that has not responded lately: one that went silent while it was idle fails here, before a statement is sent
     * that would be in doubt. BEGIN and ROLLBACK occupy no slot of the database.
     */
    CompletableFuture<Void> validate() {
        if (isProven()) {
            return CompletableFuture.completedFuture(null);
        }
        List<CompletableFuture<SqlResult>> results = send(VALIDATION);
        return results.get(results.size() - 1).thenAccept(rolledBack -> {
            if (rolledBack.state() != TransactionState.IDLE) {
                close();
                throw new FailureException(FailureType.CONNECTION_LOST, "the validation left a transaction open");
            }
        });
    }

    /** Sets a session's values if necessary and begins a transaction, whose first result it returns. */
    CompletableFuture<SqlResult> begin(Map<String, String> sessionValues, SqlRequest begin) {
        return setValues(sessionValues, List.of(begin)).thenApply(results -> results.get(0));
    }

    List<CompletableFuture<SqlResult>> send(List<SqlRequest> requests) {
        List<CompletableFuture<SqlResult>> results = connection.send(requests);
        for (CompletableFuture<SqlResult> result : results) {
            reachability.onRequestSent(clock.millis());
            silence.onRequestSent(clock.millis());
            result.whenComplete((response, error) -> {
                if (error == null) {
                    lastResponseAtMs = clock.millis();
                    reachability.onResponse(lastResponseAtMs);
                    silence.onResponse(lastResponseAtMs);
                } else {
                    reachability.onRequestAbandoned();
                    silence.onRequestAbandoned();
                }
            });
        }
        return results;
    }
}
