package org.hornbeamspread.control.storage;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.consensus.LogRecord;
import org.hornbeamspread.core.consensus.Member;
import org.hornbeamspread.core.consensus.Membership;
import org.hornbeamspread.core.consensus.Payload;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.ControlRecord;
import org.hornbeamspread.protocol.schema.NoOperation;

/** Conversions between the wire form of log records and members, and the types of {@code core}. */
public final class RecordCodec {
    private static final ControlCommand NO_OPERATION = ControlCommand.newBuilder()
            .setNoOperation(NoOperation.getDefaultInstance())
            .build();

    private RecordCodec() {}

    /** A record from its wire form. A no-operation command, the first record of each leader, has an empty payload. */
    public static LogRecord record(ControlRecord wire) {
        ControlCommand command = wire.getCommand();
        Payload payload = command.equals(NO_OPERATION) ? Payload.EMPTY : payload(command);
        return new LogRecord(wire.getIndex(), wire.getTerm(), payload, membership(command));
    }

    /** The wire form of a record. Fails with LOG_CORRUPTED when the payload is not a valid command. */
    public static ControlRecord wire(LogRecord record) {
        return ControlRecord.newBuilder()
                .setIndex(record.index())
                .setTerm(record.term())
                .setCommand(command(record))
                .build();
    }

    /** The payload with a serialized command. */
    public static Payload payload(ControlCommand command) {
        return Payload.copyOf(command.toByteArray());
    }

    /** The membership that a command sets; empty for all commands but a change of members. */
    public static Optional<Membership> membership(ControlCommand command) {
        return command.hasChangeMembers()
                ? Optional.of(membership(command.getChangeMembers().getMembersList()))
                : Optional.empty();
    }

    /** A membership from its wire form. */
    public static Membership membership(List<ControlMember> wire) {
        return new Membership(wire.stream()
                .map(member -> new Member(member.getMemberId(), member.getIncarnation(), member.getVoting()))
                .toList());
    }

    /** The wire form of a membership, without endpoints. */
    public static List<ControlMember> wire(Membership membership) {
        return membership.members().stream()
                .map(member -> ControlMember.newBuilder()
                        .setMemberId(member.memberId())
                        .setIncarnation(member.incarnation())
                        .setVoting(member.voting())
                        .build())
                .toList();
    }

    /** The bytes of a payload. */
    public static ByteString bytes(Payload payload) {
        return ByteString.copyFrom(payload.toByteArray());
    }

    private static ControlCommand command(LogRecord record) {
        if (record.payload().sizeBytes() == 0) {
            return NO_OPERATION;
        }
        try {
            return ControlCommand.parseFrom(record.payload().toByteArray());
        } catch (InvalidProtocolBufferException e) {
            throw new FailureException(FailureType.LOG_CORRUPTED, "record " + record.index(), e);
        }
    }
}
