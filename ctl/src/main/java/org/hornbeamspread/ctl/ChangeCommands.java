package org.hornbeamspread.ctl;

import org.hornbeamspread.protocol.schema.PromoteDatabaseRequest;
import org.hornbeamspread.protocol.schema.SetDepartureRequest;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Commands that change the state of databases. */
public final class ChangeCommands {
    private ChangeCommands() {}

    /** Whether a departure is started or cancelled. */
    public enum Direction {
        /** The database gets no new work. */
        START,
        /** The database gets work again. */
        STOP
    }

    /** {@code departure start|stop DATABASE}. */
    public static final class Departure implements Command {
        @Argument(index = 0, metaVar = "start|stop", required = true)
        private Direction direction = Direction.START;

        @Argument(index = 1, metaVar = "DATABASE", required = true)
        private String database = "";

        @Option(name = "--request-id", usage = "a resend with the same id gets the first outcome; default: a new id")
        private String requestId = "";

        @Override
        public void run(CommandContext context) {
            String id = CommandContext.requestIdOrNew(requestId);
            boolean departing = direction == Direction.START;
            SetDepartureRequest request = SetDepartureRequest.newBuilder()
                    .setDatabaseId(database)
                    .setDeparting(departing)
                    .setRequestId(id)
                    .build();
            context.sendChange("SetDeparture", request, id, database + (departing ? " is departing" : " accepts work"));
        }
    }

    /** {@code promote GROUP [--database ID]}. */
    public static final class Promote implements Command {
        @Argument(metaVar = "GROUP", required = true)
        private String group = "";

        @Option(name = "--database", usage = "the new primary; default: the one with the latest position")
        private String database = "";

        @Option(name = "--request-id", usage = "a resend with the same id gets the first outcome; default: a new id")
        private String requestId = "";

        @Override
        public void run(CommandContext context) {
            String id = CommandContext.requestIdOrNew(requestId);
            PromoteDatabaseRequest request = PromoteDatabaseRequest.newBuilder()
                    .setGroup(group)
                    .setDatabaseId(database)
                    .setRequestId(id)
                    .build();
            context.sendChange("PromoteDatabase", request, id, "promotion of " + group + " is in progress");
        }
    }
}
