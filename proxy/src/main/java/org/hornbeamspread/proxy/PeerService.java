package org.hornbeamspread.proxy;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.protocol.schema.RelayExecute;
import org.hornbeamspread.protocol.schema.RelayExecuted;
import org.hornbeamspread.protocol.schema.RelaySubscribe;
import org.hornbeamspread.protocol.schema.RelaySubscribed;
import org.hornbeamspread.protocol.schema.StatementsExecuted;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;

/**
 * The server side of the peer endpoint: executes relayed statements at the databases that this proxy holds, and forwards
 * their position reports to the proxies that subscribed.
 */
final class PeerService implements PeerHandler {
    private final Dispatcher dispatcher;
    private final HeldDatabases heldDatabases;
    private final ClusterMonitor clusterMonitor;

    /** Subscribers by database id; confined to the dispatcher's thread. */
    private final Map<String, List<PeerConnection>> subscribers = new HashMap<>();

    private final AtomicInteger inProgress = new AtomicInteger();

    PeerService(Dispatcher dispatcher, HeldDatabases heldDatabases, ClusterMonitor clusterMonitor) {
        this.dispatcher = dispatcher;
        this.heldDatabases = heldDatabases;
        this.clusterMonitor = clusterMonitor;
    }

    @Override
    public void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> answer) {
        boolean accepted = dispatcher.tryExecute(() -> {
            switch (request.getBodyCase()) {
                case RELAY_EXECUTE -> execute(request.getRelayExecute(), answer);
                case RELAY_SUBSCRIBE -> subscribe(connection, request.getRelaySubscribe(), answer);
                default ->
                    answer.accept(Envelopes.failureEnvelope(new FailureException(
                            FailureType.UNKNOWN_METHOD, request.getBodyCase().name())));
            }
        });
        if (!accepted) {
            answer.accept(Envelopes.failureEnvelope(new FailureException(FailureType.RING_FULL, "requests")));
        }
    }

    @Override
    public void onClose(PeerConnection connection) {
        dispatcher.execute(() -> subscribers.values().forEach(peers -> peers.remove(connection)));
    }

    /** The number of relayed statements in progress. Safe for any thread. */
    int inProgress() {
        return inProgress.get();
    }

    /** Forwards a position report to its subscribers. Must run on the dispatcher's thread. */
    void forwardReport(PositionReport report) {
        List<PeerConnection> peers = subscribers.getOrDefault(report.getDatabaseId(), List.of());
        if (!peers.isEmpty()) {
            Envelope push = Envelope.newBuilder().setPositionReport(report).build();
            peers.forEach(peer -> peer.push(push));
        }
    }

    private void execute(RelayExecute relay, Consumer<Envelope> answer) {
        Instant deadline = dispatcher.clock().instant().plusMillis(Integer.toUnsignedLong(relay.getTimeoutMs()));
        RequestContext context = new RequestContext(relay.getRank(), relay.getCallerId(), deadline);
        inProgress.incrementAndGet();
        heldDatabases
                .execute(relay.getDatabaseId(), relay.getHolderEpoch(), context, relay.getExecute())
                .whenComplete((executed, error) -> {
                    answer.accept(relayResponse(executed, error));
                    inProgress.decrementAndGet();
                });
    }

    private void subscribe(PeerConnection peer, RelaySubscribe request, Consumer<Envelope> answer) {
        RelaySubscribed.Builder reports = RelaySubscribed.newBuilder();
        for (String databaseId : request.getDatabaseIdsList()) {
            List<PeerConnection> peers = subscribers.computeIfAbsent(databaseId, id -> new ArrayList<>());
            if (!peers.contains(peer)) {
                peers.add(peer);
            }
            clusterMonitor
                    .monitor(databaseId)
                    .flatMap(DatabaseMonitor::lastReport)
                    .ifPresent(reports::addReports);
        }
        answer.accept(Envelope.newBuilder().setRelaySubscribed(reports).build());
    }

    private static Envelope relayResponse(StatementsExecuted executed, Throwable error) {
        RelayExecuted.Builder result = RelayExecuted.newBuilder();
        if (error != null) {
            result.setFailure(Envelopes.failure(FailureException.of(error)));
        } else {
            result.setExecuted(executed);
        }
        return Envelope.newBuilder().setRelayExecuted(result).build();
    }
}
