package org.hornbeamspread.bench;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;

/** Time to create the exception for a refusal, by the depth of the call stack. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RefusalBenchmark {
    private static final Duration RETRY_AFTER = Duration.ofMillis(50);

    /** The number of stack frames below the refusal. */
    @Param({"1", "20", "60"})
    public int depth;

    /** Creates one refusal. */
    @Benchmark
    public FailureException refuse() {
        return refuseAtDepth(depth);
    }

    private static FailureException refuseAtDepth(int remainingDepth) {
        return remainingDepth == 0
                ? new FailureException(FailureType.QUEUE_FULL, "urgent", RETRY_AFTER)
                : refuseAtDepth(remainingDepth - 1);
    }
}
