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

/** A database on loopback whose answers are given by the test: each statement request is handed to it. */
final class FakeDatabase implements PeerHandler {
    /** A request that waits for its answer, and the connection it came on. */
    record Call(PeerConnection connection, Envelope request, Consumer<Envelope> answer) {
        void executed(long term, long index, String value) {
            answer.accept(Envelope.newBuilder()
                    .setStatementsExecuted(StatementsExecuted.newBuilder()
                            .setTerm(term)
                            .setPosition(Position.newBuilder().setTerm(term).setIndex(index))
                            .addResults(StatementResult.newBuilder()
                                    .addRows(Row.newBuilder().addColumns(value))))
                    .build());
        }

        void ended(long term, long index) {
            answer.accept(Envelope.newBuilder()
                    .setTransactionEnded(TransactionEnded.newBuilder()
                            .setTerm(term)
                            .setPosition(Position.newBuilder().setTerm(term).setIndex(index)))
                    .build());
        }

        void begun() {
            answer.accept(Envelope.newBuilder()
                    .setTransactionBegun(TransactionBegun.getDefaultInstance())
                    .build());
        }
    }

    private static final long WAIT_S = 30;

    private final String databaseId;
    private final PeerServer server;
    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();
    private final List<PeerConnection> subscribers = new CopyOnWriteArrayList<>();
    private final Map<String, CompletableFuture<Void>> closing = new ConcurrentHashMap<>();
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

    /** Changes how many connections the reports count, and tells the subscribers. */
    void countConnections(int count) {
        report = report.toBuilder().setConnections(count).build();
        push();
    }

    /** Moves the log's end and tells the subscribers. */
    void moveTo(long term, long index) {
        Position position = Position.newBuilder().setTerm(term).setIndex(index).build();
        report = report.toBuilder()
                .setTerm(term)
                .setFollowedTerm(term)
                .setSynced(position)
                .setApplied(position)
                .build();
        push();
    }

    /** The next request of a kind other than Connect and Subscribe. */
    Call next() {
        try {
            Call call = calls.poll(WAIT_S, TimeUnit.SECONDS);
            if (call == null) {
                throw new IllegalStateException("no request reached " + databaseId);
            }
            return call;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Completes when the connection is closed. */
    CompletableFuture<Void> closed(PeerConnection connection) {
        return closing.computeIfAbsent(connection.remoteAddress(), remote -> new CompletableFuture<>());
    }

    private void push() {
        subscribers.forEach(subscriber ->
                subscriber.push(Envelope.newBuilder().setPositionReport(report).build()));
    }

    @Override
    public void onClose(PeerConnection connection) {
        closed(connection).complete(null);
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
