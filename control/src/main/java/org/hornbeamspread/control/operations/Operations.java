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
 * Serves the schema's Operations. Reads are answered only after a majority has confirmed the leadership; another member
 * refuses with NOT_LEADER and the leader's HTTP endpoint. Safe for any thread.
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
     * The operations of one member.
     *
     * @param state the log's latest applied state
     * @param members the control members with their progress
     * @param httpEndpointOf the HTTP endpoint of a member by its name, empty when unknown
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

    /** The methods to serve. */
    public List<RpcMethod<?, ?>> methods() {
        return List.of(
                new RpcMethod<>(
                        SERVICE + "ApplyConfiguration",
                        ApplyConfigurationRequest.getDefaultInstance(),
                        request -> led(() -> apply(request)),
                        ApplyConfigurationResponse::getFailure),
                RpcMethod.of(
                        SERVICE + "GetConfiguration",
                        GetConfigurationRequest.getDefaultInstance(),
                        request -> led(this::configuration)),
                RpcMethod.of(
                        SERVICE + "GetTopology",
                        GetTopologyRequest.getDefaultInstance(),
                        request -> led(this::topology)),
                new RpcMethod<>(
                        SERVICE + "SetDeparture",
                        SetDepartureRequest.getDefaultInstance(),
                        request -> led(() -> setDeparture(request)),
                        OperationResponse::getFailure),
                new RpcMethod<>(
                        SERVICE + "PromoteDatabase",
                        PromoteDatabaseRequest.getDefaultInstance(),
                        request -> led(() -> promote(request)),
                        OperationResponse::getFailure),
                new RpcMethod<>(
                        SERVICE + "ReplaceControlMember",
                        ReplaceControlMemberRequest.getDefaultInstance(),
                        request -> led(() -> replaceMember(request)),
                        OperationResponse::getFailure));
    }

    private CompletableFuture<ApplyConfigurationResponse> apply(ApplyConfigurationRequest request) {
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
            ApplyConfigurationResponse.Builder answer = ApplyConfigurationResponse.newBuilder()
                    .setVersion(result.version())
                    .setReplayed(result.replayed());
            result.failure()
                    .ifPresentOrElse(
                            failure -> answer.setFailure(Envelopes.failure(failure)),
                            () -> answer.addAllChanges(result.replayed() ? List.of() : changes));
            return answer.build();
        });
    }

    private ApplyConfigurationResponse dryRun(ApplyConfigurationRequest request, List<String> changes) {
        long version = state.get().getConfiguration().getVersion();
        ApplyConfigurationResponse.Builder answer =
                ApplyConfigurationResponse.newBuilder().setVersion(version);
        Optional<FailureException> refusal = request.getExpectedVersion() == version
                ? ConfigurationValidator.check(ConfigurationCodec.declared(request.getConfiguration()))
                : Optional.of(new FailureException(
                        FailureType.VERSION_CONFLICT,
                        "expected " + request.getExpectedVersion() + ", current " + version));
        refusal.ifPresentOrElse(
                failure -> answer.setFailure(Envelopes.failure(failure)), () -> answer.addAllChanges(changes));
        return answer.build();
    }

    private CompletableFuture<Configuration> configuration() {
        return log.confirmLeadership().thenApply(done -> state.get().getConfiguration());
    }

    private CompletableFuture<Topology> topology() {
        return log.confirmLeadership()
                .thenCompose(done -> coordinator.topology())
                .thenApply(topology -> topology.toBuilder()
                        .setControlLeaderId(log.leadership().leaderId().orElse(""))
                        .addAllControlMembers(members.get())
                        .build());
    }

    private CompletableFuture<OperationResponse> setDeparture(SetDepartureRequest request) {
        boolean known = state.get().getDatabasesList().stream()
                .anyMatch(database -> database.getDatabaseId().equals(request.getDatabaseId()));
        if (!known) {
            return CompletableFuture.failedFuture(
                    new FailureException(FailureType.UNKNOWN_DATABASE, request.getDatabaseId()));
        }
        ControlCommand command = command(request.getRequestId())
                .setSetDepartures(SetDepartures.newBuilder()
                        .addDatabaseIds(request.getDatabaseId())
                        .setDeparting(request.getDeparting()))
                .build();
        return log.propose(command).thenApply(Operations::response);
    }

    private CompletableFuture<OperationResponse> promote(PromoteDatabaseRequest request) {
        Optional<String> databaseId =
                request.getDatabaseId().isEmpty() ? Optional.empty() : Optional.of(request.getDatabaseId());
        return log.confirmLeadership()
                .thenCompose(done -> coordinator.handOver(request.getGroup(), databaseId))
                .thenApply(done -> OperationResponse.getDefaultInstance());
    }

    /** The old member leaves and the new one joins without a vote; the log gives it one once it has caught up. */
    private CompletableFuture<OperationResponse> replaceMember(ReplaceControlMemberRequest request) {
        List<ControlMember> present = members.get();
        ChangeMembers.Builder next = ChangeMembers.newBuilder();
        present.stream()
                .filter(member -> !member.getMemberId().equals(request.getMemberId()))
                .forEach(member -> next.addMembers(member.toBuilder().clearMatchedIndex()));
        boolean complete = request.getReplacement().hasPeer()
                && request.getReplacement().hasHttp()
                && !request.getReplacement().getMemberId().isEmpty();
        if (next.getMembersCount() == present.size() || !complete) {
            return CompletableFuture.failedFuture(new FailureException(
                    FailureType.INVALID_REQUEST, "member_id must be a member, and replacement complete"));
        }
        next.addMembers(request.getReplacement());
        return log.propose(
                        command(request.getRequestId()).setChangeMembers(next).build())
                .thenApply(Operations::response);
    }

    private static OperationResponse response(CommandResult result) {
        OperationResponse.Builder answer = OperationResponse.newBuilder().setReplayed(result.replayed());
        result.failure().ifPresent(failure -> answer.setFailure(Envelopes.failure(failure)));
        return answer.build();
    }

    private ControlCommand.Builder command(String requestId) {
        return ControlCommand.newBuilder().setRequestId(requestId).setProposedAtMs(clock.millis());
    }

    /** Runs a call on the leader, and gives refusals by the log the leader's HTTP endpoint. */
    private <T> CompletableFuture<T> led(Supplier<CompletableFuture<T>> call) {
        if (!log.leadership().isLeader()) {
            return CompletableFuture.failedFuture(counted(notLeader()));
        }
        return call.get().exceptionally(error -> {
            FailureException failure = FailureException.of(error);
            throw counted(failure.type() == FailureType.NOT_LEADER ? notLeader() : failure);
        });
    }

    private FailureException counted(FailureException failure) {
        metrics.refused(failure.type());
        return failure;
    }

    private FailureException notLeader() {
        Leadership leadership = log.leadership();
        return new FailureException(
                FailureType.NOT_LEADER,
                leadership.leaderId().map(httpEndpointOf).orElse(""));
    }
}
