package org.hornbeamspread.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A server that goes silent, also in the middle of a response: the call waited for the rest of the body for good. */
final class RpcClientTest {
    private static final int TEST_TIMEOUT_S = 20;

    private final ExecutorService serverThread = Executors.newSingleThreadExecutor();

    @AfterEach
    void close() {
        serverThread.shutdownNow();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"})
    void callToASilentServerFailsWithATimeout(String response) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Integer> closedByClient =
                    CompletableFuture.supplyAsync(() -> answer(server, response), serverThread);
            CompletableFuture<ExecuteResponse> call = new RpcClient()
                    .call(
                            Endpoint.newBuilder()
                                    .setHost("127.0.0.1")
                                    .setPort(server.getLocalPort())
                                    .build(),
                            "hornbeamspread.Statements/Execute",
                            ExecuteRequest.getDefaultInstance(),
                            ExecuteResponse.getDefaultInstance(),
                            Duration.ofMillis(300));

            CompletionException failure = assertThrows(
                    CompletionException.class,
                    () -> call.orTimeout(TEST_TIMEOUT_S, TimeUnit.SECONDS).join());
            assertThat(FailureException.of(failure).type()).isEqualTo(FailureType.REQUEST_TIMEOUT);
            assertThat(closedByClient
                            .orTimeout(TEST_TIMEOUT_S, TimeUnit.SECONDS)
                            .join())
                    .isEqualTo(-1);
        }
    }

    /** Sends the start of a response and returns what ends the client's request stream. */
    private static int answer(ServerSocket server, String response) {
        try (Socket connection = server.accept()) {
            connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            int next = 0;
            while (next >= 0) {
                next = connection.getInputStream().read();
            }
            return next;
        } catch (IOException e) {
            return -1;
        }
    }
}
