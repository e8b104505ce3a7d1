package org.hornbeamspread.control.failover;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.Leadership;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.runtime.MonotonicClock;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Renewals over real connections, with a fake log. Guards against leases that a member grants without being the leader
 * or without a confirmation of the leadership by a majority.
 */
final class CoordinatorTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Endpoint LOOPBACK =
            Endpoint.newBuilder().setHost("127.0.0.1").build();

    private final PeerTransport transport = new PeerTransport(1);
    private final FakeLog log = new FakeLog();
    private final Coordinator coordinator = new Coordinator(
            log,
            ControlState::getDefaultInstance,
            memberId -> memberId + ".peer:1",
            Duration.ofSeconds(1),
            new MonotonicClock(),
            transport,
            new ControlMetrics(new PrometheusRegistry()));

    @AfterEach
    void close() {
        coordinator.close();
        transport.close();
    }

    @ParameterizedTest
    @CsvSource({"true, true, lease", "true, false, c1.peer:1", "false, true, c1.peer:1"})
    void aLeaseIsGrantedOnlyByAConfirmedLeader(boolean leads, boolean confirmed, String expected) {
        log.leadership = new Leadership(3, Optional.of("c1"), leads);
        log.confirmed = confirmed;
        coordinator.start();
        assertThat(outcome(renewal("p1"))).isEqualTo(expected);
    }

    @Test
    void aMalformedRenewalDoesNotAffectOtherRenewals() {
        log.leadership = new Leadership(3, Optional.of("c1"), true);
        log.confirmed = true;
        coordinator.start();
        assertThat(outcome(renewal(""))).isEqualTo("INVALID_REQUEST");
        assertThat(outcome(renewal("p1"))).isEqualTo("lease");
    }

    private String outcome(Envelope request) {
        PeerServer server = transport.listen(LOOPBACK, coordinator).join();
        Endpoint endpoint = LOOPBACK.toBuilder().setPort(server.port()).build();
        PeerConnection connection = transport
                .connect(endpoint, TIMEOUT, (peer, frame, replyCallback) -> {})
                .join();
        return connection
                .request(request, TIMEOUT)
                .handle((response, error) -> {
                    if (error == null) {
                        return response.hasViewLease() ? "lease" : "other";
                    }
                    FailureException failure = FailureException.of(error);
                    return failure.type() == FailureType.NOT_LEADER
                            ? failure.detail()
                            : failure.type().name();
                })
                .join();
    }

    private static Envelope renewal(String proxyId) {
        return Envelope.newBuilder()
                .setRenewView(
                        RenewView.newBuilder().setProxy(ProxyEntry.newBuilder().setProxyId(proxyId)))
                .build();
    }

    /** Reports the configured leadership, and confirms it if {@code confirmed} is set. */
    private static final class FakeLog implements ReplicatedLog {
        private Leadership leadership = new Leadership(0, Optional.empty(), false);
        private boolean confirmed;

        @Override
        public CompletableFuture<CommandResult> propose(ControlCommand command) {
            return CompletableFuture.completedFuture(new CommandResult(0, false, Optional.empty()));
        }

        @Override
        public CompletableFuture<Void> confirmLeadership() {
            return confirmed
                    ? CompletableFuture.completedFuture(null)
                    : CompletableFuture.failedFuture(new FailureException(FailureType.NOT_LEADER, ""));
        }

        @Override
        public Leadership leadership() {
            return leadership;
        }

        @Override
        public void onLeadershipChange(Consumer<Leadership> listener) {}
    }
}
