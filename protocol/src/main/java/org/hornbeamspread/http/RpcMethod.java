package org.hornbeamspread.http;

import com.google.protobuf.Message;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.hornbeamspread.protocol.schema.Failure;

/**
 * A method of the schema with its handler.
 *
 * @param name service and method as in the path, for example {@code hornbeamspread.Statements/Execute}
 * @param requestPrototype the default instance of the request type, for decoding
 * @param handler runs the call; called on an HTTP thread, which must not be blocked
 * @param failureOf extracts the failure of a response, the default instance when the call succeeded; the failure
 *     determines the HTTP status
 * @param <Q> the request type
 * @param <A> the response type
 */
public record RpcMethod<Q extends Message, A extends Message>(
        String name, Q requestPrototype, Function<Q, CompletableFuture<A>> handler, Function<A, Failure> failureOf) {
    /** A method whose response type has no failure field. */
    public static <Q extends Message, A extends Message> RpcMethod<Q, A> of(
            String name, Q request, Function<Q, CompletableFuture<A>> handler) {
        return new RpcMethod<>(name, request, handler, response -> Failure.getDefaultInstance());
    }
}
