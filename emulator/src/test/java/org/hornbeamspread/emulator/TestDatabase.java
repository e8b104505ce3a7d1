package org.hornbeamspread.emulator;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.protocol.schema.Connect;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.ExecuteStatements;
import org.hornbeamspread.protocol.schema.Fence;
import org.hornbeamspread.protocol.schema.Follow;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.protocol.schema.Promote;
import org.hornbeamspread.protocol.schema.Statement;
import org.hornbeamspread.protocol.schema.Subscribe;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerTransport;

/** An emulated database on the loopback interface, with one subscribed and connected client. */
final class TestDatabase implements AutoCloseable, PeerHandler {
    static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final PeerTransport transport = new PeerTransport(1);
    private final BlockingQueue<PositionReport> reports = new LinkedBlockingQueue<>();
    private final DatabaseServer server;
    private final PeerConnection client;
    private final String databaseId;

    TestDatabase(String databaseId, long replicationLagMs, List<Endpoint> announceTo) {
        this.databaseId = databaseId;
        DatabaseSettings settings = new DatabaseSettings(
                databaseId,
                "g1",
                Endpoint.newBuilder().setHost("127.0.0.1").build(),
                "bole",
                "addis",
                announceTo,
                1,
                2,
                0,
                0,
                replicationLagMs,
                "hornbeamspread");
        DatabaseState state =
                new DatabaseState(DatabaseDisk.none(), DatabaseMetadata.initial(1, true), List.of(), RowFault.none());
        this.server = new DatabaseServer(settings, state, new PeerTransport(1));
        this.client = openConnection();
        request(Envelope.newBuilder().setSubscribe(Subscribe.newBuilder().setHeartbeatMs(10_000)));
        request(connectRequest());
    }

    static Envelope.Builder connectRequest() {
        return Envelope.newBuilder().setConnect(Connect.getDefaultInstance());
    }

    static Statement statement(String name, String... arguments) {
        return Statement.newBuilder()
                .setName(name)
                .addAllArguments(List.of(arguments))
                .build();
    }

    static Envelope.Builder writeRequest(long term, String key, Statement... statements) {
        return Envelope.newBuilder()
                .setExecuteStatements(ExecuteStatements.newBuilder()
                        .setTerm(term)
                        .setIdempotencyKey(key)
                        .addAllStatements(List.of(statements)));
    }

    static Envelope.Builder readRequest(Statement... statements) {
        return Envelope.newBuilder()
                .setExecuteStatements(
                        ExecuteStatements.newBuilder().setReadOnly(true).addAllStatements(List.of(statements)));
    }

    static Envelope.Builder fenceRequest(long term) {
        return Envelope.newBuilder().setFence(Fence.newBuilder().setTerm(term));
    }

    static Envelope.Builder promoteRequest(long term) {
        return Envelope.newBuilder().setPromote(Promote.newBuilder().setTerm(term));
    }

    Envelope.Builder followRequest(long term) {
        return Envelope.newBuilder()
                .setFollow(Follow.newBuilder()
                        .setTerm(term)
                        .setPrimaryId(databaseId)
                        .setPrimary(server.endpoint()));
    }

    /** Fences and promotes the database at a term. */
    TestDatabase promoteAt(long term) {
        request(fenceRequest(term));
        request(promoteRequest(term));
        return this;
    }

    PeerConnection openConnection() {
        return transport.connect(server.endpoint(), TIMEOUT, this).join();
    }

    CompletableFuture<Envelope> requestAsync(Envelope.Builder request) {
        return client.request(request.build(), TIMEOUT);
    }

    Envelope request(Envelope.Builder request) {
        return requestAsync(request).join();
    }

    FailureException failureOf(Envelope.Builder request) {
        CompletableFuture<Envelope> response = requestAsync(request);
        return FailureException.of(assertThrows(CompletionException.class, response::join));
    }

    /** The value of a row; empty if the row does not exist. */
    String readValue(String table, String key) {
        Envelope response = request(readRequest(statement("row.get", table, key)));
        return response.getStatementsExecuted().getResults(0).getRowsList().stream()
                .map(row -> row.getColumns(0))
                .findFirst()
                .orElse("");
    }

    PositionReport awaitReport(Predicate<PositionReport> condition) {
        try {
            PositionReport report = reports.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            while (report != null && !condition.test(report)) {
                report = reports.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            }
            if (report == null) {
                throw new AssertionError("no matching position report from database " + databaseId);
            }
            return report;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    void disconnect() {
        client.close();
    }

    DatabaseServer server() {
        return server;
    }

    @Override
    public void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> answer) {}

    @Override
    public void onPush(PeerConnection connection, Envelope push) {
        reports.add(push.getPositionReport());
    }

    @Override
    public void close() {
        server.close();
        transport.close();
    }
}
