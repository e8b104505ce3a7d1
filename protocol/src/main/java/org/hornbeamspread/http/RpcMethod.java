package org.hornbeamspread.http;

import com.google.protobuf.Message;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.hornbeamspread.protocol.schema.Failure;

/**
 * One method of the schema.
 *
 * @param name service and method as in the path, for example {@code hornbeamspread.Statements/Execute}
 * @param request the empty request, for parsing
 * @param handler runs the call; called on an HTTP thread, which must not be blocked
 * @param failureOf the failure that an answer carries, the empty one when none: it decides the HTTP status
 * @param <Q> the request
 * @param <A> the answer
 */
public record RpcMethod<Q extends Message, A extends Message>(
        String name, Q requestPrototype, Function<Q, CompletableFuture<A>> handler, Function<A, Failure> failureOf) {
    /** A method whose answer never carries a failure of its own. */
    public static <Q extends Message, A extends Message> RpcMethod<Q, A> of(
            String name, Q request, Function<Q, CompletableFuture<A>> handler) {
        return new RpcMethod<>(name, request, handler, answer -> Failure.getDefaultInstance());
    }
}
