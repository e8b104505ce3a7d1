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

/** Tries go on with the same key at another proxy, for a bounded number of times, and keep the careful last word. */
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
    void attemptsAreBoundedAndAnUnprovedOutcomeStaysUnknown(String answers, int tries, Effect expected) {
        script.addAll(List.of(answers.split(" ", -1)));
        Dispatcher dispatcher =
                new Dispatcher(new ScriptedProxyClient(), new SplittableRandom(1), () -> nowUs, Runnable::run);
        RankWorkload rank = new RankWorkload("urgent", RequestKind.PAYMENT, 1, 0, 300, 2_000, MAX_ATTEMPTS);
        ExecuteRequest request =
                ExecuteRequest.newBuilder().setIdempotencyKey("k").build();
        dispatcher.submit(new PendingRequest(
                rank, 0, request, MAX_ATTEMPTS, "p2", new PendingRequest.RequestListener() {
                    @Override
                    public void onCompleted(PendingRequest job, Optional<AttemptResult> last) {
                        outcome = job.outcome();
                    }
                }));
        while (!dispatcher.isIdle()) {
            nowUs += 1_000;
            dispatcher.tick();
        }
        assertThat(outcome).isEqualTo(expected);
        assertThat(keysSent).containsExactlyElementsIn(java.util.Collections.nCopies(tries, "k"));
        String previous = "p2";
        for (String proxy : attemptedProxies) {
            assertThat(proxy).isNotEqualTo(previous);
            previous = proxy;
        }
    }

    /** Answers from the script: DONE, or a failure by its type. */
    private final class ScriptedProxyClient implements ProxyClient {
        @Override
        public List<String> proxies() {
            return List.of("p1", "p2", "p3");
        }

        @Override
        public CompletableFuture<ExecuteResponse> execute(String proxy, ExecuteRequest request, Duration timeout) {
            attemptedProxies.add(proxy);
            keysSent.add(request.getIdempotencyKey());
            String answer = script.poll();
            if ("DONE".equals(answer)) {
                return CompletableFuture.completedFuture(ExecuteResponse.newBuilder()
                        .setEffect(org.hornbeamspread.protocol.schema.Effect.DONE)
                        .build());
            }
            return CompletableFuture.failedFuture(new FailureException(FailureType.valueOf(answer), "scripted"));
        }
    }
}
