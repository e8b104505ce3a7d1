package org.hornbeamspread.control.routes;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.InstanceRegistry.Departure;
import org.hornbeamspread.core.route.QuotaBounds;
import org.hornbeamspread.core.route.Route;
import org.hornbeamspread.core.route.RouteConfiguration;
import org.hornbeamspread.core.route.RouteKind;
import org.hornbeamspread.core.route.RoutedService;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.JoinControl;
import org.hornbeamspread.protocol.schema.RouteConfigurationDocument;
import org.hornbeamspread.protocol.schema.SystemUpdate;
import org.hornbeamspread.protocol.schema.WatchSystem;
import org.hornbeamspread.runtime.MonotonicClock;
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerTransport;
import org.hornbeamspread.transport.RouteMessages;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A configuration must be accepted at every member and survive the loss of one, and proxies must receive announcements
 * and departures. Runs three members on loopback with logs on disk; databases are unreachable, and promotions are
 * refused.
 */
final class RouteDaemonTest {
    private static final Duration TEST_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(2);
    /** A replaced member stops counting this long after its successor starts. */
    private static final Duration CATCH_UP_TIME = Duration.ofSeconds(4);

    private static final Executor RETRY_EXECUTOR = CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS);

    @TempDir
    Path directory;

    private final PeerTransport transport = new PeerTransport(2);
    private final Map<String, RouteDaemon> daemons = new TreeMap<>();
    private final List<ControlMember> members = new ArrayList<>();

    @BeforeEach
    void startThree() {
        for (int i = 1; i <= 3; i++) {
            members.add(member("c" + i));
        }
        members.forEach(member -> start(member, members, true));
    }

    @AfterEach
    void stop() {
        daemons.values().forEach(RouteDaemon::close);
        transport.close();
    }

    @Test
    void configurationIsAcceptedAndReadAtEveryMember() {
        assertThat(replaceRoutes("c2", configurationDocument(7, "seven"))).isEqualTo(7);

        for (String id : daemons.keySet()) {
            assertThat(readRoutes(id).getSource()).isEqualTo(ByteString.copyFromUtf8("seven"));
        }
    }

    /** The first start waited for every initial member, so that one lost machine kept the whole system from serving. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void firstStartSucceedsWithoutOneOfThreeMembers(int lost) {
        List<ControlMember> initialMembers = List.of(member("n1"), member("n2"), member("n3"));
        List<ControlMember> started = new ArrayList<>(initialMembers);
        started.remove(lost);
        started.forEach(member -> start(member, initialMembers, true));

        for (ControlMember member : started) {
            assertThat(replaceRoutes(member.getMemberId(), configurationDocument(7, "seven")))
                    .isEqualTo(7);
        }
    }

    /** A process that starts again on its disk isn't told of a first start any more, and all of them waited for another to create the log. */
    @Test
    void firstStartSucceedsAlthoughEveryMemberRestartsBeforeTheyMeet() {
        List<ControlMember> initialMembers = List.of(member("n1"), member("n2"), member("n3"));
        for (ControlMember member : initialMembers) {
            start(member, initialMembers, true);
            daemons.remove(member.getMemberId()).close();
        }
        initialMembers.forEach(member -> start(member, initialMembers, false));

        assertThat(replaceRoutes("n2", configurationDocument(7, "seven"))).isEqualTo(7);
    }

    @Test
    void configurationWithoutAHigherVersionIsAcknowledgedAndIgnored() {
        replaceRoutes("c1", configurationDocument(7, "seven"));

        assertThat(replaceRoutes("c3", configurationDocument(5, "five"))).isEqualTo(7);
        assertThat(replaceRoutes("c3", configurationDocument(7, "other"))).isEqualTo(7);
        assertThat(readRoutes("c2").getSource().toStringUtf8()).isEqualTo("seven");
    }

    @Test
    void invalidConfigurationIsRejected() {
        replaceRoutes("c1", configurationDocument(7, "seven"));
        RouteConfigurationDocument invalid =
                configurationDocument(8, "eight").toBuilder().clearServices().build();

        FailureType failureType = retryUntilSuccess(() -> daemons.get("c2")
                .operations()
                .replaceRoutes(invalid)
                .handle((version, error) -> FailureException.of(error).type())
                .thenApply(RouteDaemonTest::requireInvalidConfiguration));
        assertThat(failureType).isEqualTo(FailureType.INVALID_CONFIGURATION);
        assertThat(readRoutes("c3").getVersion()).isEqualTo(7);
    }

    @Test
    void watchingProxyReceivesAnnouncementsAndDepartures() {
        replaceRoutes("c1", configurationDocument(7, "seven"));
        DatabaseInstance instance = instance(100, false);
        retryUntilSuccess(() -> daemons.get("c2").operations().announce(instance));
        SystemUpdate first = watch(update -> update.getInstancesCount() == 1);
        assertThat(first.getConfiguration().getVersion()).isEqualTo(7);
        assertThat(first.getConfiguration().getSource().isEmpty()).isTrue();
        assertThat(first.getControlPeersCount()).isEqualTo(3);

        retryUntilSuccess(() -> daemons.get("c3").operations().announce(instance(100, true)));
        watch(update ->
                update.getInstancesCount() == 1 && update.getInstances(0).getDraining());
        retryUntilSuccess(() -> daemons.get("c1").operations().depart(new Departure("i-1", 100)));
        watch(update -> update.getChanged() && update.getInstancesCount() == 0);
    }

    @Test
    void acceptedConfigurationSurvivesAMemberLossAndReachesAJoiningMember() {
        replaceRoutes("c1", configurationDocument(7, "seven"));
        daemons.remove("c3").close();
        ControlMember joining = member("c4");
        start(joining, members, false);

        assertThat(readRoutes("c4").getSource().toStringUtf8()).isEqualTo("seven");
        assertThat(replaceRoutes("c4", configurationDocument(9, "nine"))).isEqualTo(9);
        assertThat(readRoutes("c1").getVersion()).isEqualTo(9);
    }

    /** Four voters, of which one is gone and one loses its disk, would have no leader for good. */
    @Test
    void configurationIsReadAfterTheLossOfADiskFollowsAReplacement() {
        replaceRoutes("c1", configurationDocument(7, "seven"));
        daemons.remove("c3").close();
        delay(Duration.ofMillis(300));
        ControlMember successor = member("c4");
        start(successor, members, false);
        delay(CATCH_UP_TIME);
        daemons.values().forEach(RouteDaemon::close);
        deleteDirectory(directory.resolve("c1"));
        start(members.get(0), members, false);
        start(members.get(1), members, false);
        start(successor, members, false);

        assertThat(readRoutes("c2").getSource().toStringUtf8()).isEqualTo("seven");
    }

    /** A leader that departs steps down, and its successor gave the vote back to it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDepartingMemberHandsItsVoteOverToAStandby(boolean leads) {
        replaceRoutes("c1", configurationDocument(7, "seven"));
        String departing = daemons.keySet().stream()
                .filter(id -> daemons.get(id).isLeader() == leads)
                .findFirst()
                .orElseThrow();
        List<String> remaining = List.of("c1", "c2", "c3", "c4").stream()
                .filter(id -> !id.equals(departing))
                .toList();
        start(member("c4"), members, false);
        awaitMembers(departing, List.of("c1", "c2", "c3"), 4);
        daemons.get(departing).handOverVote();
        awaitMembers(remaining.get(0), remaining, 4);
    }

    /** A join request with a port out of range was recorded, and halted each leader that connected to the new member. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 65_536, Integer.MAX_VALUE})
    void joinRequestWithAnUnusablePortIsRefused(int port) {
        replaceRoutes("c1", configurationDocument(7, "seven"));
        JoinControl join = JoinControl.newBuilder()
                .setMemberId("c4")
                .setPeer(Endpoint.newBuilder().setHost("127.0.0.1").setPort(port))
                .build();

        assertThat(joinOutcome(join)).isEqualTo(FailureType.INVALID_REQUEST);
        assertThat(replaceRoutes("c2", configurationDocument(8, "eight"))).isEqualTo(8);
        assertThat(daemons.get("c1").members()).hasSize(3);
    }

    /** The failure with which the leader refuses a join request. */
    private FailureType joinOutcome(JoinControl join) {
        int[] attempts = {0};
        return retryUntilSuccess(() -> transport
                .connect(
                        members.get(attempts[0]++ % members.size()).getPeer(),
                        ATTEMPT_TIMEOUT,
                        (connection, request, replyCallback) -> connection.close())
                .thenCompose(connection -> connection
                        .request(Envelope.newBuilder().setJoinControl(join).build(), ATTEMPT_TIMEOUT)
                        .whenComplete((response, error) -> connection.close()))
                .handle((response, error) -> {
                    FailureType type = error == null
                            ? FailureType.UNKNOWN_METHOD
                            : FailureException.of(error).type();
                    if (type == FailureType.NOT_LEADER) {
                        throw new FailureException(type, "redirected");
                    }
                    return type;
                }));
    }

    private void awaitMembers(String id, List<String> voterIds, int memberCount) {
        retryUntilSuccess(() -> {
            List<ControlMember> current = daemons.get(id).members();
            List<String> voters = current.stream()
                    .filter(ControlMember::getVoting)
                    .map(ControlMember::getMemberId)
                    .toList();
            return voters.equals(voterIds) && current.size() == memberCount
                    ? CompletableFuture.completedFuture(voters)
                    : CompletableFuture.failedFuture(new FailureException(FailureType.NO_VIEW, voters.toString()));
        });
    }

    private static void delay(Duration time) {
        CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(time.toMillis(), TimeUnit.MILLISECONDS))
                .join();
    }

    private static void deleteDirectory(Path path) {
        try (Stream<Path> files = Files.walk(path)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Fails on any other failure type, as returned while there is no leader, so that the call is retried. */
    private static FailureType requireInvalidConfiguration(FailureType type) {
        if (type != FailureType.INVALID_CONFIGURATION) {
            throw new FailureException(type, "no leader yet");
        }
        return type;
    }

    private ControlMember member(String id) {
        Endpoint peer =
                Endpoint.newBuilder().setHost("127.0.0.1").setPort(freePort()).build();
        return ControlMember.newBuilder()
                .setMemberId(id)
                .setPeer(peer)
                .setHttp(peer)
                .setVoting(true)
                .build();
    }

    private int freePort() {
        Endpoint anyPort = Endpoint.newBuilder().setHost("127.0.0.1").build();
        try (org.hornbeamspread.transport.PeerServer server = transport
                .listen(anyPort, (connection, request, replyCallback) -> connection.close())
                .join()) {
            return server.port();
        }
    }

    private void start(ControlMember self, List<ControlMember> initialMembers, boolean firstStart) {
        RouteDaemon.Settings settings = new RouteDaemon.Settings(
                self,
                self.getPeer(),
                "test",
                initialMembers,
                firstStart,
                3,
                directory.resolve(self.getMemberId()),
                QuotaBounds.DEFAULT,
                () -> initialMembers.stream().map(ControlMember::getPeer).toList());
        daemons.put(
                self.getMemberId(),
                RouteDaemon.start(
                        settings,
                        transport,
                        new UnreachableDatabases(),
                        (service, instanceId, holder, token) -> CompletableFuture.completedFuture(false),
                        new MonotonicClock(),
                        Clock.systemUTC(),
                        EventLog.NONE,
                        new PrometheusRegistry()));
    }

    private long replaceRoutes(String id, RouteConfigurationDocument document) {
        return retryUntilSuccess(() -> daemons.get(id).operations().replaceRoutes(document));
    }

    private RouteConfigurationDocument readRoutes(String id) {
        return retryUntilSuccess(() -> daemons.get(id).operations().readRoutes());
    }

    /** Sends watch requests to the members in turn, as a proxy does, until an update satisfies the predicate. */
    private SystemUpdate watch(java.util.function.Predicate<SystemUpdate> condition) {
        int[] attempts = {0};
        return retryUntilSuccess(() -> {
            List<ControlMember> targets = members;
            Endpoint peer = targets.get(attempts[0]++ % targets.size()).getPeer();
            Envelope watchRequest = Envelope.newBuilder()
                    .setWatchSystem(WatchSystem.newBuilder().setProxyId("p1"))
                    .build();
            return transport
                    .connect(peer, ATTEMPT_TIMEOUT, (connection, request, replyCallback) -> connection.close())
                    .thenCompose((PeerConnection connection) -> connection
                            .request(watchRequest, ATTEMPT_TIMEOUT)
                            .whenComplete((response, error) -> connection.close()))
                    .thenApply(Envelope::getSystemUpdate)
                    .thenApply(update -> {
                        if (!condition.test(update)) {
                            throw new FailureException(FailureType.NO_VIEW, AddressTranslator.format(peer));
                        }
                        return update;
                    });
        });
    }

    /** Retries an operation that may fail while there is no leader yet. */
    private static <T> T retryUntilSuccess(Supplier<CompletableFuture<T>> attempt) {
        CompletableFuture<T> outcome = new CompletableFuture<>();
        retry(attempt, outcome);
        return outcome.orTimeout(TEST_TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
    }

    private static <T> void retry(Supplier<CompletableFuture<T>> attempt, CompletableFuture<T> outcome) {
        attempt.get().whenComplete((value, error) -> {
            if (error == null) {
                outcome.complete(value);
            } else if (!outcome.isDone()) {
                RETRY_EXECUTOR.execute(() -> retry(attempt, outcome));
            }
        });
    }

    private static DatabaseInstance instance(long bornMs, boolean draining) {
        return new DatabaseInstance(
                "i-1", "ledger", new Address("10.0.0.1", 5432), "domain", 2, draining, true, bornMs, draining ? 2 : 1);
    }

    private static RouteConfigurationDocument configurationDocument(long version, String source) {
        Route route = new Route("r", "topup", "ledger", RouteKind.PRIMARY, 0, 800, 250, 0);
        RouteConfiguration configuration =
                new RouteConfiguration(version, List.of(route), List.of(new RoutedService("ledger", 28, 1)), 3_000);
        return RouteMessages.toWire(configuration)
                .setSource(ByteString.copyFromUtf8(source))
                .build();
    }
}
