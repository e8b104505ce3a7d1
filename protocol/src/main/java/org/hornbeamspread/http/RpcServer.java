package org.hornbeamspread.http;

import com.google.protobuf.Message;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Failure;
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.Envelopes;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/**
 * Serves the schema's methods as {@code POST /<package.Service>/<Method>}, and {@code GET /health}, {@code /ready} and
 * {@code /metrics}. The response body of a failed call is a Failure message.
 */
public final class RpcServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 4 << 20;

    /** Longer than any call. Closes a connection whose peer has gone without closing it. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final Map<String, RpcMethod<?, ?>> methods;
    private final BooleanSupplier ready;
    private final PrometheusRegistry registry;
    private final RatpackServer server;

    /** Starts the server. Fails with CONNECTION_REFUSED when the address cannot be bound. */
    public RpcServer(
            Endpoint endpoint, List<RpcMethod<?, ?>> methods, BooleanSupplier ready, PrometheusRegistry registry) {
        this.methods = methods.stream().collect(Collectors.toUnmodifiableMap(RpcMethod::name, Function.identity()));
        this.ready = ready;
        this.registry = registry;
        this.server = start(endpoint);
    }

    /** The port that the server listens on. */
    public int port() {
        return server.getBindPort();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw FailureException.of(e);
        }
    }

    private RatpackServer start(Endpoint endpoint) {
        try {
            return RatpackServer.start(spec -> spec.serverConfig(ServerConfig.builder()
                            .development(false)
                            .registerShutdownHook(false)
                            .address(InetAddress.getByName(endpoint.getHost()))
                            .port(endpoint.getPort())
                            .idleTimeout(IDLE_TIMEOUT)
                            .maxContentLength(MAX_BODY_BYTES))
                    .handlers(this::configureRoutes));
        } catch (Exception e) {
            throw new FailureException(FailureType.CONNECTION_REFUSED, AddressTranslator.format(endpoint) + " " + e, e);
        }
    }

    private void configureRoutes(Chain chain) {
        chain.get("health", context -> context.render("ok\n"))
                .get("ready", this::renderReady)
                .get("metrics", this::renderMetrics)
                .post(":service/:method", this::handleCall);
    }

    private void renderReady(Context context) {
        boolean isReady = ready.getAsBoolean();
        context.getResponse().status(isReady ? OK : UNAVAILABLE);
        context.render(isReady ? "ready\n" : "not ready\n");
    }

    private void renderMetrics(Context context) throws IOException {
        context.getResponse().contentType(MetricsPage.CONTENT_TYPE).send(MetricsPage.render(registry));
    }

    private void handleCall(Context context) {
        RpcCodec codec =
                RpcCodec.forContentType(context.getRequest().getHeaders().get("Content-Type"));
        String name = context.getPathTokens().get("service") + "/"
                + context.getPathTokens().get("method");
        RpcMethod<?, ?> method = methods.get(name);
        if (method == null) {
            sendFailure(context, codec, new FailureException(FailureType.UNKNOWN_METHOD, name));
            return;
        }
        context.getRequest().getBody().then(body -> invoke(context, codec, method, body.getBytes()));
    }

    private static <Q extends Message, A extends Message> void invoke(
            Context context, RpcCodec codec, RpcMethod<Q, A> method, byte[] body) {
        CompletableFuture<A> response;
        try {
            response = method.handler().apply(codec.decode(method.requestPrototype(), body));
        } catch (RuntimeException e) {
            response = CompletableFuture.failedFuture(e);
        }
        Promise.<A>toPromise(response)
                .onError(error -> sendFailure(context, codec, FailureException.of(error)))
                .then(result -> sendResponse(context, codec, method, result));
    }

    private static <Q extends Message, A extends Message> void sendResponse(
            Context context, RpcCodec codec, RpcMethod<Q, A> method, A response) {
        Failure failure = method.failureOf().apply(response);
        int status = failure.getType().isEmpty()
                ? OK
                : Envelopes.exception(failure).type().httpStatus();
        send(context, codec, status, response);
    }

    private static void sendFailure(Context context, RpcCodec codec, FailureException failure) {
        send(context, codec, failure.type().httpStatus(), Envelopes.failure(failure));
    }

    private static void send(Context context, RpcCodec codec, int status, Message message) {
        context.getResponse().status(status);
        context.getResponse().contentType(codec.contentType()).send(codec.encode(message));
    }
}
