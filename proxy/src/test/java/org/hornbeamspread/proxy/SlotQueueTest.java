package org.hornbeamspread.proxy;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.hornbeamspread.core.admission.FifoScheduler;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.RankDefinition;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that wait so long for a slot that their response comes after the rank's target. */
final class SlotQueueTest {
    private static final int QUEUE_LIMIT = 10;

    private final ManualDispatcher dispatcher = new ManualDispatcher();

    /** The request's timeout is 2 s, and the only slot is never released. A target of 0 means no target. */
    @ParameterizedTest
    @CsvSource({"300, 149, false", "300, 151, true", "0, 1900, false", "0, 1990, true", "60000, 1990, true"})
    void requestIsRefusedAfterHalfItsRanksTargetOrAtItsLatestStart(int targetMs, int waitedMs, boolean refused) {
        Configuration configuration = Configuration.newBuilder()
                .addRanks(RankDefinition.newBuilder().setName("urgent").setTargetMs(targetMs))
                .build();
        SlotQueue queue = new SlotQueue(dispatcher, new FifoScheduler(1, QUEUE_LIMIT), QueueLimits.of(configuration));
        queue.run(requestContext(), CompletableFuture::new);
        CompletableFuture<String> waiting = queue.run(requestContext(), () -> CompletableFuture.completedFuture("ran"));
        dispatcher.advance(Duration.ofMillis(waitedMs));
        queue.expire();
        assertThat(waiting.isDone()).isEqualTo(refused);
        if (refused) {
            FailureException failure = FailureException.of(assertThrows(CompletionException.class, waiting::join));
            assertThat(failure.type()).isEqualTo(FailureType.DEADLINE_BEFORE_START);
        }
    }

    @ParameterizedTest
    @CsvSource({"urgent, 150", "other, 86400000"})
    void maxWaitIsOneDayForARankWithoutALimit(String rank, long maxWaitMs) {
        QueueLimits limits = new QueueLimits(Map.of("urgent", Duration.ofMillis(150)));
        assertThat(limits.maxWait(rank)).isEqualTo(Duration.ofMillis(maxWaitMs));
    }

    private RequestContext requestContext() {
        return new RequestContext(
                "urgent", "agent-7", dispatcher.clock().instant().plusSeconds(2));
    }
}
