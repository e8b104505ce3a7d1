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
 * Monitors one database over an administrative connection: receives the database's position reports and requests its
 * position. The connection doesn't count against the connection limit of the database. Confined to the dispatcher's
 * thread.
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

    /** Completes with the response to a position request that has not been sent yet; null if there is none. */
    private CompletableFuture<PositionReport> queuedRequest;

    private boolean requestInFlight;

    DatabaseMonitor(
            Dispatcher dispatcher,
            PeerTransport transport,
            DatabaseEntry entry,
            Consumer<PositionReport> onReport,
            IntConsumer onBytesTransferred) {
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.databaseId = entry.getDatabaseId();
        this.endpoint = entry.getEndpoint();
        this.onReport = onReport;
        this.onBytesTransferred = onBytesTransferred;
        this.lastReportAt = dispatcher.clock().instant();
    }

    /** Connects to the endpoint of the database's entry in the view, and closes a connection to an earlier endpoint. */
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

    /**
     * Closes a connection without reports for {@link #SILENCE_TIMEOUT}, and reconnects if necessary. Called
     * periodically.
     */
    void checkConnection() {
        if (connection != null && timeSinceLastReport().compareTo(SILENCE_TIMEOUT) > 0) {
            disconnect();
        }
        connect();
    }

    /** The time since the last report of the database, or since the connection was opened if that is later. */
    Duration timeSinceLastReport() {
        return Duration.between(lastReportAt, dispatcher.clock().instant());
    }

    boolean isConnected() {
        return connection != null && connection.isOpen();
    }

    /** The latest report, even if its connection has been lost since. */
    Optional<PositionReport> lastReport() {
        return lastReport;
    }

    /**
     * Requests the database's position. The position is sampled after this call; calls while a request is in flight
     * share the next request.
     */
    CompletableFuture<PositionReport> requestPosition() {
        if (queuedRequest == null) {
            queuedRequest = new CompletableFuture<>();
        }
        CompletableFuture<PositionReport> response = queuedRequest;
        sendQueuedRequest();
        return response;
    }

    private void sendQueuedRequest() {
        if (requestInFlight || queuedRequest == null) {
            return;
        }
        CompletableFuture<PositionReport> request = queuedRequest;
        queuedRequest = null;
        if (!isConnected()) {
            request.completeExceptionally(new FailureException(FailureType.DATABASE_UNREACHABLE, databaseId));
            return;
        }
        requestInFlight = true;
        onBytesTransferred.accept(subscribeRequest().getSerializedSize());
        PeerConnection target = connection;
        Futures.startWithTimeout(dispatcher, RESPONSE_TIMEOUT, () -> target.request(subscribeRequest()))
                .whenCompleteAsync(
                        (response, error) -> {
                            requestInFlight = false;
                            if (error != null) {
                                request.completeExceptionally(
                                        new FailureException(FailureType.DATABASE_UNREACHABLE, databaseId));
                            } else {
                                PositionReport report = response.getSubscribed().getReport();
                                handleReport(report);
                                request.complete(report);
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
        Endpoint target = endpoint;
        Futures.start(() -> transport.connect(target, RESPONSE_TIMEOUT, new ReportHandler()))
                .whenCompleteAsync(
                        (opened, error) -> {
                            connecting = false;
                            if (error == null) {
                                onConnected(opened, target);
                            } else if (!closed) {
                                dispatcher.schedule(RECONNECT_BACKOFF, this::connect);
                            }
                        },
                        dispatcher);
    }

    private void onConnected(PeerConnection opened, Endpoint target) {
        if (closed || !target.equals(endpoint)) {
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

    /**
     * Receives pushed reports and rejects requests. A report that arrives while the dispatcher's queue is more than
     * half full is dropped, because a newer report follows.
     */
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
