package org.hornbeamspread.control.consensus;

import java.util.List;
import java.util.Optional;
import org.hornbeamspread.control.storage.DiskLog;
import org.hornbeamspread.control.storage.RecordCodec;
import org.hornbeamspread.core.consensus.Message;
import org.hornbeamspread.core.consensus.Payload;
import org.hornbeamspread.core.consensus.Snapshot;
import org.hornbeamspread.protocol.schema.Append;
import org.hornbeamspread.protocol.schema.AppendAnswer;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.InstallSnapshot;
import org.hornbeamspread.protocol.schema.InstallSnapshotAnswer;
import org.hornbeamspread.protocol.schema.Introduce;
import org.hornbeamspread.protocol.schema.Introduced;
import org.hornbeamspread.protocol.schema.Vote;
import org.hornbeamspread.protocol.schema.VoteAnswer;

/** Conversions between envelopes and the messages of the consensus node. */
final class MessageCodec {
    private MessageCodec() {}

    /** The message in an envelope; empty when the envelope is not part of the consensus protocol. */
    static Optional<Message> message(Envelope envelope) {
        return switch (envelope.getBodyCase()) {
            case VOTE -> Optional.of(vote(envelope.getVote()));
            case VOTE_ANSWER -> Optional.of(voteAnswer(envelope.getVoteAnswer()));
            case APPEND -> Optional.of(append(envelope.getAppend()));
            case APPEND_ANSWER -> Optional.of(appendAnswer(envelope.getAppendAnswer()));
            case INSTALL_SNAPSHOT -> Optional.of(snapshot(envelope.getInstallSnapshot()));
            case INSTALL_SNAPSHOT_ANSWER -> Optional.of(snapshotAnswer(envelope.getInstallSnapshotAnswer()));
            case INTRODUCE ->
                Optional.of(new Message.IntroduceRequest(
                        envelope.getIntroduce().getMemberId(),
                        envelope.getIntroduce().getIncarnation()));
            case INTRODUCED -> Optional.of(introduced(envelope.getIntroduced()));
            default -> Optional.empty();
        };
    }

    /**
     * The envelope of a message.
     *
     * @param endpoints the members with their endpoints, which are sent along with a snapshot
     */
    static Envelope envelope(Message message, List<ControlMember> endpoints) {
        Envelope.Builder envelope = Envelope.newBuilder();
        if (message instanceof Message.VoteRequest request) {
            envelope.setVote(wire(request));
        } else if (message instanceof Message.VoteResponse response) {
            envelope.setVoteAnswer(wire(response));
        } else if (message instanceof Message.AppendRequest request) {
            envelope.setAppend(wire(request));
        } else if (message instanceof Message.AppendResponse response) {
            envelope.setAppendAnswer(wire(response));
        } else if (message instanceof Message.SnapshotRequest request) {
            envelope.setInstallSnapshot(wire(request, endpoints));
        } else if (message instanceof Message.SnapshotResponse response) {
            envelope.setInstallSnapshotAnswer(wire(response));
        } else if (message instanceof Message.IntroduceRequest request) {
            envelope.setIntroduce(
                    Introduce.newBuilder().setMemberId(request.memberId()).setIncarnation(request.incarnation()));
        } else if (message instanceof Message.IntroduceResponse response) {
            envelope.setIntroduced(wire(response));
        }
        return envelope.build();
    }

    private static Message vote(Vote wire) {
        return new Message.VoteRequest(
                wire.getTerm(), wire.getCandidateId(), wire.getLastIndex(), wire.getLastTerm(), wire.getPreVote());
    }

    private static Message voteAnswer(VoteAnswer wire) {
        return new Message.VoteResponse(
                wire.getTerm(), wire.getGranted(), wire.getPreVote(), wire.getVoterId(), wire.getIncarnation());
    }

    private static Message append(Append wire) {
        return new Message.AppendRequest(
                wire.getTerm(),
                wire.getLeaderId(),
                wire.getPreviousIndex(),
                wire.getPreviousTerm(),
                wire.getCommitIndex(),
                wire.getRecordsList().stream().map(RecordCodec::record).toList(),
                wire.getRound());
    }

    private static Message appendAnswer(AppendAnswer wire) {
        return new Message.AppendResponse(
                wire.getTerm(),
                wire.getSuccess(),
                wire.getMatchIndex(),
                wire.getRound(),
                wire.getMemberId(),
                wire.getIncarnation());
    }

    private static Message snapshot(InstallSnapshot wire) {
        Snapshot snapshot = new Snapshot(
                wire.getLastIndex(),
                wire.getLastTerm(),
                RecordCodec.membership(wire.getMembersList()),
                Payload.copyOf(wire.getState().toByteArray()));
        return new Message.SnapshotRequest(wire.getTerm(), wire.getLeaderId(), snapshot);
    }

    private static Message snapshotAnswer(InstallSnapshotAnswer wire) {
        return new Message.SnapshotResponse(
                wire.getTerm(), wire.getMatchIndex(), wire.getMemberId(), wire.getIncarnation());
    }

    private static Message introduced(Introduced wire) {
        return new Message.IntroduceResponse(
                wire.getMemberId(),
                wire.getIncarnation(),
                wire.getBlank(),
                wire.getAskedBy(),
                RecordCodec.membership(wire.getFormedList()));
    }

    private static Vote wire(Message.VoteRequest request) {
        return Vote.newBuilder()
                .setTerm(request.term())
                .setCandidateId(request.candidateId())
                .setLastIndex(request.lastIndex())
                .setLastTerm(request.lastTerm())
                .setPreVote(request.preVote())
                .build();
    }

    private static VoteAnswer wire(Message.VoteResponse response) {
        return VoteAnswer.newBuilder()
                .setTerm(response.term())
                .setGranted(response.granted())
                .setPreVote(response.preVote())
                .setVoterId(response.voterId())
                .setIncarnation(response.incarnation())
                .build();
    }

    private static Append wire(Message.AppendRequest request) {
        return Append.newBuilder()
                .setTerm(request.term())
                .setLeaderId(request.leaderId())
                .setPreviousIndex(request.previousIndex())
                .setPreviousTerm(request.previousTerm())
                .setCommitIndex(request.commitIndex())
                .addAllRecords(request.records().stream().map(RecordCodec::wire).toList())
                .setRound(request.round())
                .build();
    }

    private static AppendAnswer wire(Message.AppendResponse response) {
        return AppendAnswer.newBuilder()
                .setTerm(response.term())
                .setSuccess(response.success())
                .setMatchIndex(response.matchIndex())
                .setRound(response.round())
                .setMemberId(response.memberId())
                .setIncarnation(response.incarnation())
                .build();
    }

    private static InstallSnapshot wire(Message.SnapshotRequest request, List<ControlMember> endpoints) {
        Snapshot snapshot = request.snapshot();
        return InstallSnapshot.newBuilder()
                .setTerm(request.term())
                .setLeaderId(request.leaderId())
                .setLastIndex(snapshot.lastIndex())
                .setLastTerm(snapshot.lastTerm())
                .setState(RecordCodec.bytes(snapshot.state()))
                .addAllMembers(DiskLog.withEndpoints(snapshot.membership(), endpoints))
                .build();
    }

    private static InstallSnapshotAnswer wire(Message.SnapshotResponse response) {
        return InstallSnapshotAnswer.newBuilder()
                .setTerm(response.term())
                .setMatchIndex(response.matchIndex())
                .setMemberId(response.memberId())
                .setIncarnation(response.incarnation())
                .build();
    }

    private static Introduced wire(Message.IntroduceResponse response) {
        return Introduced.newBuilder()
                .setMemberId(response.memberId())
                .setIncarnation(response.incarnation())
                .setBlank(response.blank())
                .setAskedBy(response.askedBy())
                .addAllFormed(RecordCodec.wire(response.initialMembership()))
                .build();
    }
}
