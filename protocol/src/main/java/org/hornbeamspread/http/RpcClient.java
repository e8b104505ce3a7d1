package org.hornbeamspread.http;

import com.google.protobuf.Message;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Failure;
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.Envelopes;

/** Calls the schema's methods over HTTP, with protobuf's binary encoding. Thread-safe. */
public final class RpcClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient httpClient = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    /**
     * Calls a method. A response of the method's response type completes the future normally, also when it contains a
     * failure. A response with an error status whose body is a Failure message fails the future with the type of that
     * failure. Transport errors fail the future with CONNECTION_REFUSED, REQUEST_TIMEOUT or CONNECTION_LOST.
     */
    public <A extends Message> CompletableFuture<A> call(
            Endpoint server, String method, Message request, A responsePrototype, Duration timeout) {
        HttpRequest httpRequest = HttpRequest.newBuilder(
                        URI.create("http://" + AddressTranslator.format(server) + "/" + method))
                .timeout(timeout)
                .header("Content-Type", RpcCodec.PROTOBUF.contentType())
                .POST(HttpRequest.BodyPublishers.ofByteArray(RpcCodec.PROTOBUF.encode(request)))
                .build();
        CompletableFuture<HttpResponse<byte[]>> exchange =
                httpClient.sendAsync(httpRequest, HttpResponse.BodyHandlers.ofByteArray());
        // The timeout of the HTTP client ends with the headers. Cancelling closes the connection, so that it is not
        // used again.
        CompletableFuture<Void> timer =
                new CompletableFuture<Void>().completeOnTimeout(null, timeout.toMillis(), TimeUnit.MILLISECONDS);
        timer.thenRun(() -> exchange.cancel(true));
        return exchange.handle((response, error) -> {
            timer.cancel(false);
            if (error != null) {
                throw transportFailure(error);
            }
            return decode(response, responsePrototype);
        });
    }

    private static <A extends Message> A decode(HttpResponse<byte[]> response, A responsePrototype) {
        if (response.statusCode() != 200) {
            FailureException failure = parseFailure(response.body());
            if (failure != null) {
                throw failure;
            }
        }
        return RpcCodec.PROTOBUF.decode(responsePrototype, response.body());
    }

    /** The typed failure when the body is a Failure message. Null when the body is of the method's response type. */
    private static FailureException parseFailure(byte[] body) {
        try {
            Failure failure = RpcCodec.PROTOBUF.decode(Failure.getDefaultInstance(), body);
            return failure.getUnknownFields().asMap().isEmpty() && isFailureType(failure.getType())
                    ? Envelopes.exception(failure)
                    : null;
        } catch (FailureException e) {
            return null;
        }
    }

    private static boolean isFailureType(String name) {
        for (FailureType type : FailureType.values()) {
            if (type.name().equals(name)) {
                return true;
            }
        }
        return false;
    }

    private static FailureException transportFailure(Throwable error) {
        Throwable cause = error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        if (cause instanceof ConnectException) {
            return new FailureException(FailureType.CONNECTION_REFUSED, String.valueOf(cause.getMessage()));
        }
        if (cause instanceof HttpTimeoutException || cause instanceof CancellationException) {
            return new FailureException(FailureType.REQUEST_TIMEOUT, String.valueOf(cause.getMessage()));
        }
        return new FailureException(FailureType.CONNECTION_LOST, String.valueOf(cause));
    }
}
