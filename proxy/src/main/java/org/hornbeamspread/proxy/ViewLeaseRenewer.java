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
 * The duty that keeps this proxy's view leased: it finds the control leader, renews every {@link #RENEWAL_INTERVAL} and at once
 * when control says that the view changed, and publishes what it is given.
 *
 * <p>A renewal confirms the view version that the request's thread has acted on, not the one that last arrived:
 * control may open a new term for writes after that confirmation, and by then every acknowledgement under the older view
 * must have been decided. All state belongs to the control dispatcher's thread.
 */
final class ViewLeaseRenewer {
    private static final Logger LOG = System.getLogger(ViewLeaseRenewer.class.getName());
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(300);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(400);
    private static final Duration RETRY_BACKOFF = Duration.ofMillis(30);

    private final Dispatcher dispatcher;
    private final PeerTransport transport;
    private final List<Endpoint> members;
    private final ViewPublisher publisher;
    private final Supplier<RenewView> renewalRequests;
    private final Consumer<ViewSnapshot> onNewView;

    private Endpoint targetEndpoint;

    /** Null while not connected. */
    private PeerConnection connection;

    private int memberIndex;
    private boolean renewalInFlight;

    /** A renewal was asked for while one was in flight. */
    private boolean renewalRequested;

    private boolean closed;
    private Dispatcher.Timer timer = () -> {};

    /**
     * Makes the link; {@link #start} runs it.
     *
     * @param renewal the next request: this proxy, the view version it acts on, its observations; called on this thread
     * @param onView called on this thread after a new view was published
     */
    ViewLeaseRenewer(
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
        this.renewalRequests = renewal;
        this.onNewView = onView;
        this.targetEndpoint = members.get(0);
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
        if (renewalInFlight) {
            renewalRequested = true;
            return;
        }
        if (closed) {
            return;
        }
        timer.cancel();
        renewalInFlight = true;
        if (connection != null && connection.isOpen()) {
            sendRenewal();
            return;
        }
        Endpoint wanted = targetEndpoint;
        Futures.start(() -> transport.connect(wanted, RESPONSE_TIMEOUT, new PushHandler()))
                .whenCompleteAsync(
                        (opened, error) -> {
                            if (error != null) {
                                onRenewalFailed(FailureException.of(error));
                            } else {
                                connection = opened;
                                sendRenewal();
                            }
                        },
                        dispatcher);
    }

    private void sendRenewal() {
        Instant sentAt = dispatcher.clock().instant();
        Futures.start(this::requestRenewal)
                .whenCompleteAsync(
                        (answer, error) -> {
                            if (error != null) {
                                onRenewalFailed(FailureException.of(error));
                            } else if (!answer.hasViewLease()) {
                                onRenewalFailed(new FailureException(FailureType.INVALID_REQUEST, "not a lease"));
                            } else {
                                onLeaseGranted(answer, sentAt);
                            }
                        },
                        dispatcher);
    }

    private CompletableFuture<Envelope> requestRenewal() {
        Envelope request =
                Envelope.newBuilder().setRenewView(renewalRequests.get()).build();
        return connection.request(request, RESPONSE_TIMEOUT);
    }

    private void onLeaseGranted(Envelope answer, Instant sentAt) {
        renewalInFlight = false;
        if (publisher.apply(answer.getViewLease(), sentAt)) {
            onNewView.accept(publisher.current().view());
        }
        if (renewalRequested) {
            renewalRequested = false;
            renew();
            return;
        }
        Duration sinceSent = Duration.between(sentAt, dispatcher.clock().instant());
        Duration pause = RENEWAL_INTERVAL.minus(sinceSent);
        timer = dispatcher.schedule(pause.isNegative() ? Duration.ZERO : pause, this::renew);
    }

    private void onRenewalFailed(FailureException failure) {
        renewalInFlight = false;
        renewalRequested = false;
        if (connection != null) {
            connection.close();
            connection = null;
        }
        targetEndpoint = selectNextTarget(failure);
        timer.cancel();
        timer = dispatcher.schedule(RETRY_BACKOFF, this::renew);
    }

    private Endpoint selectNextTarget(FailureException failure) {
        if (failure.type() == FailureType.NOT_LEADER && !failure.detail().isBlank()) {
            try {
                return AddressTranslator.parse(failure.detail());
            } catch (FailureException e) {
                LOG.log(Level.DEBUG, "a control member named a leader that is no endpoint");
            }
        }
        memberIndex = (memberIndex + 1) % members.size();
        return members.get(memberIndex);
    }

    /** Pushes of control. */
    private final class PushHandler implements PeerHandler {
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
