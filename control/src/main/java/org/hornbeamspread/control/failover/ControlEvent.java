package org.hornbeamspread.control.failover;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hornbeamspread.control.Leadership;
import org.hornbeamspread.core.membership.AnnouncedDatabase;
import org.hornbeamspread.core.membership.DatabaseStatus;
import org.hornbeamspread.core.membership.LiveProxy;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.protocol.schema.Topology;
import org.hornbeamspread.transport.PeerConnection;

/** An event for the coordinator's thread. */
sealed interface ControlEvent {
    /** A database announced itself. */
    record DatabaseAnnounced(AnnouncedDatabase database) implements ControlEvent {}

    /** A proxy requests a lease. */
    record Renewal(
            RenewView request,
            LiveProxy proxy,
            Instant arrivedAt,
            PeerConnection connection,
            Consumer<Envelope> replyCallback)
            implements ControlEvent {}

    /** A majority confirmed, or did not confirm, the leadership of this term after these renewals had arrived. */
    record LeadershipCheckCompleted(long leaderTerm, boolean confirmed, List<Renewal> renewals)
            implements ControlEvent {
        /** Keeps a copy. */
        public LeadershipCheckCompleted {
            renewals = List.copyOf(renewals);
        }
    }

    /** The leadership of the control log changed. */
    record LeadershipChanged(Leadership leadership) implements ControlEvent {}

    /** An append by the leader of this term, for these groups, has completed or failed. */
    record ProposalCompleted(long leaderTerm, List<String> groups) implements ControlEvent {
        /** Keeps a copy. */
        public ProposalCompleted {
            groups = List.copyOf(groups);
        }
    }

    /** A database reported its status in response to a command. */
    record StatusReported(DatabaseStatus status) implements ControlEvent {}

    /** A database became primary. */
    record BecamePrimary(String databaseId, long incarnation, long term, LogPosition marker) implements ControlEvent {}

    /** A database refused to become primary. */
    record PromoteRefused(String group, long term) implements ControlEvent {}

    /** A database follows the primary of a term. */
    record FollowConfirmed(String group, DatabaseStatus status, long term) implements ControlEvent {}

    /** A database's address refused a connection. */
    record ConnectionRefused(String databaseId) implements ControlEvent {}

    /** The connection that a database announced itself on was closed. */
    record AnnouncingConnectionClosed(String databaseId) implements ControlEvent {}

    /** An operator requests the topology. */
    record TopologyRequested(CompletableFuture<Topology> result) implements ControlEvent {}

    /** An operator requests a handover to another primary. */
    record HandoverRequested(String group, Optional<String> databaseId, CompletableFuture<Void> result)
            implements ControlEvent {}
}
