package org.hornbeamspread.proxy;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerTransport;

/**
 * The duty that keeps this proxy's view leased: it finds the control leader, renews every {@link #RENEWAL} and at once
 * when control says that the view changed, and publishes what it is given.
 *
 * <p>A renewal confirms the view version that the request's thread has acted on, not the one that last arrived:
 * control may open a new term for writes after that confirmation, and by then every acknowledgement under the older view
 * must have been decided. All state belongs to the control dispatcher's thread.
 */
final class ControlLink {
    private static final Logger LOG = System.getLogger(ControlLink.class.getName());
    private static final Duration RENEWAL = Duration.ofMillis(300);
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);
    private static final Duration NEXT_MEMBER_PAUSE = Duration.ofMillis(30);

    private final Dispatcher dispatcher;
    private final PeerTransport transport;
    private final List<Endpoint> members;
    private final ViewPublisher publisher;
    private final Supplier<RenewView> renewal;
    private final Consumer<ViewSnapshot> onView;

    private Endpoint target;

    /** Null while not connected. */
    private PeerConnection connection;

    private int nextMember;
    private boolean inFlight;

    /** A renewal was asked for while one was in flight. */
    private boolean askedAgain;

    private boolean closed;
    private Dispatcher.Timer timer = () -> {};

    /**
     * Makes the link; {@link #start} runs it.
     *
     * @param renewal the next request: this proxy, the view version it acts on, its observations; called on this thread
     * @param onView called on this thread after a new view was published
     */
    ControlLink(
            Dispatcher dispatcher,
            PeerTransport transport,
            List<Endpoint> members,
            ViewPublisher publisher,
            Supplier<RenewView> renewal,
            Consumer<ViewSnapshot> onView) {
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.members = List.copyOf(members);
        this.publisher = publisher;
        this.renewal = renewal;
        this.onView = onView;
        this.target = members.get(0);
    }

    void start() {
        dispatcher.execute(this::renew);
    }

    /** Renews at once; from any thread. */
    void renewNow() {
        dispatcher.execute(this::renew);
    }

    void close() {
        dispatcher.execute(() -> {
            closed = true;
            timer.cancel();
        });
    }

    private void renew() {
        if (inFlight) {
            askedAgain = true;
            return;
        }
        if (closed) {
            return;
        }
        timer.cancel();
        inFlight = true;
        if (connection != null && connection.isOpen()) {
            send();
            return;
        }
        Endpoint wanted = target;
        Futures.start(() -> transport.connect(wanted, ANSWER_TIMEOUT, new Pushes()))
                .whenCompleteAsync(
                        (opened, error) -> {
                            if (error != null) {
                                failed(FailureException.of(error));
                            } else {
                                connection = opened;
                                send();
                            }
                        },
                        dispatcher);
    }

    private void send() {
        Instant sentAt = dispatcher.clock().instant();
        Futures.start(this::request)
                .whenCompleteAsync(
                        (answer, error) -> {
                            if (error != null) {
                                failed(FailureException.of(error));
                            } else if (!answer.hasViewLease()) {
                                failed(new FailureException(FailureType.INVALID_REQUEST, "not a lease"));
                            } else {
                                granted(answer, sentAt);
                            }
                        },
                        dispatcher);
    }

    private CompletableFuture<Envelope> request() {
        Envelope request = Envelope.newBuilder().setRenewView(renewal.get()).build();
        return connection.request(request, ANSWER_TIMEOUT);
    }

    private void granted(Envelope answer, Instant sentAt) {
        inFlight = false;
        if (publisher.apply(answer.getViewLease(), sentAt)) {
            onView.accept(publisher.current().view());
        }
        if (askedAgain) {
            askedAgain = false;
            renew();
            return;
        }
        Duration sinceSent = Duration.between(sentAt, dispatcher.clock().instant());
        Duration pause = RENEWAL.minus(sinceSent);
        timer = dispatcher.schedule(pause.isNegative() ? Duration.ZERO : pause, this::renew);
    }

    private void failed(FailureException failure) {
        inFlight = false;
        askedAgain = false;
        if (connection != null) {
            connection.close();
            connection = null;
        }
        target = nextTarget(failure);
        timer.cancel();
        timer = dispatcher.schedule(NEXT_MEMBER_PAUSE, this::renew);
    }

    private Endpoint nextTarget(FailureException failure) {
        if (failure.type() == FailureType.NOT_LEADER && !failure.detail().isBlank()) {
            try {
                return AddressTranslator.parse(failure.detail());
            } catch (FailureException e) {
                LOG.log(Level.DEBUG, "a control member named a leader that is no endpoint");
            }
        }
        nextMember = (nextMember + 1) % members.size();
        return members.get(nextMember);
    }

    /** Pushes of control. */
    private final class Pushes implements PeerHandler {
        @Override
        public void onRequest(PeerConnection peer, Envelope request, Consumer<Envelope> answer) {
            answer.accept(org.hornbeamspread.transport.Envelopes.failureEnvelope(new FailureException(
                    FailureType.UNKNOWN_METHOD, request.getBodyCase().name())));
        }

        @Override
        public void onPush(PeerConnection peer, Envelope push) {
            if (push.hasViewChanged()) {
                renewNow();
            }
        }
    }
}
