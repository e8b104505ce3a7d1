package org.hornbeamspread.control.routes;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.file.Path;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.hornbeamspread.control.consensus.ConsensusService;
import org.hornbeamspread.control.consensus.ConsensusSettings;
import org.hornbeamspread.control.operations.PublishedState;
import org.hornbeamspread.control.state.ControlStateMachine;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;

/** One running control member that serves routes: the log, the routes' duty, the members and the shared peer port. */
public final class RouteDaemon implements AutoCloseable {
    private final ConsensusService log;
    private final RouteControl control;
    private final ControlMembership membership;
    private final ForwardingRouteOperations operations;
    private final PeerServer server;
    private final RouteMetrics metrics;

    private RouteDaemon(
            ConsensusService log,
            RouteControl control,
            ControlMembership membership,
            ForwardingRouteOperations peers,
            PeerServer server,
            RouteMetrics metrics) {
        this.metrics = metrics;
        this.log = log;
        this.control = control;
        this.membership = membership;
        this.operations = peers;
        this.server = server;
    }

    /**
     * What a member is started with.
     *
     * @param self this member, by the addresses that others use
     * @param listen where it takes its peers' connections; another address than the members' where a relay stands between
     * @param clusterId names the log
     * @param initialMembers the members to form the log with
     * @param mayForm whether this is the first start of the whole system
     * @param wantedVoters how many voters bear the losses that the deployment is built for
     * @param dataDirectory where the log lives
     * @param seeds peer endpoints of other members, as the settings have them now
     */
    public record Settings(
            ControlMember self,
            Endpoint listenEndpoint,
            String clusterId,
            List<ControlMember> initialMembers,
            boolean mayBootstrap,
            int requiredVoters,
            Path dataDirectory,
            Supplier<List<Endpoint>> seeds) {
        /** Copies the list. */
        public Settings {
            initialMembers = List.copyOf(initialMembers);
        }

        private ConsensusSettings consensusSettings() {
            List<ControlMember> members = new ArrayList<>(initialMembers);
            boolean named =
                    members.stream().anyMatch(member -> member.getMemberId().equals(self.getMemberId()));
            if (!named) {
                members.add(self);
            }
            ConsensusSettings settings = ConsensusSettings.of(self.getMemberId(), clusterId, members, dataDirectory);
            return mayBootstrap && named ? settings : settings.joining();
        }
    }

    /** Opens the log and the peer port. Fails with the type of what could not be opened. */
    public static RouteDaemon start(
            Settings settings,
            PeerTransport transport,
            DatabaseAdministration databases,
            InstancePromoter orders,
            Clock clock,
            Clock timeOfDay,
            EventLog events,
            PrometheusRegistry registry) {
        RouteMetrics metrics = new RouteMetrics(registry);
        ControlStateMachine machine = new ControlStateMachine();
        PublishedState state = new PublishedState(machine, machine::state);
        ConsensusService log = new ConsensusService(settings.consensusSettings(), state, clock, transport, registry);
        RouteControl control = new RouteControl(
                settings.self().getMemberId(),
                log,
                state,
                log::members,
                databases,
                orders,
                clock,
                timeOfDay,
                events,
                metrics);
        ControlMembership membership = new ControlMembership(
                settings.self(), settings.requiredVoters(), log, log::members, settings.seeds(), transport, events);
        ForwardingRouteOperations peers = new ForwardingRouteOperations(control, membership, transport, log::members);
        PeerServer server = transport
                .listen(settings.listenEndpoint(), new SharedPortHandler(log, peers))
                .join();
        log.onApplied(index -> control.onApplied());
        control.start();
        log.start();
        membership.start();
        return new RouteDaemon(log, control, membership, peers, server, metrics);
    }

    /** What operators and databases may ask. */
    public RouteOperations operations() {
        return operations;
    }

    /** Counts what the calls of operators and databases come to. */
    public RouteMetrics metrics() {
        return metrics;
    }

    @Override
    public void close() {
        server.close();
        membership.close();
        control.close();
        log.close();
    }

    /** Gives the log its own requests, and everything else to the routes. */
    private record SharedPortHandler(ConsensusService log, PeerHandler routes) implements PeerHandler {
        @Override
        public void onRequest(
                PeerConnection connection, Envelope request, java.util.function.Consumer<Envelope> answer) {
            if (!log.handle(connection, request, answer)) {
                routes.onRequest(connection, request, answer);
            }
        }
    }
}
