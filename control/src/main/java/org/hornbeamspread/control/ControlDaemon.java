package org.hornbeamspread.control;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Stream;
import org.hornbeamspread.control.consensus.ConsensusService;
import org.hornbeamspread.control.consensus.ConsensusSettings;
import org.hornbeamspread.control.failover.ControlMetrics;
import org.hornbeamspread.control.failover.Coordinator;
import org.hornbeamspread.control.operations.Operations;
import org.hornbeamspread.control.operations.PublishedState;
import org.hornbeamspread.control.settings.ControlSettings;
import org.hornbeamspread.control.state.ControlStateMachine;
import org.hornbeamspread.control.view.ClusterGuard;
import org.hornbeamspread.http.RpcServer;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.runtime.MonotonicClock;
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;
import org.hornbeamspread.transport.TransportMetrics;

/** A running control member: the replicated log, the coordinator, the shared peer port and the HTTP port. */
public final class ControlDaemon implements AutoCloseable {
    private static final int NETWORK_THREADS = 2;

    private final PeerTransport transport;
    private final ConsensusService log;
    private final Coordinator coordinator;
    private final PeerServer peerServer;
    private final RpcServer httpServer;
    private final CountDownLatch closed = new CountDownLatch(1);

    private ControlDaemon(
            PeerTransport transport,
            ConsensusService log,
            Coordinator coordinator,
            PeerServer peerServer,
            RpcServer httpServer) {
        this.transport = transport;
        this.log = log;
        this.coordinator = coordinator;
        this.peerServer = peerServer;
        this.httpServer = httpServer;
    }

    /** Opens the log and both ports. Fails with the failure type of the part that could not be opened. */
    public static ControlDaemon start(ControlSettings settings, PrometheusRegistry registry) {
        MonotonicClock clock = new MonotonicClock();
        PeerTransport transport = new PeerTransport(NETWORK_THREADS, settings.translator());
        ControlMetrics metrics = new ControlMetrics(registry);
        TransportMetrics.register(registry, transport.counters());
        ControlStateMachine machine = new ControlStateMachine();
        PublishedState state = new PublishedState(machine, machine::state);
        ConsensusSettings consensus = ConsensusSettings.of(
                settings.memberId(), settings.clusterId(), settings.members(), settings.dataDirectory());
        ConsensusService log = new ConsensusService(consensus, state, clock, transport, registry, new LoggerEventLog());
        Coordinator coordinator = new Coordinator(
                log,
                state,
                endpointLookup(settings, log, ControlMember::getPeer),
                settings.lease(),
                clock,
                transport,
                metrics);
        Operations operations = new Operations(
                log,
                state,
                log::members,
                endpointLookup(settings, log, ControlMember::getHttp),
                coordinator,
                clock,
                metrics);
        PeerServer peerServer = transport
                .listen(
                        settings.peer(),
                        new PeerRequestRouter(log, new ClusterGuard(settings.clusterId(), coordinator, metrics)))
                .join();
        log.start();
        coordinator.start();
        RpcServer httpServer = new RpcServer(
                settings.http(),
                operations.methods(),
                () -> log.leadership().leaderId().isPresent(),
                registry);
        return new ControlDaemon(transport, log, coordinator, peerServer, httpServer);
    }

    /** Waits until the daemon is closed. */
    public void awaitClose() {
        try {
            closed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        httpServer.close();
        peerServer.close();
        coordinator.close();
        log.close();
        transport.close();
        closed.countDown();
    }

    /** Returns a lookup of a member endpoint: from the log, or from the settings while the log has no such endpoint. */
    private static Function<String, String> endpointLookup(
            ControlSettings settings, ConsensusService log, Function<ControlMember, Endpoint> endpoint) {
        return memberId -> Stream.concat(log.members().stream(), settings.members().stream())
                .filter(member -> member.getMemberId().equals(memberId))
                .map(endpoint)
                .filter(found -> !found.getHost().isEmpty())
                .map(AddressTranslator::format)
                .findFirst()
                .orElse("");
    }

    /** Routes consensus requests to the log, and all other requests to the coordinator. */
    private record PeerRequestRouter(ConsensusService log, PeerHandler coordinator) implements PeerHandler {
        @Override
        public void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> replyCallback) {
            if (!log.handle(connection, request, replyCallback)) {
                coordinator.onRequest(connection, request, replyCallback);
            }
        }

        @Override
        public void onPush(PeerConnection connection, Envelope push) {
            coordinator.onPush(connection, push);
        }

        @Override
        public void onClose(PeerConnection connection) {
            coordinator.onClose(connection);
        }
    }
}
