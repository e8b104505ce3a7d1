package org.hornbeamspread.control.routes;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.Presence;
import org.hornbeamspread.core.sql.ReplicaStatus;

/** The commands that control sends to databases. Futures fail with a typed failure when there is no response. */
public interface DatabaseAdministration {
    /** Requests the role and the log position of an instance. */
    CompletableFuture<ReplicaStatus> status(DatabaseInstance instance);

    /** Pauses replication on a replica, which then receives nothing. */
    CompletableFuture<ReplicaStatus> pause(DatabaseInstance instance, long term);

    /** Resumes replication on a paused replica. */
    CompletableFuture<ReplicaStatus> resume(DatabaseInstance instance);

    /** Demotes a primary to a replica. */
    CompletableFuture<ReplicaStatus> demote(DatabaseInstance instance, long term);

    /** Returns the end of the instance's log if the instance proves to be the primary. */
    CompletableFuture<Optional<LogPosition>> probePrimary(DatabaseInstance instance);

    /** Observes on a new connection whether an instance, or another one, responds at its address. Never fails. */
    CompletableFuture<Presence> presence(DatabaseInstance instance);

    /** Closes the connections to all instances other than the given ones. */
    void retainConnections(java.util.Collection<DatabaseInstance> instances);
}
