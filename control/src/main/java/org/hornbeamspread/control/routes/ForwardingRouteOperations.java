package org.hornbeamspread.control.routes;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.InstanceRegistry.Departure;
import org.hornbeamspread.protocol.schema.ChangeAccepted;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.JoinAccepted;
import org.hornbeamspread.protocol.schema.ReadConfiguration;
import org.hornbeamspread.protocol.schema.RouteConfigurationDocument;
import org.hornbeamspread.protocol.schema.SubmitChange;
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerTransport;
import org.hornbeamspread.transport.RouteMessages;

/**
 * The route operations at every member: a member that is not the leader forwards them to the leader. Also handles the
 * requests of other members and of proxies. Safe for any thread.
 */
public final class ForwardingRouteOperations implements RouteOperations, PeerHandler {
    /** Shorter than the second after which callers retry at another member. */
    private static final Duration FORWARD_TIMEOUT = Duration.ofMillis(700);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

    private final RouteControl local;
    private final ControlMembership membership;
    private final PeerTransport transport;
    private final Supplier<List<ControlMember>> members;
    private final Map<Endpoint, CompletableFuture<LeaderConnection>> connections = new ConcurrentHashMap<>();

    /** Creates the operations of a member. */
    public ForwardingRouteOperations(
            RouteControl local,
            ControlMembership membership,
            PeerTransport transport,
            Supplier<List<ControlMember>> members) {
        this.local = local;
        this.membership = membership;
        this.transport = transport;
        this.members = members;
    }

    @Override
    public CompletableFuture<Long> replaceRoutes(RouteConfigurationDocument configuration) {
        return orForwardToLeader(
                local.replaceRoutes(configuration),
                changeRequest(SubmitChange.newBuilder().setConfiguration(configuration)),
                response -> response.getChangeAccepted().getConfigurationVersion());
    }

    @Override
    public CompletableFuture<RouteConfigurationDocument> readRoutes() {
        return orForwardToLeader(
                local.readRoutes(),
                Envelope.newBuilder()
                        .setReadConfiguration(ReadConfiguration.getDefaultInstance())
                        .build(),
                Envelope::getConfigurationRead);
    }

    @Override
    public CompletableFuture<Void> announce(DatabaseInstance instance) {
        return orForwardToLeader(
                local.announce(instance),
                changeRequest(SubmitChange.newBuilder().setAnnouncement(RouteMessages.toWire(instance))),
                response -> null);
    }

    @Override
    public CompletableFuture<Void> depart(Departure departure) {
        return orForwardToLeader(
                local.depart(departure),
                changeRequest(SubmitChange.newBuilder().setDeparture(RouteMessages.toWire(departure))),
                response -> null);
    }

    @Override
    public void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> replyCallback) {
        switch (request.getBodyCase()) {
            case WATCH_SYSTEM ->
                local.watch(request.getWatchSystem(), reply -> replyCallback.accept(withLeaderEndpoint(reply)));
            case QUOTA_REQUEST ->
                local.grantQuota(request.getQuotaRequest(), reply -> replyCallback.accept(withLeaderEndpoint(reply)));
            case SUBMIT_CHANGE -> sendReply(applyChange(request.getSubmitChange()), replyCallback);
            case READ_CONFIGURATION ->
                sendReply(
                        local.readRoutes()
                                .thenApply(routes -> Envelope.newBuilder()
                                        .setConfigurationRead(routes)
                                        .build()),
                        replyCallback);
            case JOIN_CONTROL ->
                sendReply(
                        membership
                                .join(request.getJoinControl())
                                .thenApply(joined -> Envelope.newBuilder()
                                        .setJoinAccepted(JoinAccepted.getDefaultInstance())
                                        .build()),
                        replyCallback);
            default ->
                replyCallback.accept(Envelopes.failureEnvelope(new FailureException(
                        FailureType.UNKNOWN_METHOD, request.getBodyCase().name())));
        }
    }

    private CompletableFuture<Envelope> applyChange(SubmitChange change) {
        return switch (change.getChangeCase()) {
            case CONFIGURATION ->
                local.replaceRoutes(change.getConfiguration()).thenApply(ForwardingRouteOperations::changeAccepted);
            case ANNOUNCEMENT ->
                local.announce(RouteMessages.instance(change.getAnnouncement())).thenApply(done -> changeAccepted(0));
            case DEPARTURE ->
                local.depart(RouteMessages.departure(change.getDeparture())).thenApply(done -> changeAccepted(0));
            case CHANGE_NOT_SET ->
                CompletableFuture.failedFuture(
                        new FailureException(FailureType.INVALID_REQUEST, "empty change request"));
        };
    }

    private static Envelope changeAccepted(long version) {
        return Envelope.newBuilder()
                .setChangeAccepted(ChangeAccepted.newBuilder().setConfigurationVersion(version))
                .build();
    }

    private static Envelope changeRequest(SubmitChange.Builder change) {
        return Envelope.newBuilder().setSubmitChange(change).build();
    }

    private void sendReply(CompletableFuture<Envelope> outcome, Consumer<Envelope> replyCallback) {
        outcome.whenComplete((envelope, error) -> replyCallback.accept(
                error == null ? envelope : withLeaderEndpoint(Envelopes.failureEnvelope(FailureException.of(error)))));
    }

    /**
     * Replaces the leader's member id in a NOT_LEADER failure by the leader's peer endpoint, since the sender of the
     * request may not be able to resolve the id.
     */
    private Envelope withLeaderEndpoint(Envelope reply) {
        if (!reply.hasFailure() || !reply.getFailure().getType().equals(FailureType.NOT_LEADER.name())) {
            return reply;
        }
        String endpoint = peerEndpoint(reply.getFailure().getDetail())
                .map(AddressTranslator::format)
                .orElse("");
        return Envelopes.failureEnvelope(new FailureException(FailureType.NOT_LEADER, endpoint));
    }

    private Optional<Endpoint> peerEndpoint(String memberId) {
        return members.get().stream()
                .filter(member -> member.getMemberId().equals(memberId))
                .map(ControlMember::getPeer)
                .filter(peer -> !peer.getHost().isEmpty())
                .findFirst();
    }

    private <T> CompletableFuture<T> orForwardToLeader(
            CompletableFuture<T> localAttempt, Envelope request, Function<Envelope, T> decode) {
        return localAttempt
                .handle((value, error) -> {
                    if (error == null) {
                        return CompletableFuture.completedFuture(value);
                    }
                    FailureException failure = FailureException.of(error);
                    Optional<Endpoint> leader = failure.type() == FailureType.NOT_LEADER
                            ? peerEndpoint(failure.detail())
                            : Optional.empty();
                    return leader.map(endpoint -> forward(endpoint, request).thenApply(decode))
                            .orElseGet(() -> CompletableFuture.failedFuture(failure));
                })
                .thenCompose(result -> result);
    }

    private CompletableFuture<Envelope> forward(Endpoint leader, Envelope request) {
        return connections
                .compute(
                        leader,
                        (endpoint, existing) -> existing == null || isBroken(existing) ? connect(endpoint) : existing)
                .thenCompose(connection -> connection.request(request));
    }

    private CompletableFuture<LeaderConnection> connect(Endpoint leader) {
        return transport
                .connect(leader, CONNECT_TIMEOUT, (peer, unexpectedRequest, replyCallback) -> peer.close())
                .thenApply(connection -> new LeaderConnection(connection, FORWARD_TIMEOUT));
    }

    private static boolean isBroken(CompletableFuture<LeaderConnection> connection) {
        return connection.isCompletedExceptionally()
                || (connection.isDone() && !connection.join().isUsable());
    }
}
