package org.hornbeamspread.emulator;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Announce;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.Fence;
import org.hornbeamspread.protocol.schema.Fenced;
import org.hornbeamspread.protocol.schema.Follow;
import org.hornbeamspread.protocol.schema.Following;
import org.hornbeamspread.protocol.schema.LogRead;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.protocol.schema.Promote;
import org.hornbeamspread.protocol.schema.Promoted;
import org.hornbeamspread.protocol.schema.ReadLog;
import org.hornbeamspread.protocol.schema.Readmit;
import org.hornbeamspread.protocol.schema.Readmitted;
import org.hornbeamspread.protocol.schema.Subscribe;
import org.hornbeamspread.protocol.schema.Subscribed;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;

/**
 * An emulated database that serves requests on an endpoint. Network threads only enqueue requests for the decision
 * thread, which owns the state, the slots and the subscriptions.
 */
final class DatabaseServer implements PeerHandler, AutoCloseable {
    private static final Logger LOG = System.getLogger(DatabaseServer.class.getName());
    private static final Duration FOLLOW_ANSWER_TIMEOUT = Duration.ofMillis(500);
    private static final Duration DEPARTURE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration DEPARTURE_CHECK_INTERVAL = Duration.ofMillis(100);
    private static final Duration BIND_TIMEOUT = Duration.ofSeconds(5);

    private final DatabaseSettings settings;
    private final DatabaseState state;
    private final PeerTransport transport;
    private final EventLoop eventLoop = new EventLoop(() -> {});
    private final StatementService statements;
    private final LogFollower follower;
    private final PositionSubscribers subscribers;
    private final Announcer announcer;
    private final List<Consumer<Integer>> pendingReads = new ArrayList<>();
    private final PeerServer server;
    private final Endpoint endpoint;
    private boolean departing;

    /** Starts listening and announcing. Fails with CONNECTION_REFUSED if the endpoint can't be bound. */
    DatabaseServer(DatabaseSettings settings, DatabaseState state, PeerTransport transport) {
        this.settings = settings;
        this.state = state;
        this.transport = transport;
        this.subscribers = new PositionSubscribers(eventLoop, this::report);
        this.statements = new StatementService(settings, state, eventLoop, this::handleStateChange);
        this.follower = new LogFollower(settings, state, eventLoop, transport, this::handleStateChange);
        this.announcer = new Announcer(eventLoop, transport, this::announcement);
        eventLoop.start();
        this.server = transport
                .listen(settings.endpoint(), this)
                .orTimeout(BIND_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .join();
        this.endpoint = settings.endpoint().toBuilder().setPort(server.port()).build();
        eventLoop.submit(() -> settings.announceTo().forEach(announcer::addEndpoint));
    }

    /** The endpoint on which the server listens, with the bound port. */
    Endpoint endpoint() {
        return endpoint;
    }

    /** Announces the departure. Completes when no connection is left, or after five seconds. */
    CompletableFuture<Void> depart() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        eventLoop.submit(() -> {
            departing = true;
            LOG.log(Level.INFO, "database {0} is departing", settings.databaseId());
            announcer.announceNow();
            subscribers.schedulePush();
            eventLoop.schedule(DEPARTURE_CHECK_INTERVAL, () -> completeWhenDrained(drained));
        });
        return drained.completeOnTimeout(null, DEPARTURE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        server.close();
        eventLoop.close();
        transport.close();
    }

    @Override
    public void onOpen(PeerConnection connection) {
        connection.attach(new ClientSession());
    }

    @Override
    public void onClose(PeerConnection connection) {
        eventLoop.submit(() -> {
            subscribers.remove(connection);
            statements.close(session(connection));
        });
    }

    @Override
    public void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> answer) {
        Runnable task = () -> {
            try {
                handle(connection, request, answer);
            } catch (FailureException e) {
                answer.accept(Envelopes.failureEnvelope(e));
            }
        };
        if (!eventLoop.offer(task)) {
            answer.accept(Envelopes.failureEnvelope(new FailureException(
                    FailureType.RING_FULL, "request queue is full, database " + settings.databaseId())));
        }
    }

    private void handle(PeerConnection connection, Envelope request, Consumer<Envelope> answer) {
        switch (request.getBodyCase()) {
            case CONNECT -> statements.connect(session(connection), departing, answer);
            case BEGIN_TRANSACTION, EXECUTE_STATEMENTS, COMMIT_TRANSACTION, ROLLBACK_TRANSACTION ->
                enqueue(session(connection), request, answer);
            case LOOK_UP_KEY -> statements.lookUp(request.getLookUpKey(), answer);
            case SUBSCRIBE -> answer.accept(subscribe(connection, request.getSubscribe()));
            case FENCE -> answer.accept(fence(request.getFence()));
            case PROMOTE -> answer.accept(promote(request.getPromote()));
            case FOLLOW -> follow(request.getFollow(), answer);
            case READMIT -> answer.accept(readmit(request.getReadmit()));
            case READ_LOG -> readLog(request.getReadLog(), answer);
            default ->
                throw new FailureException(
                        FailureType.INVALID_REQUEST, request.getBodyCase().name());
        }
    }

    private void enqueue(ClientSession session, Envelope request, Consumer<Envelope> answer) {
        String key = idempotencyKey(request);
        statements.requestArrived(key);
        session.submit(() -> handleInOrder(session, request, answer, () -> {
            statements.requestCompleted(key);
            session.completeRequest();
        }));
    }

    private void handleInOrder(
            ClientSession session, Envelope request, Consumer<Envelope> answer, Runnable onComplete) {
        if (session.isClosed()) {
            onComplete.run();
            return;
        }
        if (request.hasExecuteStatements()) {
            statements.execute(session, request.getExecuteStatements(), answer, onComplete);
            return;
        }
        answer.accept(StatementService.resultOrFailure(() -> switch (request.getBodyCase()) {
            case BEGIN_TRANSACTION -> statements.begin(session, request.getBeginTransaction());
            case COMMIT_TRANSACTION -> statements.commit(session, request.getCommitTransaction());
            default -> statements.rollback(session);
        }));
        onComplete.run();
    }

    private static String idempotencyKey(Envelope request) {
        return request.hasExecuteStatements()
                ? request.getExecuteStatements().getIdempotencyKey()
                : request.getCommitTransaction().getIdempotencyKey();
    }

    private Envelope subscribe(PeerConnection connection, Subscribe request) {
        subscribers.add(connection, request.getHeartbeatMs());
        return Envelope.newBuilder()
                .setSubscribed(Subscribed.newBuilder().setReport(report()))
                .build();
    }

    private Envelope fence(Fence request) {
        state.fence(request.getTerm());
        follower.stop();
        handleRoleChange("fenced");
        return Envelope.newBuilder()
                .setFenced(Fenced.newBuilder().setReport(report()))
                .build();
    }

    private Envelope promote(Promote request) {
        Promoted promoted = Promoted.newBuilder()
                .setMarker(Envelopes.position(state.promote(request.getTerm())))
                .build();
        follower.stop();
        handleRoleChange("primary");
        return Envelope.newBuilder().setPromoted(promoted).build();
    }

    private void follow(Follow request, Consumer<Envelope> answer) {
        boolean isNew = !follower.isFollowing(request);
        if (isNew) {
            state.follow(request.getTerm());
            handleRoleChange("replica of " + request.getPrimaryId());
        }
        Consumer<Integer> respondOnce = new OneShotCallback(setAside -> answer.accept(Envelope.newBuilder()
                .setFollowing(Following.newBuilder().setReport(report()).setEntriesSetAside(setAside))
                .build()));
        follower.follow(request, respondOnce);
        eventLoop.schedule(FOLLOW_ANSWER_TIMEOUT, () -> respondOnce.accept(0));
    }

    private Envelope readmit(Readmit request) {
        state.readmit(request.getTerm(), request.getIncarnation());
        handleRoleChange("trusted again");
        return Envelope.newBuilder()
                .setReadmitted(Readmitted.getDefaultInstance())
                .build();
    }

    private void readLog(ReadLog request, Consumer<Envelope> answer) {
        LogRead read = state.readLog(request);
        if (!read.getMatches() || read.getEntriesCount() > 0 || request.getWaitMs() == 0) {
            answer.accept(Envelope.newBuilder().setLogRead(read).build());
            return;
        }
        Consumer<Integer> pendingRead = new OneShotCallback(ignored -> answer.accept(StatementService.resultOrFailure(
                () -> Envelope.newBuilder().setLogRead(state.readLog(request)).build())));
        pendingReads.add(pendingRead);
        eventLoop.schedule(Duration.ofMillis(request.getWaitMs()), () -> {
            pendingReads.remove(pendingRead);
            pendingRead.accept(0);
        });
    }

    private void handleStateChange() {
        List<Consumer<Integer>> reads = List.copyOf(pendingReads);
        pendingReads.clear();
        reads.forEach(read -> read.accept(0));
        subscribers.schedulePush();
    }

    private void handleRoleChange(String role) {
        LOG.log(
                Level.INFO,
                "database {0} is {1} at term {2}",
                settings.databaseId(),
                role,
                state.metadata().term());
        handleStateChange();
    }

    private void completeWhenDrained(CompletableFuture<Void> drained) {
        if (statements.connections() == 0) {
            drained.complete(null);
        } else {
            eventLoop.schedule(DEPARTURE_CHECK_INTERVAL, () -> completeWhenDrained(drained));
        }
    }

    private PositionReport report() {
        return state.report()
                .setDatabaseId(settings.databaseId())
                .setDeparting(departing)
                .setSlotsInUse(statements.slotsInUse())
                .setConnections(statements.connections())
                .build();
    }

    private Announce announcement() {
        return Announce.newBuilder()
                .setDatabaseId(settings.databaseId())
                .setGroup(settings.group())
                .setIncarnation(state.metadata().incarnation())
                .setEndpoint(endpoint)
                .setFailureDomain(settings.failureDomain())
                .setRegion(settings.region())
                .setSlots(settings.slots())
                .setConnectionLimit(settings.connectionLimit())
                .setDeparting(departing)
                .setReport(report())
                .setClusterId(settings.clusterId())
                .build();
    }

    private static ClientSession session(PeerConnection connection) {
        return (ClientSession) connection.attachment();
    }

    /** Forwards the first call and ignores all later calls. */
    private static final class OneShotCallback implements Consumer<Integer> {
        private final Consumer<Integer> target;
        private boolean called;

        OneShotCallback(Consumer<Integer> target) {
            this.target = target;
        }

        @Override
        public void accept(Integer value) {
            if (!called) {
                called = true;
                target.accept(value);
            }
        }
    }
}
