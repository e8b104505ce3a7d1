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

/** What the coordinator's thread is told. */
sealed interface ControlEvent {
    /** A database announced itself. */
    record DatabaseAnnounced(AnnouncedDatabase database) implements ControlEvent {}

    /** A proxy asks for a lease. */
    record Renewal(
            RenewView request, LiveProxy proxy, Instant arrivedAt, PeerConnection connection, Consumer<Envelope> answer)
            implements ControlEvent {}

    /** A majority confirmed, or not, that the leader of this term led after these renewals had arrived. */
    record LeadershipCheckCompleted(long leaderTerm, boolean confirmed, List<Renewal> renewals)
            implements ControlEvent {
        /** Keeps a copy. */
        public LeadershipCheckCompleted {
            renewals = List.copyOf(renewals);
        }
    }

    /** The control log has another leader. */
    record LeadershipChanged(Leadership leadership) implements ControlEvent {}

    /** An append of the leader's of this term ended, for these groups. */
    record ProposalCompleted(long leaderTerm, List<String> groups) implements ControlEvent {
        /** Keeps a copy. */
        public ProposalCompleted {
            groups = List.copyOf(groups);
        }
    }

    /** A database reported its status in answer to a command. */
    record StatusReported(DatabaseStatus status) implements ControlEvent {}

    /** A database became primary. */
    record BecamePrimary(String databaseId, long incarnation, long term, LogPosition marker) implements ControlEvent {}

    /** A database refused to become primary. */
    record PromoteRefused(String group, long term) implements ControlEvent {}

    /** A database follows the primary of a term. */
    record FollowConfirmed(String group, DatabaseStatus status, long term) implements ControlEvent {}

    /** A database's address refuses connections, or the connection that it announced itself on broke. */
    record ConnectionRefused(String databaseId) implements ControlEvent {}

    /** The connection that a database announced itself on was closed. */
    record AnnouncingConnectionClosed(String databaseId) implements ControlEvent {}

    /** An operator asks for the topology. */
    record TopologyRequested(CompletableFuture<Topology> answer) implements ControlEvent {}

    /** An operator asks for another primary. */
    record HandoverRequested(String group, Optional<String> databaseId, CompletableFuture<Void> answer)
            implements ControlEvent {}
}
