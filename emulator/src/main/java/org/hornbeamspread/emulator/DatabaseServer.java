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
 * A stand-in database behind a listening endpoint. Network threads only hand requests to the decision thread, which
 * owns the state, the slots and the subscriptions.
 */
final class DatabaseServer implements PeerHandler, AutoCloseable {
    private static final Logger LOG = System.getLogger(DatabaseServer.class.getName());
    private static final Duration FOLLOW_ANSWER_LIMIT = Duration.ofMillis(500);
    private static final Duration DEPARTURE_LIMIT = Duration.ofSeconds(5);
    private static final Duration DEPARTURE_CHECK = Duration.ofMillis(100);
    private static final Duration BIND_LIMIT = Duration.ofSeconds(5);

    private final DatabaseSettings settings;
    private final DatabaseState state;
    private final PeerTransport transport;
    private final DecisionLoop loop = new DecisionLoop(() -> {});
    private final StatementService statements;
    private final LogFollower follower;
    private final PositionSubscribers subscribers;
    private final Announcer announcer;
    private final List<Consumer<Integer>> waitingReads = new ArrayList<>();
    private final PeerServer server;
    private final Endpoint endpoint;
    private boolean departing;

    /** Listens and announces. Fails with CONNECTION_REFUSED when the endpoint can't be bound. */
    DatabaseServer(DatabaseSettings settings, DatabaseState state, PeerTransport transport) {
        this.settings = settings;
        this.state = state;
        this.transport = transport;
        this.subscribers = new PositionSubscribers(loop, this::report);
        this.statements = new StatementService(settings, state, loop, this::changed);
        this.follower = new LogFollower(settings, state, loop, transport, this::changed);
        this.announcer = new Announcer(loop, transport, this::announcement);
        loop.start();
        this.server = transport
                .listen(settings.endpoint(), this)
                .orTimeout(BIND_LIMIT.toMillis(), TimeUnit.MILLISECONDS)
                .join();
        this.endpoint = settings.endpoint().toBuilder().setPort(server.port()).build();
        loop.submit(() -> settings.announceTo().forEach(announcer::start));
    }

    /** Where it listens. */
    Endpoint endpoint() {
        return endpoint;
    }

    /** Announces the departure. Completes when no connection is left, after five seconds at most. */
    CompletableFuture<Void> depart() {
        CompletableFuture<Void> empty = new CompletableFuture<>();
        loop.submit(() -> {
            departing = true;
            LOG.log(Level.INFO, "database {0} is departing", settings.databaseId());
            announcer.announceNow();
            subscribers.changed();
            loop.after(DEPARTURE_CHECK, () -> checkEmpty(empty));
        });
        return empty.completeOnTimeout(null, DEPARTURE_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        server.close();
        loop.close();
        transport.close();
    }

    @Override
    public void onOpen(PeerConnection connection) {
        connection.attach(new ClientSession());
    }

    @Override
    public void onClose(PeerConnection connection) {
        loop.submit(() -> {
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
        if (!loop.offer(task)) {
            answer.accept(Envelopes.failureEnvelope(
                    new FailureException(FailureType.RING_FULL, "requests of " + settings.databaseId())));
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
        statements.arrived(key);
        session.submit(() -> handleInOrder(session, request, answer, () -> {
            statements.left(key);
            session.done();
        }));
    }

    private void handleInOrder(ClientSession session, Envelope request, Consumer<Envelope> answer, Runnable done) {
        if (session.isClosed()) {
            done.run();
            return;
        }
        if (request.hasExecuteStatements()) {
            statements.execute(session, request.getExecuteStatements(), answer, done);
            return;
        }
        answer.accept(StatementService.attempt(() -> switch (request.getBodyCase()) {
            case BEGIN_TRANSACTION -> statements.begin(session, request.getBeginTransaction());
            case COMMIT_TRANSACTION -> statements.commit(session, request.getCommitTransaction());
            default -> statements.rollback(session);
        }));
        done.run();
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
        roleChanged("fenced");
        return Envelope.newBuilder()
                .setFenced(Fenced.newBuilder().setReport(report()))
                .build();
    }

    private Envelope promote(Promote request) {
        Promoted promoted = Promoted.newBuilder()
                .setMarker(Envelopes.position(state.promote(request.getTerm())))
                .build();
        follower.stop();
        roleChanged("primary");
        return Envelope.newBuilder().setPromoted(promoted).build();
    }

    private void follow(Follow request, Consumer<Envelope> answer) {
        boolean isNew = !follower.follows(request);
        if (isNew) {
            state.follow(request.getTerm());
            roleChanged("replica of " + request.getPrimaryId());
        }
        Consumer<Integer> once = new Once(setAside -> answer.accept(Envelope.newBuilder()
                .setFollowing(Following.newBuilder().setReport(report()).setEntriesSetAside(setAside))
                .build()));
        follower.follow(request, once);
        loop.after(FOLLOW_ANSWER_LIMIT, () -> once.accept(0));
    }

    private Envelope readmit(Readmit request) {
        state.readmit(request.getTerm(), request.getIncarnation());
        roleChanged("trusted again");
        return Envelope.newBuilder()
                .setReadmitted(Readmitted.getDefaultInstance())
                .build();
    }

    private void readLog(ReadLog request, Consumer<Envelope> answer) {
        LogRead read = state.read(request);
        if (!read.getMatches() || read.getEntriesCount() > 0 || request.getWaitMs() == 0) {
            answer.accept(Envelope.newBuilder().setLogRead(read).build());
            return;
        }
        Consumer<Integer> again = new Once(ignored -> answer.accept(StatementService.attempt(
                () -> Envelope.newBuilder().setLogRead(state.read(request)).build())));
        waitingReads.add(again);
        loop.after(Duration.ofMillis(request.getWaitMs()), () -> {
            waitingReads.remove(again);
            again.accept(0);
        });
    }

    private void changed() {
        List<Consumer<Integer>> reads = List.copyOf(waitingReads);
        waitingReads.clear();
        reads.forEach(read -> read.accept(0));
        subscribers.changed();
    }

    private void roleChanged(String role) {
        LOG.log(
                Level.INFO,
                "database {0} is {1} at term {2}",
                settings.databaseId(),
                role,
                state.metadata().term());
        changed();
    }

    private void checkEmpty(CompletableFuture<Void> empty) {
        if (statements.connections() == 0) {
            empty.complete(null);
        } else {
            loop.after(DEPARTURE_CHECK, () -> checkEmpty(empty));
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

    /** Passes the first call on and ignores the others. */
    private static final class Once implements Consumer<Integer> {
        private final Consumer<Integer> target;
        private boolean called;

        Once(Consumer<Integer> target) {
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
