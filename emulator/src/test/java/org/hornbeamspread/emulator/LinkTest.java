package org.hornbeamspread.emulator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.emulator.LinkPlan.Pair;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.LinkBytes;
import org.hornbeamspread.protocol.schema.SetCutRequest;
import org.hornbeamspread.protocol.schema.Vote;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class LinkTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final long MS = 1_000_000;
    private static final List<String> ENTOTO = List.of(
            "domain bole addis",
            "domain piassa addis # the other one",
            "domain sabian dire-dawa",
            "",
            "latency bole piassa 1.5",
            "latency bole sabian 8",
            "bandwidth addis dire-dawa 20");

    @Test
    void latencyAndSharedBandwidthDelayEachChunk() {
        Map<Pair, LinkLane> lanes = LinkFile.parse(ENTOTO).lanes();
        LinkLane near = lanes.get(new Pair("piassa", "bole"));
        LinkLane far = lanes.get(new Pair("bole", "sabian"));
        LinkLane farToo = lanes.get(new Pair("piassa", "sabian"));
        LinkLane farBack = lanes.get(new Pair("sabian", "bole"));
        assertThat(near.send(1_000_000, 0)).isEqualTo(3 * MS / 2);
        assertThat(far.send(2_500, 0)).isEqualTo(9 * MS);
        assertThat(farToo.send(2_500, 0)).isEqualTo(2 * MS);
        assertThat(far.send(2_500, 0)).isEqualTo(11 * MS);
        assertThat(farBack.send(2_500, 0)).isEqualTo(9 * MS);
        assertThat(far.send(2_500, 20 * MS)).isEqualTo(29 * MS);
    }

    @Test
    void aCutHoldsEverythingInOrderUntilItIsHealed() {
        LinkLane lane = LinkFile.parse(ENTOTO).lanes().get(new Pair("bole", "piassa"));
        LinkDirection<String> direction = new LinkDirection<>(lane);
        direction.add("a", 1, 0);
        lane.setCut(true);
        direction.add("b", 1, MS);
        assertThat(direction.poll(1000 * MS)).isEmpty();
        assertThat(direction.waitNs(1000 * MS).isPresent()).isFalse();
        lane.setCut(false);
        assertThat(direction.poll(MS)).isEmpty();
        assertThat(direction.waitNs(MS).getAsLong()).isEqualTo(MS / 2);
        assertThat(direction.poll(2 * MS)).hasValue("a");
        assertThat(direction.poll(2 * MS)).isEmpty();
        assertThat(direction.poll(5 * MS / 2)).hasValue("b");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "domain bole",
                "latency bole piassa -1",
                "bandwidth addis addis 0",
                "listen=127.0.0.1:1 target=127.0.0.1:2 from=bole",
                "listen=127.0.0.1:1 target=127.0.0.1:2 from=bole to=nowhere"
            })
    void aWrongLineIsRefused(String line) {
        FailureException refused =
                assertThrows(FailureException.class, () -> LinkFile.parse(List.of("domain bole addis", line)));
        assertThat(refused.type()).isEqualTo(FailureType.INVALID_SETTING);
    }

    @Test
    void aCutConnectionStaysOpenAndAnswersAfterItIsHealed() {
        try (PeerTransport transport = new PeerTransport(1)) {
            PeerServer echo = transport
                    .listen(endpoint(0), (connection, request, answer) -> answer.accept(request))
                    .join();
            String target = " target=127.0.0.1:" + echo.port();
            LinkPlan plan = LinkFile.parse(List.of(
                    "domain bole addis",
                    "domain sabian dire-dawa",
                    "listen=127.0.0.1:0" + target + " from=bole to=sabian",
                    "listen=127.0.0.1:0" + target + " from=bole to=bole"));
            try (LinkServer links = new LinkServer(plan)) {
                PeerConnection far = connect(transport, links.port(0));
                PeerConnection near = connect(transport, links.port(1));
                assertThat(ask(far, 1).join().getVote().getTerm()).isEqualTo(1);
                SetCutRequest cut = SetCutRequest.newBuilder()
                        .setFrom("*")
                        .setTo("sabian")
                        .setCut(true)
                        .build();
                assertThat(links.setCut(cut).join().getCutsList()).hasSize(1);
                CompletableFuture<Envelope> held = ask(far, 2);
                assertThat(ask(near, 3).join().getVote().getTerm()).isEqualTo(3);
                assertThat(held.isDone()).isFalse();
                links.setCut(cut.toBuilder().setCut(false).build()).join();
                assertThat(held.join().getVote().getTerm()).isEqualTo(2);
                LinkBytes bytes = links.bytes().join();
                assertThat(bytes.getInterRegionBytes()).isGreaterThan(0);
                assertThat(bytes.getPairsCount()).isEqualTo(4);
            }
        }
    }

    private static PeerConnection connect(PeerTransport transport, int port) {
        return transport
                .connect(endpoint(port), TIMEOUT, (peer, request, answer) -> {})
                .join();
    }

    private static CompletableFuture<Envelope> ask(PeerConnection connection, long term) {
        return connection.request(
                Envelope.newBuilder().setVote(Vote.newBuilder().setTerm(term)).build(), TIMEOUT);
    }

    private static Endpoint endpoint(int port) {
        return Endpoint.newBuilder().setHost("127.0.0.1").setPort(port).build();
    }
}
