package org.hornbeamspread.ctl;

import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.ReplaceControlMemberRequest;
import org.hornbeamspread.protocol.schema.Topology;
import org.hornbeamspread.transport.AddressTranslator;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** {@code control} lists the control members and their roles; {@code control replace} replaces a member. */
public final class ControlCommand implements Command {
    /** Null when {@code control} is given without a sub-command. */
    @Argument(metaVar = "[replace]", handler = SubCommandHandler.class)
    @SubCommands({@SubCommand(name = "replace", impl = Replace.class)})
    private Command command;

    @Override
    public void run(CommandContext context) {
        if (command != null) {
            command.run(context);
            return;
        }
        Topology topology = context.topology();
        TextTable table = new TextTable("MEMBER", "ROLE", "VOTING", "MATCHED-INDEX", "PEER", "HTTP");
        for (ControlMember member : topology.getControlMembersList()) {
            boolean isLeader = member.getMemberId().equals(topology.getControlLeaderId());
            table.row(
                    member.getMemberId(),
                    isLeader ? "leader" : "follower",
                    member.getVoting(),
                    member.getMatchedIndex(),
                    AddressTranslator.format(member.getPeer()),
                    AddressTranslator.format(member.getHttp()));
        }
        context.print(topology, table);
    }

    /** {@code control replace MEMBER --new-member ID --peer H:P --http H:P}. */
    public static final class Replace implements Command {
        @Argument(metaVar = "MEMBER", required = true, usage = "the member to replace")
        private String member = "";

        @Option(
                name = "--new-member",
                usage = "the new member's id; default: the same id, for a member that lost its disk")
        private String newMember = "";

        @Option(name = "--peer", required = true, metaVar = "HOST:PORT", usage = "the new member's peer endpoint")
        private String peer = "";

        @Option(name = "--http", required = true, metaVar = "HOST:PORT", usage = "the new member's HTTP endpoint")
        private String http = "";

        @Option(name = "--request-id", usage = "a resend with the same id gets the first outcome; default: a new id")
        private String requestId = "";

        @Override
        public void run(CommandContext context) {
            String id = CommandContext.requestIdOrNew(requestId);
            String replacement = newMember.isEmpty() ? member : newMember;
            ReplaceControlMemberRequest request = ReplaceControlMemberRequest.newBuilder()
                    .setMemberId(member)
                    .setReplacement(ControlMember.newBuilder()
                            .setMemberId(replacement)
                            .setPeer(AddressTranslator.parse(peer))
                            .setHttp(AddressTranslator.parse(http)))
                    .setRequestId(id)
                    .build();
            context.sendChange("ReplaceControlMember", request, id, member + " is replaced by " + replacement);
        }
    }
}
