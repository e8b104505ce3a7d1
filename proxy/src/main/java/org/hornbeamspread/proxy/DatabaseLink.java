package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.protocol.schema.Subscribe;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerTransport;

/**
 * The administrative connection to one database: its position reports, and questions for its position. It counts
 * against no limit of the database. All state belongs to the dispatcher's thread.
 */
final class DatabaseLink {
    private static final int HEARTBEAT_MS = 100;
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);
    private static final Duration RECONNECT_PAUSE = Duration.ofMillis(100);
    private static final Duration SILENT_CONNECTION = Duration.ofSeconds(1);

    private final Dispatcher dispatcher;
    private final PeerTransport transport;
    private final String databaseId;
    private final Consumer<PositionReport> onReport;
    private final IntConsumer onBytes;

    private Endpoint endpoint;

    /** Null while not connected. */
    private PeerConnection connection;

    private boolean connecting;
    private boolean closed;
    private Instant lastReportAt;
    private Optional<PositionReport> lastReport = Optional.empty();

    /** Waiting for an answer to a question that is not sent yet; null while there is no such question. */
    private CompletableFuture<PositionReport> nextQuestion;

    private boolean questionInFlight;

    DatabaseLink(
            Dispatcher dispatcher,
            PeerTransport transport,
            DatabaseEntry entry,
            Consumer<PositionReport> onReport,
            IntConsumer onBytes) {
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.databaseId = entry.getDatabaseId();
        this.endpoint = entry.getEndpoint();
        this.onReport = onReport;
        this.onBytes = onBytes;
        this.lastReportAt = dispatcher.clock().instant();
    }

    /** Follows the database to the endpoint that the view names. */
    void update(DatabaseEntry entry) {
        if (!entry.getEndpoint().equals(endpoint)) {
            endpoint = entry.getEndpoint();
            disconnect();
        }
        connect();
    }

    void close() {
        closed = true;
        disconnect();
    }

    /** Connects again where needed, and gives up a connection that has fallen silent. Called every now and then. */
    void check() {
        if (connection != null && silence().compareTo(SILENT_CONNECTION) > 0) {
            disconnect();
        }
        connect();
    }

    /** How long the database has said nothing. */
    Duration silence() {
        return Duration.between(lastReportAt, dispatcher.clock().instant());
    }

    boolean isConnected() {
        return connection != null && connection.isOpen();
    }

    /** The latest report, also of a connection that has broken since. */
    Optional<PositionReport> lastReport() {
        return lastReport;
    }

    /**
     * Asks the database for its position. The answer is of a moment after this call; questions that arrive while one
     * is in flight share the next one.
     */
    CompletableFuture<PositionReport> askPosition() {
        if (nextQuestion == null) {
            nextQuestion = new CompletableFuture<>();
        }
        CompletableFuture<PositionReport> mine = nextQuestion;
        sendQuestion();
        return mine;
    }

    private void sendQuestion() {
        if (questionInFlight || nextQuestion == null) {
            return;
        }
        CompletableFuture<PositionReport> question = nextQuestion;
        nextQuestion = null;
        if (!isConnected()) {
            question.completeExceptionally(new FailureException(FailureType.DATABASE_UNREACHABLE, databaseId));
            return;
        }
        questionInFlight = true;
        onBytes.accept(subscribe().getSerializedSize());
        connection
                .request(subscribe(), ANSWER_TIMEOUT)
                .whenCompleteAsync(
                        (answer, error) -> {
                            questionInFlight = false;
                            if (error != null) {
                                question.completeExceptionally(
                                        new FailureException(FailureType.DATABASE_UNREACHABLE, databaseId));
                            } else {
                                PositionReport report = answer.getSubscribed().getReport();
                                reported(report);
                                question.complete(report);
                            }
                            sendQuestion();
                        },
                        dispatcher);
    }

    private void connect() {
        if (closed || connecting || isConnected()) {
            return;
        }
        connecting = true;
        Endpoint wanted = endpoint;
        Futures.start(() -> transport.connect(wanted, ANSWER_TIMEOUT, new Reports()))
                .whenCompleteAsync(
                        (opened, error) -> {
                            connecting = false;
                            if (error == null) {
                                connected(opened, wanted);
                            } else if (!closed) {
                                dispatcher.schedule(RECONNECT_PAUSE, this::connect);
                            }
                        },
                        dispatcher);
    }

    private void connected(PeerConnection opened, Endpoint wanted) {
        if (closed || !wanted.equals(endpoint)) {
            opened.close();
            return;
        }
        connection = opened;
        lastReportAt = dispatcher.clock().instant();
        askPosition().exceptionally(error -> PositionReport.getDefaultInstance());
    }

    private void disconnect() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void reported(PositionReport report) {
        if (!report.getDatabaseId().equals(databaseId)) {
            return;
        }
        lastReportAt = dispatcher.clock().instant();
        lastReport = Optional.of(report);
        onBytes.accept(report.getSerializedSize());
        onReport.accept(report);
    }

    private static Envelope subscribe() {
        return Envelope.newBuilder()
                .setSubscribe(Subscribe.newBuilder().setHeartbeatMs(HEARTBEAT_MS))
                .build();
    }

    /** Pushed reports; a report that finds the ring half full is dropped, since a newer one follows. */
    private final class Reports implements PeerHandler {
        @Override
        public void onRequest(PeerConnection peer, Envelope request, Consumer<Envelope> answer) {
            answer.accept(Envelopes.failureEnvelope(new FailureException(
                    FailureType.UNKNOWN_METHOD, request.getBodyCase().name())));
        }

        @Override
        public void onPush(PeerConnection peer, Envelope push) {
            if (push.hasPositionReport()) {
                dispatcher.tryExecute(() -> reported(push.getPositionReport()));
            }
        }
    }
}
