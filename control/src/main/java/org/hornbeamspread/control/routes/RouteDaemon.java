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
import org.hornbeamspread.core.consensus.BootstrapMode;
import org.hornbeamspread.core.consensus.VoterPolicy;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.route.QuotaBounds;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;
import org.hornbeamspread.transport.TransportMetrics;

/** A running control member that serves routes: the log, the route control, the membership and the shared peer port. */
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
            ForwardingRouteOperations operations,
            PeerServer server,
            RouteMetrics metrics) {
        this.metrics = metrics;
        this.log = log;
        this.control = control;
        this.membership = membership;
        this.operations = operations;
        this.server = server;
    }

    /**
     * The settings of a member.
     *
     * @param self this member, with the addresses that other members use
     * @param listenEndpoint the local endpoint for peer connections; differs from the address in {@code self} where a
     *     relay is in between
     * @param clusterId the id of the log
     * @param initialMembers the members to bootstrap the log with
     * @param firstStart whether this is the first start of the whole system, so that every initial member has its first disk
     * @param requiredVoters the number of voters needed to tolerate the losses that the deployment is designed for
     * @param dataDirectory the directory of the log
     * @param quotaBounds how closely the limits of workspaces are kept
     * @param seeds supplies the peer endpoints of other members from the current settings
     */
    public record Settings(
            ControlMember self,
            Endpoint listenEndpoint,
            String clusterId,
            List<ControlMember> initialMembers,
            boolean firstStart,
            int requiredVoters,
            Path dataDirectory,
            QuotaBounds quotaBounds,
            Supplier<List<Endpoint>> seeds) {
        /** Copies the list. */
        public Settings {
            initialMembers = List.copyOf(initialMembers);
        }

        private ConsensusSettings consensusSettings() {
            List<ControlMember> members = new ArrayList<>(initialMembers);
            boolean isInitialMember =
                    members.stream().anyMatch(member -> member.getMemberId().equals(self.getMemberId()));
            if (!isInitialMember) {
                members.add(self);
            }
            return ConsensusSettings.of(self.getMemberId(), clusterId, members, dataDirectory)
                    .withVoterPolicy(VoterPolicy.required(requiredVoters))
                    .withBootstrapMode(firstStart && isInitialMember ? BootstrapMode.MAJORITY : BootstrapMode.NONE);
        }
    }

    /** Opens the log and the peer port. Fails with the failure type of the one that could not be opened. */
    public static RouteDaemon start(
            Settings settings,
            PeerTransport transport,
            DatabaseAdministration databases,
            InstancePromoter promoter,
            Clock clock,
            Clock timeOfDay,
            EventLog events,
            PrometheusRegistry registry) {
        RouteMetrics metrics = new RouteMetrics(registry);
        TransportMetrics.register(registry, transport.counters());
        ControlStateMachine stateMachine = new ControlStateMachine();
        PublishedState publishedState = new PublishedState(stateMachine, stateMachine::state);
        ConsensusSettings consensusSettings = settings.consensusSettings();
        ConsensusService log =
                new ConsensusService(consensusSettings, publishedState, clock, transport, registry, events);
        RouteControl control = new RouteControl(
                settings.self().getMemberId(),
                log,
                publishedState,
                log::members,
                databases,
                promoter,
                settings.quotaBounds(),
                clock,
                timeOfDay,
                events,
                metrics);
        ControlMembership membership = new ControlMembership(
                settings.self(),
                settings.requiredVoters(),
                consensusSettings.bootstrapMode() != BootstrapMode.NONE,
                log,
                log::members,
                settings.seeds(),
                transport,
                events);
        ForwardingRouteOperations operations =
                new ForwardingRouteOperations(control, membership, transport, log::members);
        PeerServer server = transport
                .listen(settings.listenEndpoint(), new SharedPortHandler(log, operations))
                .join();
        log.onApplied(index -> control.onApplied());
        control.start();
        log.start();
        membership.start();
        return new RouteDaemon(log, control, membership, operations, server, metrics);
    }

    /** The operations for operators and databases. */
    public RouteOperations operations() {
        return operations;
    }

    /** The metrics that count the outcomes of calls by operators and databases. */
    public RouteMetrics metrics() {
        return metrics;
    }

    /** The members of the log; on the leader with the replication progress of each member. */
    public List<ControlMember> members() {
        return log.members();
    }

    /** Whether this member leads the log. */
    public boolean isLeader() {
        return log.leadership().isLeader();
    }

    /**
     * Hands this member's vote over to a standby, if there is one, before the process ends. Blocks for at most 1.5 s, and
     * not at all without a standby.
     */
    public void handOverVote() {
        membership.handOverVote().join();
    }

    @Override
    public void close() {
        server.close();
        membership.close();
        control.close();
        log.close();
    }

    /** Passes consensus requests to the log, and all other requests to the route operations. */
    private record SharedPortHandler(ConsensusService log, PeerHandler routes) implements PeerHandler {
        @Override
        public void onRequest(
                PeerConnection connection, Envelope request, java.util.function.Consumer<Envelope> replyCallback) {
            if (!log.handle(connection, request, replyCallback)) {
                routes.onRequest(connection, request, replyCallback);
            }
        }
    }
}
