package org.hornbeamspread.emulator;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.emulator.LinkConfiguration.OrderedPair;
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

/** Guards against wrong delays, and against reordered or lost data on links that are cut and healed. */
final class LinkTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final long NS_PER_MS = 1_000_000;
    private static final List<String> CONFIGURATION_LINES = List.of(
            "domain bole addis",
            "domain piassa addis # the other one",
            "domain sabian dire-dawa",
            "",
            "latency bole piassa 1.5",
            "latency bole sabian 8",
            "bandwidth addis dire-dawa 20");

    @Test
    void latencyAndSharedBandwidthDelayEachChunk() {
        Map<OrderedPair, DirectedLink> links =
                LinkFileParser.parse(CONFIGURATION_LINES).directedLinks();
        DirectedLink sameRegionLink = links.get(new OrderedPair("piassa", "bole"));
        DirectedLink interRegionLink = links.get(new OrderedPair("bole", "sabian"));
        DirectedLink sharedBandwidthLink = links.get(new OrderedPair("piassa", "sabian"));
        DirectedLink reverseLink = links.get(new OrderedPair("sabian", "bole"));
        assertThat(sameRegionLink.scheduleArrival(1_000_000, 0)).isEqualTo(3 * NS_PER_MS / 2);
        assertThat(interRegionLink.scheduleArrival(2_500, 0)).isEqualTo(9 * NS_PER_MS);
        assertThat(sharedBandwidthLink.scheduleArrival(2_500, 0)).isEqualTo(2 * NS_PER_MS);
        assertThat(interRegionLink.scheduleArrival(2_500, 0)).isEqualTo(11 * NS_PER_MS);
        assertThat(reverseLink.scheduleArrival(2_500, 0)).isEqualTo(9 * NS_PER_MS);
        assertThat(interRegionLink.scheduleArrival(2_500, 20 * NS_PER_MS)).isEqualTo(29 * NS_PER_MS);
    }

    @Test
    void aCutLinkDelaysAllChunksInOrderUntilItIsHealed() {
        DirectedLink link =
                LinkFileParser.parse(CONFIGURATION_LINES).directedLinks().get(new OrderedPair("bole", "piassa"));
        LinkQueue<String> queue = new LinkQueue<>(link);
        queue.add("a", 1, 0);
        link.setCut(true);
        queue.add("b", 1, NS_PER_MS);
        assertThat(queue.poll(1000 * NS_PER_MS)).isEmpty();
        assertThat(queue.nsUntilNextArrival(1000 * NS_PER_MS).isPresent()).isFalse();
        link.setCut(false);
        assertThat(queue.poll(NS_PER_MS)).isEmpty();
        assertThat(queue.nsUntilNextArrival(NS_PER_MS).getAsLong()).isEqualTo(NS_PER_MS / 2);
        assertThat(queue.poll(2 * NS_PER_MS)).hasValue("a");
        assertThat(queue.poll(2 * NS_PER_MS)).isEmpty();
        assertThat(queue.poll(5 * NS_PER_MS / 2)).hasValue("b");
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
    void anInvalidLineIsRejected(String line) {
        FailureException failure =
                assertThrows(FailureException.class, () -> LinkFileParser.parse(List.of("domain bole addis", line)));
        assertThat(failure.type()).isEqualTo(FailureType.INVALID_SETTING);
    }

    @Test
    void aConnectionOverACutLinkStaysOpenAndResumesAfterHealing() {
        try (PeerTransport transport = new PeerTransport(1)) {
            PeerServer echo = transport
                    .listen(endpoint(0), (connection, request, answer) -> answer.accept(request))
                    .join();
            String target = " target=127.0.0.1:" + echo.port();
            LinkConfiguration configuration = LinkFileParser.parse(List.of(
                    "domain bole addis",
                    "domain sabian dire-dawa",
                    "listen=127.0.0.1:0" + target + " from=bole to=sabian",
                    "listen=127.0.0.1:0" + target + " from=bole to=bole"));
            try (LinkServer links = new LinkServer(configuration)) {
                PeerConnection cutConnection = connect(transport, links.port(0));
                PeerConnection uncutConnection = connect(transport, links.port(1));
                assertThat(sendRequest(cutConnection, 1).join().getVote().getTerm())
                        .isEqualTo(1);
                SetCutRequest cut = SetCutRequest.newBuilder()
                        .setFrom("*")
                        .setTo("sabian")
                        .setCut(true)
                        .build();
                assertThat(links.setCut(cut).join().getCutsList()).hasSize(1);
                CompletableFuture<Envelope> delayedResponse = sendRequest(cutConnection, 2);
                assertThat(sendRequest(uncutConnection, 3).join().getVote().getTerm())
                        .isEqualTo(3);
                assertThat(delayedResponse.isDone()).isFalse();
                links.setCut(cut.toBuilder().setCut(false).build()).join();
                assertThat(delayedResponse.join().getVote().getTerm()).isEqualTo(2);
                LinkBytes bytes = links.getLinkBytes().join();
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

    private static CompletableFuture<Envelope> sendRequest(PeerConnection connection, long term) {
        return connection.request(
                Envelope.newBuilder().setVote(Vote.newBuilder().setTerm(term)).build(), TIMEOUT);
    }

    private static Endpoint endpoint(int port) {
        return Endpoint.newBuilder().setHost("127.0.0.1").setPort(port).build();
    }
}
