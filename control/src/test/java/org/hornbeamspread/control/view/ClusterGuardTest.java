package org.hornbeamspread.control.view;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.hornbeamspread.control.failover.ControlMetrics;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Announce;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.protocol.schema.ViewLease;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against leases and promotions for proxies and databases of another cluster that reach a wrong address. */
final class ClusterGuardTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Endpoint LOOPBACK =
            Endpoint.newBuilder().setHost("127.0.0.1").build();

    @ParameterizedTest
    @CsvSource({"entoto, true", "ujaas, false", "'', false"})
    void onlyRenewalsOfThisClusterAreAccepted(String clusterId, boolean accepted) {
        try (PeerTransport transport = new PeerTransport(1)) {
            PeerConnection connection = connect(transport, new RecordingHandler());
            CompletableFuture<Envelope> response = connection.request(renewal(clusterId), TIMEOUT);
            FailureType failure = response.handle((lease, error) ->
                            error == null ? null : FailureException.of(error).type())
                    .join();
            assertThat(failure).isEqualTo(accepted ? null : FailureType.WRONG_CLUSTER);
        }
    }

    @Test
    void announcementsOfOtherClustersAreDropped() throws InterruptedException {
        RecordingHandler handler = new RecordingHandler();
        try (PeerTransport transport = new PeerTransport(1)) {
            PeerConnection connection = connect(transport, handler);
            connection.push(announcement("ujaas"));
            connection.push(announcement("entoto"));
            assertThat(handler.announced.take()).isEqualTo("entoto");
            assertThat(handler.announced).isEmpty();
        }
    }

    private static PeerConnection connect(PeerTransport transport, PeerHandler delegate) {
        ClusterGuard guard = new ClusterGuard("entoto", delegate, new ControlMetrics(new PrometheusRegistry()));
        PeerServer server = transport.listen(LOOPBACK, guard).join();
        Endpoint target = LOOPBACK.toBuilder().setPort(server.port()).build();
        return transport.connect(target, TIMEOUT, new RecordingHandler()).join();
    }

    private static Envelope renewal(String clusterId) {
        return Envelope.newBuilder()
                .setRenewView(RenewView.newBuilder().setClusterId(clusterId))
                .build();
    }

    private static Envelope announcement(String clusterId) {
        return Envelope.newBuilder()
                .setAnnounce(Announce.newBuilder().setClusterId(clusterId))
                .build();
    }

    /** Answers renewals and records announcements. */
    private static final class RecordingHandler implements PeerHandler {
        private final LinkedBlockingQueue<String> announced = new LinkedBlockingQueue<>();

        @Override
        public void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> replyCallback) {
            replyCallback.accept(Envelope.newBuilder()
                    .setViewLease(ViewLease.getDefaultInstance())
                    .build());
        }

        @Override
        public void onPush(PeerConnection connection, Envelope push) {
            announced.add(push.getAnnounce().getClusterId());
        }
    }
}
