package org.hornbeamspread.bench;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.protocol.schema.ViewLease;
import org.openjdk.jmh.annotations.AuxCounters;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Time to encode and decode a full view, by the number of databases in the view. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ViewCodecBenchmark {
    /** The number of databases in the view. */
    @Param({"3", "30", "300", "3000", "19000"})
    public int databases;

    private ViewLease view;
    private byte[] encoded;

    /** The size of the encoded view, reported with the times. */
    @State(Scope.Thread)
    @AuxCounters(AuxCounters.Type.EVENTS)
    public static class Size {
        /** The size of the encoded view, in bytes; JMH adds the sizes up over the iterations. */
        public long viewBytes;
    }

    /** Builds and encodes the view. */
    @Setup
    public void build() {
        view = SampleViews.fullView(databases);
        encoded = view.toByteArray();
    }

    /** Encodes the view. A message caches its size, so each call builds a new message from shared parts. */
    @Benchmark
    public byte[] encode(Size size) {
        size.viewBytes = encoded.length;
        return view.toBuilder()
                .setLeaseMs(size.viewBytes % 2 == 0 ? 999 : 998)
                .build()
                .toByteArray();
    }

    /** Decodes the view. */
    @Benchmark
    public ViewLease decode() throws InvalidProtocolBufferException {
        return ViewLease.parseFrom(encoded);
    }
}
