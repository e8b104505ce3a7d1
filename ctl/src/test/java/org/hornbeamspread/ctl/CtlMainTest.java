package org.hornbeamspread.ctl;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.http.RpcMethod;
import org.hornbeamspread.http.RpcServer;
import org.hornbeamspread.protocol.schema.ApplyConfigurationRequest;
import org.hornbeamspread.protocol.schema.ApplyConfigurationResponse;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.GetConfigurationRequest;
import org.hornbeamspread.protocol.schema.GetTopologyRequest;
import org.hornbeamspread.protocol.schema.OperationResponse;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.SetDepartureRequest;
import org.hornbeamspread.protocol.schema.Topology;
import org.hornbeamspread.transport.Envelopes;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs commands against a control member that returns scripted answers. */
class CtlMainTest {
    private static final Endpoint ANY_PORT =
            Endpoint.newBuilder().setHost("127.0.0.1").setPort(0).build();

    private final List<RpcServer> servers = new ArrayList<>();
    private final List<ApplyConfigurationRequest> applied = new ArrayList<>();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private FailureType scriptedFailure;
    private String leader;
    private String follower;

    @BeforeEach
    void start() {
        leader = serve(List.of(
                RpcMethod.of(
                        "hornbeamspread.Operations/GetConfiguration",
                        GetConfigurationRequest.getDefaultInstance(),
                        request -> CompletableFuture.completedFuture(
                                Configuration.newBuilder().setVersion(7).build())),
                RpcMethod.of(
                        "hornbeamspread.Operations/GetTopology",
                        GetTopologyRequest.getDefaultInstance(),
                        request -> CompletableFuture.completedFuture(topology())),
                new RpcMethod<>(
                        "hornbeamspread.Operations/SetDeparture",
                        SetDepartureRequest.getDefaultInstance(),
                        request -> scriptedFailure == null
                                ? CompletableFuture.completedFuture(OperationResponse.getDefaultInstance())
                                : CompletableFuture.failedFuture(new FailureException(scriptedFailure, "scripted")),
                        OperationResponse::getFailure),
                new RpcMethod<>(
                        "hornbeamspread.Operations/ApplyConfiguration",
                        ApplyConfigurationRequest.getDefaultInstance(),
                        this::apply,
                        ApplyConfigurationResponse::getFailure)));
        follower = serve(List.of(RpcMethod.of(
                "hornbeamspread.Operations/GetTopology",
                GetTopologyRequest.getDefaultInstance(),
                request -> CompletableFuture.<Topology>failedFuture(
                        new FailureException(FailureType.NOT_LEADER, leader)))));
    }

    @AfterEach
    void stop() {
        servers.forEach(RpcServer::close);
    }

    @ParameterizedTest
    @CsvSource({"-1,7", "3,3"})
    void loadSendsTheExpectedVersion(long expectedVersionFlag, long sentVersion) {
        List<String> command = new ArrayList<>(List.of("configuration", "load", "../examples/ujaas.json"));
        if (expectedVersionFlag >= 0) {
            command.addAll(List.of("--expected-version", String.valueOf(expectedVersionFlag)));
        }
        assertThat(run(leader, command.toArray(String[]::new))).isEqualTo(ExitCode.DONE);
        assertThat(applied.get(0).getExpectedVersion()).isEqualTo(sentVersion);
        assertThat(applied.get(0).getRequestId()).isNotEmpty();
        assertThat(applied.get(0).getConfiguration().getGroupsCount()).isEqualTo(3);
    }

    @ParameterizedTest
    @CsvSource({"TABLE,p1", "JSON,\"proxyId\": \"p1\""})
    void aFollowerRedirectsToTheLeader(String format, String expected) {
        assertThat(run(follower, "--output", format, "proxies")).isEqualTo(ExitCode.DONE);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains(expected);
    }

    @ParameterizedTest
    @CsvSource({"7,DONE", "8,UNKNOWN_OUTCOME"})
    void awaitReturnsWhenEveryProxyHasTheVersion(long version, ExitCode expected) {
        assertThat(run(leader, "configuration", "await", String.valueOf(version), "--await-timeout-ms", "0"))
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @EnumSource(
            value = FailureType.class,
            names = {"UNKNOWN_DATABASE", "MEMBER_CHANGE_IN_PROGRESS", "INTERNAL", "LEADERSHIP_LOST", "NO_LEADER"})
    void aRefusalSetsTheExitCodeAndPrintsAdvice(FailureType type) {
        scriptedFailure = type;
        assertThat(run(leader, "--timeout-ms", "0", "departure", "start", "g1-a"))
                .isEqualTo(ExitCode.of(type));
        assertThat(err.toString(StandardCharsets.UTF_8)).contains(type + ": ");
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("Next: ");
    }

    @ParameterizedTest
    @CsvSource({
        "fly,2",
        "configuration load /no/such/file,2",
        "departure sideways g1-a,2",
        "topology --fast,2",
        "configuration load ../examples/ujaas.json --request-id r1,2"
    })
    void anInvalidCommandSendsNoRequest(String command, int code) {
        assertThat(run(leader, command.split(" ", -1)).code()).isEqualTo(code);
        assertThat(applied).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"topology,3", "'promote g1',3"})
    void unreachableControlMembersGiveTheirExitCode(String command, int code) throws Exception {
        String closedEndpoint;
        try (ServerSocket socket = new ServerSocket(0)) {
            closedEndpoint = "127.0.0.1:" + socket.getLocalPort();
        }
        assertThat(run(closedEndpoint, ("--timeout-ms 0 " + command).split(" ", -1))
                        .code())
                .isEqualTo(code);
    }

    private ExitCode run(String control, String... command) {
        List<String> arguments = new ArrayList<>(List.of("--control", control));
        arguments.addAll(List.of(command));
        return CtlMain.run(
                Map.of(),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                arguments.toArray(String[]::new));
    }

    private CompletableFuture<ApplyConfigurationResponse> apply(ApplyConfigurationRequest request) {
        applied.add(request);
        ApplyConfigurationResponse.Builder answer = ApplyConfigurationResponse.newBuilder();
        if (scriptedFailure != null) {
            answer.setFailure(Envelopes.failure(new FailureException(scriptedFailure, "scripted")));
        }
        return CompletableFuture.completedFuture(answer.setVersion(8).build());
    }

    private static Topology topology() {
        return Topology.newBuilder()
                .setConfigurationVersion(7)
                .setControlLeaderId("c1")
                .addProxies(ProxyEntry.newBuilder().setProxyId("p1").setConfigurationVersion(7))
                .addControlMembers(ControlMember.newBuilder().setMemberId("c1"))
                .build();
    }

    private String serve(List<RpcMethod<?, ?>> methods) {
        RpcServer server = new RpcServer(ANY_PORT, methods, () -> true, new PrometheusRegistry());
        servers.add(server);
        return "127.0.0.1:" + server.port();
    }
}
