package org.hornbeamspread.load;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against retries with another key, at the same proxy or without a limit, and against an outcome that is not
 * proved.
 */
class DispatcherTest {
    private static final int MAX_ATTEMPTS = 3;

    private final List<String> attemptedProxies = new ArrayList<>();
    private final List<String> keysSent = new ArrayList<>();
    private final Deque<String> script = new ArrayDeque<>();
    private long nowUs;
    private Effect outcome;

    @ParameterizedTest
    @CsvSource({
        "DONE,                                              1, DONE",
        "QUEUE_FULL DONE,                                   2, DONE",
        "TIMEOUT_AFTER_SEND DONE,                           2, DONE",
        "CONNECTION_LOST QUEUE_FULL DONE,                   3, DONE",
        "QUEUE_FULL QUEUE_FULL QUEUE_FULL DONE,             3, NOT_RUN",
        "CONNECTION_REFUSED NO_PRIMARY QUEUE_FULL,          3, NOT_RUN",
        "REQUEST_TIMEOUT QUEUE_FULL QUEUE_FULL DONE,        3, UNKNOWN",
        "QUEUE_FULL NO_QUORUM_IN_TIME QUEUE_FULL DONE,      3, UNKNOWN"
    })
    void attemptsAreBoundedAndAnUnprovedOutcomeStaysUnknown(String responses, int attempts, Effect expected) {
        script.addAll(List.of(responses.split(" ", -1)));
        Dispatcher dispatcher =
                new Dispatcher(new ScriptedProxyClient(), new SplittableRandom(1), () -> nowUs, Runnable::run);
        RankWorkload rank = new RankWorkload("urgent", RequestKind.PAYMENT, 1, 0, 300, 2_000, MAX_ATTEMPTS);
        ExecuteRequest request =
                ExecuteRequest.newBuilder().setIdempotencyKey("k").build();
        dispatcher.submit(new PendingRequest(
                rank, 0, request, MAX_ATTEMPTS, "p2", new PendingRequest.RequestListener() {
                    @Override
                    public void onCompleted(PendingRequest pending, Optional<AttemptResult> last) {
                        outcome = pending.outcome();
                    }
                }));
        while (!dispatcher.isIdle()) {
            nowUs += 1_000;
            dispatcher.tick();
        }
        assertThat(outcome).isEqualTo(expected);
        assertThat(keysSent).containsExactlyElementsIn(java.util.Collections.nCopies(attempts, "k"));
        String previous = "p2";
        for (String proxy : attemptedProxies) {
            assertThat(proxy).isNotEqualTo(previous);
            previous = proxy;
        }
    }

    /** Responds with the entries of the script in order: DONE, or a failure of the named type. */
    private final class ScriptedProxyClient implements ProxyClient {
        @Override
        public List<String> proxies() {
            return List.of("p1", "p2", "p3");
        }

        @Override
        public CompletableFuture<ExecuteResponse> execute(String proxy, ExecuteRequest request, Duration timeout) {
            attemptedProxies.add(proxy);
            keysSent.add(request.getIdempotencyKey());
            String response = script.poll();
            if ("DONE".equals(response)) {
                return CompletableFuture.completedFuture(ExecuteResponse.newBuilder()
                        .setEffect(org.hornbeamspread.protocol.schema.Effect.DONE)
                        .build());
            }
            return CompletableFuture.failedFuture(new FailureException(FailureType.valueOf(response), "scripted"));
        }
    }
}
