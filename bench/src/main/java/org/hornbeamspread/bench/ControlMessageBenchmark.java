package org.hornbeamspread.bench;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.protocol.schema.Announce;
import org.hornbeamspread.protocol.schema.DatabaseObservation;
import org.hornbeamspread.protocol.schema.DatabaseRole;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.Position;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.protocol.schema.RenewView;
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

/** Time to encode and decode the messages exchanged with control in a steady state, and the size of each message. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class ControlMessageBenchmark {
    /** The kind of message. */
    public enum Kind {
        /** A proxy's renewal with no observations. */
        RENEWAL,
        /** A proxy's renewal that reports three databases from which no message arrives. */
        RENEWAL_WITH_OBSERVATIONS,
        /** The response to a renewal when nothing has changed. */
        LEASE_UNCHANGED,
        /** The response to a renewal when one group has changed. */
        LEASE_ONE_GROUP,
        /** A database's announcement. */
        ANNOUNCEMENT,
        /** A database's position report. */
        POSITION_REPORT
    }

    /** The kind of message to encode and decode. */
    @Param
    public Kind kind;

    private Envelope envelope;
    private long requestCount;

    /** The size of the encoded frame, reported with the times. */
    @State(Scope.Thread)
    @AuxCounters(AuxCounters.Type.EVENTS)
    public static class Size {
        /** The size of the frame with its length prefix, in bytes; JMH adds the sizes up over the iterations. */
        public long frameBytes;
    }

    /** Builds the message. */
    @Setup
    public void build() {
        envelope = switch (kind) {
            case RENEWAL -> Envelope.newBuilder().setRenewView(renewal(0)).build();
            case RENEWAL_WITH_OBSERVATIONS ->
                Envelope.newBuilder().setRenewView(renewal(3)).build();
            case LEASE_UNCHANGED -> Envelope.newBuilder().setViewLease(lease()).build();
            case LEASE_ONE_GROUP ->
                Envelope.newBuilder()
                        .setViewLease(lease().toBuilder().addGroups(SampleViews.groupView(1)))
                        .build();
            case ANNOUNCEMENT ->
                Envelope.newBuilder().setAnnounce(announcement()).build();
            case POSITION_REPORT ->
                Envelope.newBuilder().setPositionReport(report()).build();
        };
    }

    /** Builds one frame with its request id, encodes and decodes it. */
    @Benchmark
    public Envelope encodeAndDecode(Size size) throws InvalidProtocolBufferException {
        byte[] frame = envelope.toBuilder()
                .setProtocolVersion(1)
                .setRequestId(1_000_000 + requestCount++ % 1_000)
                .build()
                .toByteArray();
        size.frameBytes = (long) frame.length + Integer.BYTES;
        return Envelope.parseFrom(frame);
    }

    private static RenewView renewal(int observations) {
        RenewView.Builder renewal = RenewView.newBuilder()
                .setProxy(SampleViews.proxyEntry(1_234))
                .setLeaderTerm(7)
                .setViewVersion(1_000_000);
        for (int i = 0; i < observations; i++) {
            renewal.addObservations(DatabaseObservation.newBuilder()
                    .setDatabaseId("rental-core-1-" + i)
                    .setIncarnation(1_760_000_000_000L)
                    .setSilentMs(700));
        }
        return renewal.build();
    }

    private static ViewLease lease() {
        return ViewLease.newBuilder()
                .setLeaderTerm(7)
                .setViewVersion(1_000_000)
                .setLeaseMs(1_000)
                .build();
    }

    private static Announce announcement() {
        return Announce.newBuilder()
                .setDatabaseId("rental-core-1-0")
                .setGroup("rental-core-1")
                .setIncarnation(1_760_000_000_000L)
                .setEndpoint(SampleViews.proxyEntry(1).getPeer())
                .setFailureDomain("domain-1")
                .setRegion("region-1")
                .setSlots(5)
                .setConnectionLimit(35)
                .setReport(report())
                .build();
    }

    private static PositionReport report() {
        Position position =
                Position.newBuilder().setTerm(9).setIndex(10_000_000).build();
        return PositionReport.newBuilder()
                .setDatabaseId("rental-core-1-0")
                .setIncarnation(1_760_000_000_000L)
                .setTerm(9)
                .setRole(DatabaseRole.REPLICA)
                .setFollowedTerm(9)
                .setSynced(position)
                .setApplied(position)
                .setTrusted(true)
                .setSlotsInUse(3)
                .setConnections(20)
                .build();
    }
}
