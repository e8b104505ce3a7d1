package org.hornbeamspread.transport;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.hornbeamspread.core.failover.PendingResume;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.InstanceRegistry;
import org.hornbeamspread.core.route.InstanceRegistry.Departure;
import org.hornbeamspread.core.route.LostCopy;
import org.hornbeamspread.core.route.RateLimit;
import org.hornbeamspread.core.route.Route;
import org.hornbeamspread.core.route.RouteConfiguration;
import org.hornbeamspread.core.route.RouteKind;
import org.hornbeamspread.core.route.RoutedService;
import org.hornbeamspread.core.route.Workspace;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.InstanceDeparture;
import org.hornbeamspread.protocol.schema.LostInstanceCopy;
import org.hornbeamspread.protocol.schema.PendingInstanceResume;
import org.hornbeamspread.protocol.schema.RegisteredInstance;
import org.hornbeamspread.protocol.schema.ReinstatedInstance;
import org.hornbeamspread.protocol.schema.RouteConfigurationDocument;
import org.hornbeamspread.protocol.schema.RouteDefinition;
import org.hornbeamspread.protocol.schema.RoutedServiceDefinition;
import org.hornbeamspread.protocol.schema.WorkspaceDefinition;
import org.hornbeamspread.protocol.schema.WorkspaceDefinitions;

/** Conversions between the wire forms of routes and instances, and the types of {@code core}. */
public final class RouteMessages {
    private static final Logger LOG = System.getLogger(RouteMessages.class.getName());

    private RouteMessages() {}

    /** A configuration from its wire form. */
    public static RouteConfiguration configuration(RouteConfigurationDocument wire) {
        return new RouteConfiguration(
                wire.getVersion(),
                wire.getRoutesList().stream().map(RouteMessages::route).toList(),
                wire.getServicesList().stream()
                        .map(service -> new RoutedService(
                                service.getName(), service.getMaxConnections(), service.getSyncReplicas()))
                        .toList(),
                wire.getIdleTransactionMs(),
                wire.hasWorkspaces()
                        ? Optional.of(wire.getWorkspaces().getWorkspacesList().stream()
                                .map(RouteMessages::workspace)
                                .toList())
                        : Optional.empty());
    }

    /** The wire form of a configuration, without the source document. */
    public static RouteConfigurationDocument.Builder toWire(RouteConfiguration configuration) {
        RouteConfigurationDocument.Builder wire = RouteConfigurationDocument.newBuilder()
                .setVersion(configuration.version())
                .setIdleTransactionMs((int) configuration.idleTransactionMs());
        configuration.routes().forEach(route -> wire.addRoutes(toWire(route)));
        configuration
                .services()
                .forEach(service -> wire.addServices(RoutedServiceDefinition.newBuilder()
                        .setName(service.name())
                        .setMaxConnections(service.maxConnections())
                        .setSyncReplicas(service.syncReplicas())));
        configuration.workspaces().ifPresent(workspaces -> {
            WorkspaceDefinitions.Builder definitions = WorkspaceDefinitions.newBuilder();
            workspaces.forEach(workspace -> definitions.addWorkspaces(toWire(workspace)));
            wire.setWorkspaces(definitions);
        });
        return wire;
    }

    private static Workspace workspace(WorkspaceDefinition wire) {
        Optional<RateLimit> limit = wire.hasRatePerS()
                ? Optional.of(new RateLimit(wire.getRatePerS(), wire.getBurstOperations()))
                : Optional.empty();
        return new Workspace(wire.getName(), wire.getKeysList(), wire.getPriority(), limit);
    }

    private static WorkspaceDefinition toWire(Workspace workspace) {
        WorkspaceDefinition.Builder wire = WorkspaceDefinition.newBuilder()
                .setName(workspace.name())
                .addAllKeys(workspace.keys())
                .setPriority(workspace.priority());
        workspace
                .limit()
                .ifPresent(limit -> wire.setRatePerS(limit.ratePerS()).setBurstOperations(limit.burstOperations()));
        return wire.build();
    }

    /**
     * The instances in a list from a log, a snapshot or another process, without those that do not name a usable database: an
     * earlier version accepted them.
     */
    public static List<DatabaseInstance> usableInstances(List<RegisteredInstance> wire) {
        List<DatabaseInstance> usable = new ArrayList<>();
        for (RegisteredInstance instance : wire) {
            try {
                usable.add(instance(instance));
            } catch (FailureException e) {
                LOG.log(Level.WARNING, "ignored instance {0}: {1}", instance.getInstanceId(), e.getMessage());
            }
        }
        return usable;
    }

    /** The wire form of a reinstated instance. */
    public static ReinstatedInstance toWire(DatabaseInstance running, OptionalLong displacedBornMs) {
        ReinstatedInstance.Builder reinstated = ReinstatedInstance.newBuilder().setInstance(toWire(running));
        displacedBornMs.ifPresent(reinstated::setDisplacedBornMs);
        return reinstated.build();
    }

    /** The start time of the incarnation that a reinstated instance displaces; empty if there was none. */
    public static OptionalLong displacedBornMs(ReinstatedInstance wire) {
        return wire.hasDisplacedBornMs() ? OptionalLong.of(wire.getDisplacedBornMs()) : OptionalLong.empty();
    }

    /** An instance from its wire form. Fails with INVALID_REQUEST if it does not name a usable database. */
    public static DatabaseInstance instance(RegisteredInstance wire) {
        return new DatabaseInstance(
                wire.getInstanceId(),
                wire.getService(),
                address(wire.getEndpoint()),
                wire.getFailureDomain(),
                wire.getSlots(),
                wire.getDraining(),
                wire.getPrimary(),
                wire.getBornMs(),
                wire.getSequence());
    }

    /** The wire form of an instance. */
    public static RegisteredInstance toWire(DatabaseInstance instance) {
        return RegisteredInstance.newBuilder()
                .setInstanceId(instance.instanceId())
                .setService(instance.service())
                .setEndpoint(endpoint(instance.address()))
                .setFailureDomain(instance.failureDomain())
                .setSlots(instance.slots())
                .setDraining(instance.draining())
                .setPrimary(instance.primary())
                .setBornMs(instance.bornMs())
                .setSequence(instance.sequence())
                .build();
    }

    /** A departure from its wire form. */
    public static Departure departure(InstanceDeparture wire) {
        return new Departure(wire.getInstanceId(), wire.getBornMs());
    }

    /** The wire form of a departure. */
    public static InstanceDeparture toWire(Departure departure) {
        return InstanceDeparture.newBuilder()
                .setInstanceId(departure.instanceId())
                .setBornMs(departure.bornMs())
                .build();
    }

    /** A lost copy from its wire form. */
    public static LostCopy lostCopy(LostInstanceCopy wire) {
        return new LostCopy(
                wire.getService(),
                address(wire.getEndpoint()),
                wire.getInstanceId(),
                wire.getBornMs(),
                wire.hasEarliestBornMs() ? wire.getEarliestBornMs() : wire.getBornMs(),
                wire.getProcessEnded());
    }

    /** The wire form of a lost copy. */
    public static LostInstanceCopy toWire(LostCopy copy) {
        LostInstanceCopy.Builder wire = LostInstanceCopy.newBuilder()
                .setService(copy.service())
                .setEndpoint(endpoint(copy.address()))
                .setInstanceId(copy.instanceId())
                .setBornMs(copy.bornMs())
                .setProcessEnded(copy.processEnded());
        if (copy.earliestBornMs() != copy.bornMs()) {
            wire.setEarliestBornMs(copy.earliestBornMs());
        }
        return wire.build();
    }

    /** A pending resume of its wire form. */
    public static PendingResume pendingResume(PendingInstanceResume wire) {
        return new PendingResume(wire.getDatabaseId(), wire.getBornMs(), wire.getLeaderTerm());
    }

    /** The wire form of a pending resume. */
    public static PendingInstanceResume toWire(PendingResume resume) {
        return PendingInstanceResume.newBuilder()
                .setDatabaseId(resume.instanceId())
                .setBornMs(resume.bornMs())
                .setLeaderTerm(resume.leaderTerm())
                .build();
    }

    /** Replaces the contents of a registry by those of a control state. */
    public static void restore(InstanceRegistry registry, ControlState state) {
        registry.restore(
                usableInstances(state.getInstancesList()),
                state.getDeparturesList().stream().map(RouteMessages::departure).toList(),
                state.getLostCopiesList().stream().map(RouteMessages::lostCopy).toList(),
                namedServices(state));
    }

    /** The named services of a control state. An earlier version stored none, and had accepted the instances of every service. */
    private static Collection<String> namedServices(ControlState state) {
        return state.getNamedServicesCount() > 0 ? state.getNamedServicesList() : serviceNames(state.getRoutes());
    }

    /** The names of the services of a configuration. */
    public static List<String> serviceNames(RouteConfigurationDocument configuration) {
        return configuration.getServicesList().stream()
                .map(RoutedServiceDefinition::getName)
                .toList();
    }

    /** The wire form of an address. */
    public static Endpoint endpoint(Address address) {
        return Endpoint.newBuilder()
                .setHost(address.host())
                .setPort(address.port())
                .build();
    }

    private static Address address(Endpoint wire) {
        return new Address(wire.getHost(), wire.getPort());
    }

    private static Route route(RouteDefinition wire) {
        RouteKind kind = switch (wire.getKind()) {
            case ROUTE_KIND_BOUNDED_STALENESS -> RouteKind.BOUNDED_STALENESS;
            case ROUTE_KIND_READ_YOUR_WRITES -> RouteKind.READ_YOUR_WRITES;
            case ROUTE_KIND_PRIMARY, ROUTE_KIND_UNSPECIFIED, UNRECOGNIZED -> RouteKind.PRIMARY;
        };
        return new Route(
                wire.getName(),
                wire.getDatabase(),
                wire.getService(),
                kind,
                wire.getPriority(),
                wire.getStatementTimeoutMs(),
                wire.getTargetMs(),
                wire.getMaxStalenessMs(),
                wire.getPublicAccess());
    }

    private static RouteDefinition toWire(Route route) {
        return RouteDefinition.newBuilder()
                .setName(route.name())
                .setDatabase(route.database())
                .setService(route.service())
                .setKind(
                        switch (route.kind()) {
                            case PRIMARY -> org.hornbeamspread.protocol.schema.RouteKind.ROUTE_KIND_PRIMARY;
                            case BOUNDED_STALENESS ->
                                org.hornbeamspread.protocol.schema.RouteKind.ROUTE_KIND_BOUNDED_STALENESS;
                            case READ_YOUR_WRITES ->
                                org.hornbeamspread.protocol.schema.RouteKind.ROUTE_KIND_READ_YOUR_WRITES;
                        })
                .setPriority(route.priority())
                .setStatementTimeoutMs((int) route.statementTimeoutMs())
                .setTargetMs((int) route.targetMs())
                .setMaxStalenessMs((int) route.maxStalenessMs())
                .setPublicAccess(route.publicAccess())
                .build();
    }
}
