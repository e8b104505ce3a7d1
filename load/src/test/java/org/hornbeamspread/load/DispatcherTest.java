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
    private static final int TRIES = 3;

    private final List<String> proxiesTried = new ArrayList<>();
    private final List<String> keysSent = new ArrayList<>();
    private final Deque<String> script = new ArrayDeque<>();
    private long nowUs;
    private Effect lastWord;

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
    void triesAreBoundedAndTheLastWordIsProved(String answers, int tries, Effect expected) {
        script.addAll(List.of(answers.split(" ", -1)));
        Dispatcher dispatcher =
                new Dispatcher(new ScriptedProxies(), new SplittableRandom(1), () -> nowUs, Runnable::run);
        RankPlan rank = new RankPlan("urgent", WorkKind.PAYMENT, 1, 0, 300, 2_000, TRIES);
        ExecuteRequest request =
                ExecuteRequest.newBuilder().setIdempotencyKey("k").build();
        dispatcher.submit(new Job(rank, 0, request, TRIES, "p2", new Job.JobListener() {
            @Override
            public void onEnd(Job job, Optional<Answer> last) {
                lastWord = job.lastWord();
            }
        }));
        while (!dispatcher.idle()) {
            nowUs += 1_000;
            dispatcher.tick();
        }
        assertThat(lastWord).isEqualTo(expected);
        assertThat(keysSent).containsExactlyElementsIn(java.util.Collections.nCopies(tries, "k"));
        String previous = "p2";
        for (String proxy : proxiesTried) {
            assertThat(proxy).isNotEqualTo(previous);
            previous = proxy;
        }
    }

    /** Answers from the script: DONE, or a failure by its type. */
    private final class ScriptedProxies implements ProxyPort {
        @Override
        public List<String> proxies() {
            return List.of("p1", "p2", "p3");
        }

        @Override
        public CompletableFuture<ExecuteResponse> execute(String proxy, ExecuteRequest request, Duration timeout) {
            proxiesTried.add(proxy);
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
