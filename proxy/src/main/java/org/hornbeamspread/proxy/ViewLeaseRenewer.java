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
 * Keeps the lease on this proxy's view: finds the control leader, renews every {@link #RENEWAL_INTERVAL} and
 * immediately after a ViewChanged push from control, and publishes the received views.
 *
 * <p>A renewal confirms the view version that the "requests" thread has applied, not the latest version
 * received: control may open a new term for writes after that confirmation, and by then every acknowledgement under
 * the older view must have been decided. Confined to the control dispatcher's thread.
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

    /** Whether another renewal was requested while one was in flight. */
    private boolean renewalRequested;

    private boolean closed;
    private Dispatcher.Timer timer = () -> {};

    /**
     * Creates a renewer; {@link #start} sends the first renewal.
     *
     * @param renewalRequests supplies the next request: this proxy, the view version it has applied, its observations;
     *     called on the dispatcher's thread
     * @param onNewView called on the dispatcher's thread after a new view was published
     */
    ViewLeaseRenewer(
            Dispatcher dispatcher,
            PeerTransport transport,
            List<Endpoint> members,
            ViewPublisher publisher,
            Supplier<RenewView> renewalRequests,
            Consumer<ViewSnapshot> onNewView) {
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.members = List.copyOf(members);
        this.publisher = publisher;
        this.renewalRequests = renewalRequests;
        this.onNewView = onNewView;
        this.targetEndpoint = members.get(0);
    }

    void start() {
        dispatcher.execute(this::renew);
    }

    /** Renews the lease immediately. May be called from any thread. */
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
        Endpoint endpoint = targetEndpoint;
        Futures.start(() -> transport.connect(endpoint, RESPONSE_TIMEOUT, new PushHandler()))
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
        Futures.startWithTimeout(dispatcher, RESPONSE_TIMEOUT, this::requestRenewal)
                .whenCompleteAsync(
                        (response, error) -> {
                            if (error != null) {
                                onRenewalFailed(FailureException.of(error));
                            } else if (!response.hasViewLease()) {
                                onRenewalFailed(new FailureException(
                                        FailureType.INVALID_REQUEST, "response is not a view lease"));
                            } else {
                                onLeaseGranted(response, sentAt);
                            }
                        },
                        dispatcher);
    }

    private CompletableFuture<Envelope> requestRenewal() {
        Envelope request =
                Envelope.newBuilder().setRenewView(renewalRequests.get()).build();
        return connection.request(request);
    }

    private void onLeaseGranted(Envelope response, Instant sentAt) {
        renewalInFlight = false;
        if (publisher.apply(response.getViewLease(), sentAt)) {
            onNewView.accept(publisher.current().view());
        }
        if (renewalRequested) {
            renewalRequested = false;
            renew();
            return;
        }
        Duration sinceSent = Duration.between(sentAt, dispatcher.clock().instant());
        Duration delay = RENEWAL_INTERVAL.minus(sinceSent);
        timer = dispatcher.schedule(delay.isNegative() ? Duration.ZERO : delay, this::renew);
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
                LOG.log(Level.DEBUG, "NOT_LEADER response names an invalid leader endpoint");
            }
        }
        memberIndex = (memberIndex + 1) % members.size();
        return members.get(memberIndex);
    }

    /** Renews the lease when control pushes ViewChanged, and rejects requests. */
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
