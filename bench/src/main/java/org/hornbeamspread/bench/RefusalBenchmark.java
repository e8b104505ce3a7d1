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

/** What one refusal costs to make, by the depth of the stack it is made at. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RefusalBenchmark {
    private static final Duration RETRY_AFTER = Duration.ofMillis(50);

    /** Frames below the refusal. */
    @Param({"1", "20", "60"})
    public int depth;

    /** One refusal. */
    @Benchmark
    public FailureException refuse() {
        return refuseAtDepth(depth);
    }

    private static FailureException refuseAtDepth(int left) {
        return left == 0
                ? new FailureException(FailureType.QUEUE_FULL, "urgent", RETRY_AFTER)
                : refuseAtDepth(left - 1);
    }
}
