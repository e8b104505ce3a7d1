package org.hornbeamspread.transport;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.hornbeamspread.core.connection.ConnectionLiveness.Parameters;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.LookUpKey;
import org.hornbeamspread.protocol.schema.Vote;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Answers and failures over a peer connection reach the request that they belong to. */
final class PeerTransportTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Endpoint LOOPBACK =
            Endpoint.newBuilder().setHost("127.0.0.1").build();

    private final PeerTransport transport = new PeerTransport(1);

    @AfterEach
    void close() {
        transport.close();
    }

    @Test
    void answersOutOfOrderAreMatchedToTheirRequests() {
        List<Consumer<Envelope>> pendingAnswers = new ArrayList<>();
        PeerConnection connection = connect((peer, request, answer) -> {
            pendingAnswers.add(answer);
            if (pendingAnswers.size() == 2) {
                pendingAnswers.get(1).accept(vote(2));
                pendingAnswers.get(0).accept(vote(1));
            }
        });
        CompletableFuture<Envelope> first = connection.request(vote(0), TIMEOUT);
        CompletableFuture<Envelope> second = connection.request(vote(0), TIMEOUT);
        assertThat(first.join().getVote().getTerm()).isEqualTo(1);
        assertThat(second.join().getVote().getTerm()).isEqualTo(2);
    }

    @Test
    void aTypedFailureKeepsItsType() {
        PeerConnection connection = connect((peer, request, answer) ->
                answer.accept(Envelopes.failureEnvelope(new FailureException(FailureType.WRONG_TERM, "7"))));
        assertThat(failureOf(connection.request(vote(0), TIMEOUT)).type()).isEqualTo(FailureType.WRONG_TERM);
    }

    @Test
    void aClosedConnectionFailsPendingRequests() {
        PeerConnection connection = connect((peer, request, answer) -> peer.close());
        Envelope request = Envelope.newBuilder()
                .setLookUpKey(LookUpKey.getDefaultInstance())
                .build();
        assertThat(failureOf(connection.request(request, TIMEOUT)).type()).isEqualTo(FailureType.CONNECTION_LOST);
    }

    @Test
    void theTransportAnswersAProbeWithoutItsHandler() throws IOException {
        PeerServer server = transport
                .listen(LOOPBACK, (peer, request, answer) -> {
                    throw new IllegalStateException("a probe reached the handler");
                })
                .join();
        try (Socket socket = new Socket(LOOPBACK.getHost(), server.port())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            byte[] probe = Envelopes.PROBE.toByteArray();
            new DataOutputStream(socket.getOutputStream()).writeInt(probe.length);
            socket.getOutputStream().write(probe);
            DataInputStream input = new DataInputStream(socket.getInputStream());
            Envelope answer = Envelope.parseFrom(input.readNBytes(input.readInt()));
            assertThat(answer.getAnswer()).isTrue();
            assertThat(answer.getRequestId()).isEqualTo(Envelopes.PROBE.getRequestId());
        }
    }

    /** Connections of peers that left without a word stayed open for good (issue 35). */
    @Test
    void anAcceptedConnectionWhosePeerIsSilentIsClosed() throws IOException {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        PeerHandler handler = new PeerHandler() {
            @Override
            public void onRequest(PeerConnection peer, Envelope request, Consumer<Envelope> answer) {}

            @Override
            public void onClose(PeerConnection peer) {
                closed.complete(null);
            }
        };
        PeerServer server = transport.listen(LOOPBACK, handler).join();
        try (Socket socket = new Socket(LOOPBACK.getHost(), server.port())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            socket.getInputStream().readAllBytes();
            closed.join();
            assertThat(transport.counters().silentConnections()).isEqualTo(1);
            assertThat(transport.counters().acceptedConnections()).isEqualTo(0);
        }
    }

    /** A request that waits for its answer longer than the silence limit, such as a watch, keeps waiting while the peer is alive. */
    @Test
    void anIdleConnectionBetweenLivePeersStaysOpen() {
        CompletableFuture<Consumer<Envelope>> pendingAnswer = new CompletableFuture<>();
        PeerConnection connection = connect((peer, request, answer) -> pendingAnswer.complete(answer));
        CompletableFuture<Envelope> answer = connection.request(vote(0));
        pendingAnswer.join();
        assertThrows(
                TimeoutException.class,
                () -> answer.get(2 * Parameters.DEFAULT.silenceLimitMs(), TimeUnit.MILLISECONDS));
        pendingAnswer.join().accept(vote(1));
        assertThat(answer.join().getVote().getTerm()).isEqualTo(1);
    }

    /** An idle connection to an earlier release, which answers probes as an unsupported version and sends none, stays open. */
    @Test
    void anIdleConnectionToAnEarlierReleaseStaysOpen() throws IOException {
        try (ServerSocket earlier = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK.getHost()))) {
            Thread answers = new Thread(() -> answerAsEarlierRelease(earlier));
            answers.setDaemon(true);
            answers.start();
            Endpoint target =
                    LOOPBACK.toBuilder().setPort(earlier.getLocalPort()).build();
            PeerConnection connection = transport
                    .connect(target, TIMEOUT, (peer, request, answer) -> {})
                    .join();
            CompletableFuture<Envelope> pending = connection.request(vote(0));
            assertThrows(
                    TimeoutException.class,
                    () -> pending.get(2 * Parameters.DEFAULT.silenceLimitMs(), TimeUnit.MILLISECONDS));
            assertThat(connection.isOpen()).isTrue();
        }
    }

    private static void answerAsEarlierRelease(ServerSocket server) {
        try (Socket socket = server.accept()) {
            DataInputStream input = new DataInputStream(socket.getInputStream());
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            while (true) {
                Envelope request = Envelope.parseFrom(input.readNBytes(input.readInt()));
                if (request.getProtocolVersion() != Envelopes.PROTOCOL_VERSION) {
                    byte[] answer =
                            Envelopes.failureEnvelope(new FailureException(FailureType.UNSUPPORTED_VERSION, "0"))
                                    .toBuilder()
                                    .setProtocolVersion(Envelopes.PROTOCOL_VERSION)
                                    .setRequestId(request.getRequestId())
                                    .setAnswer(true)
                                    .build()
                                    .toByteArray();
                    output.writeInt(answer.length);
                    output.write(answer);
                }
            }
        } catch (IOException e) {
            // The test has ended.
        }
    }

    private PeerConnection connect(PeerHandler handler) {
        PeerServer server = transport.listen(LOOPBACK, handler).join();
        Endpoint target = LOOPBACK.toBuilder().setPort(server.port()).build();
        return transport.connect(target, TIMEOUT, (peer, request, answer) -> {}).join();
    }

    private static FailureException failureOf(CompletableFuture<Envelope> answer) {
        return FailureException.of(assertThrows(CompletionException.class, answer::join));
    }

    private static Envelope vote(long term) {
        return Envelope.newBuilder().setVote(Vote.newBuilder().setTerm(term)).build();
    }
}
