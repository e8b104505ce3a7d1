package org.hornbeamspread.control.operations;

import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.Leadership;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.control.failover.ControlMetrics;
import org.hornbeamspread.control.failover.Coordinator;
import org.hornbeamspread.control.state.ConfigurationCodec;
import org.hornbeamspread.core.configuration.ConfigurationValidator;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.http.RpcMethod;
import org.hornbeamspread.protocol.schema.ApplyConfigurationRequest;
import org.hornbeamspread.protocol.schema.ApplyConfigurationResponse;
import org.hornbeamspread.protocol.schema.ChangeMembers;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.GetConfigurationRequest;
import org.hornbeamspread.protocol.schema.GetTopologyRequest;
import org.hornbeamspread.protocol.schema.OperationResponse;
import org.hornbeamspread.protocol.schema.PromoteDatabaseRequest;
import org.hornbeamspread.protocol.schema.ReplaceConfiguration;
import org.hornbeamspread.protocol.schema.ReplaceControlMemberRequest;
import org.hornbeamspread.protocol.schema.SetDepartureRequest;
import org.hornbeamspread.protocol.schema.SetDepartures;
import org.hornbeamspread.protocol.schema.Topology;
import org.hornbeamspread.transport.Envelopes;

/**
 * Implements the Operations service of the schema. Reads are answered only after a majority has confirmed the
 * leadership. A member that is not the leader refuses requests with NOT_LEADER and the leader's HTTP endpoint.
 * Thread-safe.
 */
public final class Operations {
    private static final String SERVICE = "hornbeamspread.Operations/";

    private final ReplicatedLog log;
    private final Supplier<ControlState> state;
    private final Supplier<List<ControlMember>> members;
    private final Function<String, String> httpEndpointOf;
    private final Coordinator coordinator;
    private final Clock clock;
    private final ControlMetrics metrics;

    /**
     * Creates the service of one member.
     *
     * @param state supplies the latest applied state of the log
     * @param members supplies the control members with their replication progress
     * @param httpEndpointOf the HTTP endpoint of a member by its id; empty when unknown
     */
    public Operations(
            ReplicatedLog log,
            Supplier<ControlState> state,
            Supplier<List<ControlMember>> members,
            Function<String, String> httpEndpointOf,
            Coordinator coordinator,
            Clock clock,
            ControlMetrics metrics) {
        this.log = log;
        this.state = state;
        this.members = members;
        this.httpEndpointOf = httpEndpointOf;
        this.coordinator = coordinator;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** The RPC methods of the service. */
    public List<RpcMethod<?, ?>> methods() {
        return List.of(
                new RpcMethod<>(
                        SERVICE + "ApplyConfiguration",
                        ApplyConfigurationRequest.getDefaultInstance(),
                        request -> callOnLeader(() -> applyConfiguration(request)),
                        ApplyConfigurationResponse::getFailure),
                RpcMethod.of(
                        SERVICE + "GetConfiguration",
                        GetConfigurationRequest.getDefaultInstance(),
                        request -> callOnLeader(this::getConfiguration)),
                RpcMethod.of(
                        SERVICE + "GetTopology",
                        GetTopologyRequest.getDefaultInstance(),
                        request -> callOnLeader(this::getTopology)),
                new RpcMethod<>(
                        SERVICE + "SetDeparture",
                        SetDepartureRequest.getDefaultInstance(),
                        request -> callOnLeader(() -> setDeparture(request)),
                        OperationResponse::getFailure),
                new RpcMethod<>(
                        SERVICE + "PromoteDatabase",
                        PromoteDatabaseRequest.getDefaultInstance(),
                        request -> callOnLeader(() -> promoteDatabase(request)),
                        OperationResponse::getFailure),
                new RpcMethod<>(
                        SERVICE + "ReplaceControlMember",
                        ReplaceControlMemberRequest.getDefaultInstance(),
                        request -> callOnLeader(() -> replaceControlMember(request)),
                        OperationResponse::getFailure));
    }

    private CompletableFuture<ApplyConfigurationResponse> applyConfiguration(ApplyConfigurationRequest request) {
        Configuration current = state.get().getConfiguration();
        List<String> changes = ConfigurationChanges.between(current, request.getConfiguration());
        if (request.getDryRun()) {
            return log.confirmLeadership().thenApply(done -> dryRun(request, changes));
        }
        if (request.getRequestId().isEmpty()) {
            return CompletableFuture.failedFuture(
                    new FailureException(FailureType.INVALID_REQUEST, "request_id is missing"));
        }
        ControlCommand command = command(request.getRequestId())
                .setReplaceConfiguration(ReplaceConfiguration.newBuilder()
                        .setConfiguration(request.getConfiguration())
                        .setExpectedVersion(request.getExpectedVersion()))
                .build();
        return log.propose(command).thenApply(result -> {
            ApplyConfigurationResponse.Builder response = ApplyConfigurationResponse.newBuilder()
                    .setVersion(result.version())
                    .setReplayed(result.replayed());
            result.failure()
                    .ifPresentOrElse(
                            failure -> response.setFailure(Envelopes.failure(failure)),
                            () -> response.addAllChanges(result.replayed() ? List.of() : changes));
            return response.build();
        });
    }

    private ApplyConfigurationResponse dryRun(ApplyConfigurationRequest request, List<String> changes) {
        long version = state.get().getConfiguration().getVersion();
        ApplyConfigurationResponse.Builder response =
                ApplyConfigurationResponse.newBuilder().setVersion(version);
        Optional<FailureException> refusal = request.getExpectedVersion() == version
                ? ConfigurationValidator.check(ConfigurationCodec.declared(request.getConfiguration()))
                : Optional.of(new FailureException(
                        FailureType.VERSION_CONFLICT,
                        "expected " + request.getExpectedVersion() + ", current " + version));
        refusal.ifPresentOrElse(
                failure -> response.setFailure(Envelopes.failure(failure)), () -> response.addAllChanges(changes));
        return response.build();
    }

    private CompletableFuture<Configuration> getConfiguration() {
        return log.confirmLeadership().thenApply(done -> state.get().getConfiguration());
    }

    private CompletableFuture<Topology> getTopology() {
        return log.confirmLeadership()
                .thenCompose(done -> coordinator.topology())
                .thenApply(topology -> topology.toBuilder()
                        .setControlLeaderId(log.leadership().leaderId().orElse(""))
                        .addAllControlMembers(members.get())
                        .build());
    }

    private CompletableFuture<OperationResponse> setDeparture(SetDepartureRequest request) {
        boolean registered = state.get().getDatabasesList().stream()
                .anyMatch(database -> database.getDatabaseId().equals(request.getDatabaseId()));
        if (!registered) {
            return CompletableFuture.failedFuture(
                    new FailureException(FailureType.UNKNOWN_DATABASE, request.getDatabaseId()));
        }
        ControlCommand command = command(request.getRequestId())
                .setSetDepartures(SetDepartures.newBuilder()
                        .addDatabaseIds(request.getDatabaseId())
                        .setDeparting(request.getDeparting()))
                .build();
        return log.propose(command).thenApply(Operations::toResponse);
    }

    private CompletableFuture<OperationResponse> promoteDatabase(PromoteDatabaseRequest request) {
        Optional<String> databaseId =
                request.getDatabaseId().isEmpty() ? Optional.empty() : Optional.of(request.getDatabaseId());
        return log.confirmLeadership()
                .thenCompose(done -> coordinator.requestHandover(request.getGroup(), databaseId))
                .thenApply(done -> OperationResponse.getDefaultInstance());
    }

    /** Replaces a member by one that does not vote yet; the leader makes it a voter once its log has caught up. */
    private CompletableFuture<OperationResponse> replaceControlMember(ReplaceControlMemberRequest request) {
        List<ControlMember> current = members.get();
        ChangeMembers.Builder changedMembers = ChangeMembers.newBuilder();
        current.stream()
                .filter(member -> !member.getMemberId().equals(request.getMemberId()))
                .forEach(member -> changedMembers.addMembers(member.toBuilder().clearMatchedIndex()));
        boolean replacementComplete = request.getReplacement().hasPeer()
                && request.getReplacement().hasHttp()
                && !request.getReplacement().getMemberId().isEmpty();
        if (changedMembers.getMembersCount() == current.size() || !replacementComplete) {
            return CompletableFuture.failedFuture(new FailureException(
                    FailureType.INVALID_REQUEST,
                    "member_id must name a control member, and replacement must have member_id, peer and http"));
        }
        changedMembers.addMembers(request.getReplacement());
        return log.propose(command(request.getRequestId())
                        .setChangeMembers(changedMembers)
                        .build())
                .thenApply(Operations::toResponse);
    }

    private static OperationResponse toResponse(CommandResult result) {
        OperationResponse.Builder response = OperationResponse.newBuilder().setReplayed(result.replayed());
        result.failure().ifPresent(failure -> response.setFailure(Envelopes.failure(failure)));
        return response.build();
    }

    private ControlCommand.Builder command(String requestId) {
        return ControlCommand.newBuilder().setRequestId(requestId).setProposedAtMs(clock.millis());
    }

    /** Runs a call if this member leads. A NOT_LEADER failure of the call gets the leader's HTTP endpoint as detail. */
    private <T> CompletableFuture<T> callOnLeader(Supplier<CompletableFuture<T>> call) {
        if (!log.leadership().isLeader()) {
            return CompletableFuture.failedFuture(countFailure(notLeader()));
        }
        return call.get().exceptionally(error -> {
            FailureException failure = FailureException.of(error);
            throw countFailure(failure.type() == FailureType.NOT_LEADER ? notLeader() : failure);
        });
    }

    private FailureException countFailure(FailureException failure) {
        metrics.countFailure(failure.type());
        return failure;
    }

    private FailureException notLeader() {
        Leadership leadership = log.leadership();
        return new FailureException(
                FailureType.NOT_LEADER,
                leadership.leaderId().map(httpEndpointOf).orElse(""));
    }
}
