package org.hornbeamspread.proxy;

import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hornbeamspread.protocol.schema.Connected;
import org.hornbeamspread.protocol.schema.DatabaseRole;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.Position;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.protocol.schema.Row;
import org.hornbeamspread.protocol.schema.StatementResult;
import org.hornbeamspread.protocol.schema.StatementsExecuted;
import org.hornbeamspread.protocol.schema.Subscribed;
import org.hornbeamspread.protocol.schema.TransactionBegun;
import org.hornbeamspread.protocol.schema.TransactionEnded;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;

/** A database on loopback that queues each statement request for the test; the test sends the response. */
final class FakeDatabase implements PeerHandler {
    /** A request that waits for a response, and its connection. */
    record Call(PeerConnection connection, Envelope request, Consumer<Envelope> answer) {
        void respondExecuted(long term, long index, String value) {
            answer.accept(Envelope.newBuilder()
                    .setStatementsExecuted(StatementsExecuted.newBuilder()
                            .setTerm(term)
                            .setPosition(Position.newBuilder().setTerm(term).setIndex(index))
                            .addResults(StatementResult.newBuilder()
                                    .addRows(Row.newBuilder().addColumns(value))))
                    .build());
        }

        void respondEnded(long term, long index) {
            answer.accept(Envelope.newBuilder()
                    .setTransactionEnded(TransactionEnded.newBuilder()
                            .setTerm(term)
                            .setPosition(Position.newBuilder().setTerm(term).setIndex(index)))
                    .build());
        }

        void respondBegun() {
            answer.accept(Envelope.newBuilder()
                    .setTransactionBegun(TransactionBegun.getDefaultInstance())
                    .build());
        }
    }

    private static final long CALL_TIMEOUT_S = 30;

    private final String databaseId;
    private final PeerServer server;
    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private final List<PeerConnection> subscribers = new CopyOnWriteArrayList<>();
    private final Map<String, CompletableFuture<Void>> closeFutures = new ConcurrentHashMap<>();
    private volatile PositionReport report;

    FakeDatabase(PeerTransport transport, String databaseId, boolean primary) {
        this.databaseId = databaseId;
        this.report = PositionReport.newBuilder()
                .setDatabaseId(databaseId)
                .setIncarnation(1)
                .setTrusted(true)
                .setRole(primary ? DatabaseRole.PRIMARY : DatabaseRole.REPLICA)
                .build();
        this.server = transport
                .listen(Endpoint.newBuilder().setHost("127.0.0.1").build(), this)
                .join();
    }

    String databaseId() {
        return databaseId;
    }

    Endpoint endpoint() {
        return Endpoint.newBuilder().setHost("127.0.0.1").setPort(server.port()).build();
    }

    /** Sets the connection count in the position reports, and pushes a report to the subscribers. */
    void reportConnections(int count) {
        report = report.toBuilder().setConnections(count).build();
        pushReport();
    }

    /** Sets term, synced and applied position, and pushes a report to the subscribers. */
    void advanceLogTo(long term, long index) {
        Position position = Position.newBuilder().setTerm(term).setIndex(index).build();
        report = report.toBuilder()
                .setTerm(term)
                .setFollowedTerm(term)
                .setSynced(position)
                .setApplied(position)
                .build();
        pushReport();
    }

    /** Waits for the next request other than Connect and Subscribe. */
    Call nextCall() {
        try {
            Call call = calls.poll(CALL_TIMEOUT_S, TimeUnit.SECONDS);
            if (call == null) {
                throw new IllegalStateException("no request reached " + databaseId);
            }
            return call;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A future that completes when the connection is closed. */
    CompletableFuture<Void> closeFuture(PeerConnection connection) {
        return closeFutures.computeIfAbsent(connection.remoteAddress(), remote -> new CompletableFuture<>());
    }

    private void pushReport() {
        subscribers.forEach(subscriber ->
                subscriber.push(Envelope.newBuilder().setPositionReport(report).build()));
    }

    @Override
    public void onClose(PeerConnection connection) {
        closeFuture(connection).complete(null);
    }

    @Override
    public void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> answer) {
        switch (request.getBodyCase()) {
            case SUBSCRIBE -> {
                if (!subscribers.contains(connection)) {
                    subscribers.add(connection);
                }
                answer.accept(Envelope.newBuilder()
                        .setSubscribed(Subscribed.newBuilder().setReport(report))
                        .build());
            }
            case CONNECT ->
                answer.accept(Envelope.newBuilder()
                        .setConnected(Connected.newBuilder().setDatabaseId(databaseId))
                        .build());
            default -> calls.add(new Call(connection, request, answer));
        }
    }
}
