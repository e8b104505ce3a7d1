package org.hornbeamspread.transport;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
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
