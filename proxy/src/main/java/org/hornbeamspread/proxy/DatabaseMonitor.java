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
final class DatabaseMonitor {
    private static final int HEARTBEAT_MS = 100;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(500);
    private static final Duration RECONNECT_BACKOFF = Duration.ofMillis(100);
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(1);

    private final Dispatcher dispatcher;
    private final PeerTransport transport;
    private final String databaseId;
    private final Consumer<PositionReport> onReport;
    private final IntConsumer onBytesTransferred;

    private Endpoint endpoint;

    /** Null while not connected. */
    private PeerConnection connection;

    private boolean connecting;
    private boolean closed;
    private Instant lastReportAt;
    private Optional<PositionReport> lastReport = Optional.empty();

    /** Waiting for an answer to a question that is not sent yet; null while there is no such question. */
    private CompletableFuture<PositionReport> queuedRequest;

    private boolean requestInFlight;

    DatabaseMonitor(
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
        this.onBytesTransferred = onBytes;
        this.lastReportAt = dispatcher.clock().instant();
    }

    /** Follows the database to the endpoint that the view names. */
    void updateEndpoint(DatabaseEntry entry) {
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
    void checkConnection() {
        if (connection != null && timeSinceLastReport().compareTo(SILENCE_TIMEOUT) > 0) {
            disconnect();
        }
        connect();
    }

    /** How long the database has said nothing. */
    Duration timeSinceLastReport() {
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
    CompletableFuture<PositionReport> requestPosition() {
        if (queuedRequest == null) {
            queuedRequest = new CompletableFuture<>();
        }
        CompletableFuture<PositionReport> mine = queuedRequest;
        sendQueuedRequest();
        return mine;
    }

    private void sendQueuedRequest() {
        if (requestInFlight || queuedRequest == null) {
            return;
        }
        CompletableFuture<PositionReport> question = queuedRequest;
        queuedRequest = null;
        if (!isConnected()) {
            question.completeExceptionally(new FailureException(FailureType.DATABASE_UNREACHABLE, databaseId));
            return;
        }
        requestInFlight = true;
        onBytesTransferred.accept(subscribeRequest().getSerializedSize());
        connection
                .request(subscribeRequest(), RESPONSE_TIMEOUT)
                .whenCompleteAsync(
                        (answer, error) -> {
                            requestInFlight = false;
                            if (error != null) {
                                question.completeExceptionally(
                                        new FailureException(FailureType.DATABASE_UNREACHABLE, databaseId));
                            } else {
                                PositionReport report = answer.getSubscribed().getReport();
                                handleReport(report);
                                question.complete(report);
                            }
                            sendQueuedRequest();
                        },
                        dispatcher);
    }

    private void connect() {
        if (closed || connecting || isConnected()) {
            return;
        }
        connecting = true;
        Endpoint wanted = endpoint;
        Futures.start(() -> transport.connect(wanted, RESPONSE_TIMEOUT, new ReportHandler()))
                .whenCompleteAsync(
                        (opened, error) -> {
                            connecting = false;
                            if (error == null) {
                                onConnected(opened, wanted);
                            } else if (!closed) {
                                dispatcher.schedule(RECONNECT_BACKOFF, this::connect);
                            }
                        },
                        dispatcher);
    }

    private void onConnected(PeerConnection opened, Endpoint wanted) {
        if (closed || !wanted.equals(endpoint)) {
            opened.close();
            return;
        }
        connection = opened;
        lastReportAt = dispatcher.clock().instant();
        requestPosition().exceptionally(error -> PositionReport.getDefaultInstance());
    }

    private void disconnect() {
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }

    private void handleReport(PositionReport report) {
        if (!report.getDatabaseId().equals(databaseId)) {
            return;
        }
        lastReportAt = dispatcher.clock().instant();
        lastReport = Optional.of(report);
        onBytesTransferred.accept(report.getSerializedSize());
        onReport.accept(report);
    }

    private static Envelope subscribeRequest() {
        return Envelope.newBuilder()
                .setSubscribe(Subscribe.newBuilder().setHeartbeatMs(HEARTBEAT_MS))
                .build();
    }

    /** Pushed reports; a report that finds the ring half full is dropped, since a newer one follows. */
    private final class ReportHandler implements PeerHandler {
        @Override
        public void onRequest(PeerConnection peer, Envelope request, Consumer<Envelope> answer) {
            answer.accept(Envelopes.failureEnvelope(new FailureException(
                    FailureType.UNKNOWN_METHOD, request.getBodyCase().name())));
        }

        @Override
        public void onPush(PeerConnection peer, Envelope push) {
            if (push.hasPositionReport()) {
                dispatcher.tryExecute(() -> handleReport(push.getPositionReport()));
            }
        }
    }
}
