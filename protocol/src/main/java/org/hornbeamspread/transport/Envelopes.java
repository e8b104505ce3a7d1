package org.hornbeamspread.transport;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.Effect;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.Failure;
import org.hornbeamspread.protocol.schema.Position;

/** Conversions between wire messages and the types of {@code core}. */
public final class Envelopes {
    /** The version of the framed protocol that this build implements. */
    public static final int PROTOCOL_VERSION = 1;

    /**
     * A request of a version that no release implements, so that the transport of every release answers it without its handler. Its id is
     * never that of another request, so its answer is dropped.
     */
    static final Envelope PROBE = Envelope.newBuilder().setRequestId(-1).build();

    private Envelopes() {}

    /** The wire form of a failure. */
    public static Failure failure(FailureException failure) {
        return Failure.newBuilder()
                .setType(failure.type().name())
                .setEffect(effect(failure.type().effect()))
                .setDetail(failure.detail())
                .setRetryAfterMs(
                        failure.retryAfter().map(java.time.Duration::toMillis).orElse(0L))
                .build();
    }

    /** An answer that contains a failure. */
    public static Envelope failureEnvelope(FailureException failure) {
        return Envelope.newBuilder().setFailure(failure(failure)).build();
    }

    /** A failure from its wire form. An unknown type becomes INTERNAL, whose effect is unknown. */
    public static FailureException exception(Failure failure) {
        java.time.Duration retryAfter = java.time.Duration.ofMillis(failure.getRetryAfterMs());
        for (FailureType type : FailureType.values()) {
            if (type.name().equals(failure.getType())) {
                return new FailureException(type, failure.getDetail(), retryAfter);
            }
        }
        return new FailureException(FailureType.INTERNAL, failure.getType() + " " + failure.getDetail());
    }

    /** The wire form of an effect. */
    public static Effect effect(org.hornbeamspread.core.misc.Effect effect) {
        return switch (effect) {
            case DONE -> Effect.DONE;
            case NOT_RUN -> Effect.NOT_RUN;
            case UNKNOWN -> Effect.UNKNOWN;
        };
    }

    /** The wire form of a position. */
    public static Position position(LogPosition position) {
        return Position.newBuilder()
                .setTerm(position.term())
                .setIndex(position.indexEntries())
                .build();
    }

    /** A position from its wire form. */
    public static LogPosition position(Position position) {
        return new LogPosition(position.getTerm(), position.getIndex());
    }
}
