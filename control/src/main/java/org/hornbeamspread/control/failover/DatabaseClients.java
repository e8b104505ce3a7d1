package org.hornbeamspread.control.failover;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.hornbeamspread.control.view.ViewMessages;
import org.hornbeamspread.core.failover.FailoverEffect;
import org.hornbeamspread.core.membership.AnnouncedDatabase;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.Fence;
import org.hornbeamspread.protocol.schema.Follow;
import org.hornbeamspread.protocol.schema.Following;
import org.hornbeamspread.protocol.schema.Promote;
import org.hornbeamspread.protocol.schema.Readmit;
import org.hornbeamspread.protocol.schema.Subscribe;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerTransport;

/**
 * Administrative connections to databases, one for each address, and the commands sent over them. The responses are
 * passed to the coordinator as events. Thread-safe.
 */
final class DatabaseClients {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(1);

    /** A heartbeat interval of one hour: the database pushes no reports except for changes. */
    private static final int NO_HEARTBEAT_MS = 3_600_000;

    private final PeerTransport transport;
    private final Consumer<ControlEvent> events;
    private final ControlMetrics metrics;
    private final Map<Endpoint, CompletableFuture<PeerConnection>> connections = new ConcurrentHashMap<>();

    DatabaseClients(PeerTransport transport, Consumer<ControlEvent> events, ControlMetrics metrics) {
        this.transport = transport;
        this.events = events;
        this.metrics = metrics;
    }

    /** Fences a database: raises its term. */
    void fence(AnnouncedDatabase database, long term) {
        Envelope request =
                Envelope.newBuilder().setFence(Fence.newBuilder().setTerm(term)).build();
        send("fence", database, request).whenComplete((response, error) -> {
            if (error == null) {
                events.accept(new ControlEvent.StatusReported(
                        ViewMessages.status(response.getFenced().getReport())));
            } else if (recordFailure(database, error) == FailureType.WRONG_TERM) {
                probe(database);
            }
        });
    }

    /** Makes a fenced database primary. */
    void promote(AnnouncedDatabase database, long term) {
        Envelope request = Envelope.newBuilder()
                .setPromote(Promote.newBuilder().setTerm(term))
                .build();
        send("promote", database, request).whenComplete((response, error) -> {
            if (error == null) {
                events.accept(new ControlEvent.BecamePrimary(
                        database.databaseId(),
                        database.status().incarnation(),
                        term,
                        Envelopes.position(response.getPromoted().getMarker())));
            } else if (recordFailure(database, error) == FailureType.WRONG_TERM) {
                events.accept(new ControlEvent.PromoteRefused(database.group(), term));
            }
        });
    }

    /** Makes a database a replica of a primary. */
    void follow(AnnouncedDatabase database, long term, AnnouncedDatabase primary) {
        Envelope request = Envelope.newBuilder()
                .setFollow(Follow.newBuilder()
                        .setTerm(term)
                        .setPrimaryId(primary.databaseId())
                        .setPrimary(ViewMessages.toWire(primary.address())))
                .build();
        send("follow", database, request).whenComplete((response, error) -> {
            if (error == null) {
                Following following = response.getFollowing();
                metrics.countEntriesSetAside(following.getEntriesSetAside());
                events.accept(new ControlEvent.FollowConfirmed(
                        database.group(), ViewMessages.status(following.getReport()), term));
            } else {
                recordFailure(database, error);
            }
        });
    }

    /** Notifies a database that lost its disk that it is trusted again and counts in quorums. */
    void readmit(AnnouncedDatabase database, FailoverEffect.Readmit readmit) {
        Envelope request = Envelope.newBuilder()
                .setReadmit(Readmit.newBuilder().setTerm(readmit.term()).setIncarnation(readmit.incarnation()))
                .build();
        send("readmit", database, request).whenComplete((response, error) -> {
            if (error == null) {
                probe(database);
            } else {
                recordFailure(database, error);
            }
        });
    }

    /**
     * Requests a database's status over a separate connection. A connection that is refused before the connect timeout
     * is reported as {@link ControlEvent.ConnectionRefused}, since no process listens at the address any more.
     */
    void probe(AnnouncedDatabase database) {
        Envelope request = Envelope.newBuilder()
                .setSubscribe(Subscribe.newBuilder().setHeartbeatMs(NO_HEARTBEAT_MS))
                .build();
        PeerHandler handler = (connection, frame, replyCallback) -> refuseRequest(replyCallback);
        metrics.countCommand("probe");
        long connectStartNs = System.nanoTime();
        transport
                .connect(ViewMessages.toWire(database.address()), CONNECT_TIMEOUT, handler)
                .thenCompose(connection -> connection
                        .request(request, COMMAND_TIMEOUT)
                        .whenComplete((response, error) -> connection.close()))
                .whenComplete((response, error) -> {
                    if (error == null) {
                        events.accept(new ControlEvent.StatusReported(
                                ViewMessages.status(response.getSubscribed().getReport())));
                    } else {
                        boolean beforeTimeout = System.nanoTime() - connectStartNs < CONNECT_TIMEOUT.toNanos();
                        if (recordFailure(database, error) == FailureType.CONNECTION_REFUSED && beforeTimeout) {
                            events.accept(new ControlEvent.ConnectionRefused(database.databaseId()));
                        }
                    }
                });
    }

    private CompletableFuture<Envelope> send(String kind, AnnouncedDatabase database, Envelope request) {
        metrics.countCommand(kind);
        return openConnection(ViewMessages.toWire(database.address()))
                .thenCompose(connection -> connection.request(request, COMMAND_TIMEOUT));
    }

    private CompletableFuture<PeerConnection> openConnection(Endpoint endpoint) {
        CompletableFuture<PeerConnection> existing = connections.get(endpoint);
        boolean usable = existing != null
                && !existing.isCompletedExceptionally()
                && (!existing.isDone() || existing.join().isOpen());
        if (usable) {
            return existing;
        }
        PeerHandler handler = (connection, request, replyCallback) -> refuseRequest(replyCallback);
        CompletableFuture<PeerConnection> opening = transport.connect(endpoint, CONNECT_TIMEOUT, handler);
        connections.put(endpoint, opening);
        return opening;
    }

    private FailureType recordFailure(AnnouncedDatabase database, Throwable error) {
        FailureType type = FailureException.of(error).type();
        metrics.countFailure(type);
        if (type == FailureType.CONNECTION_REFUSED) {
            connections.remove(ViewMessages.toWire(database.address()));
        }
        return type;
    }

    private static void refuseRequest(Consumer<Envelope> replyCallback) {
        replyCallback.accept(Envelopes.failureEnvelope(
                new FailureException(FailureType.INVALID_REQUEST, "control answers no requests on this connection")));
    }
}
