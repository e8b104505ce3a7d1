package org.hornbeamspread.control.routes;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.sql.ReplicaStatus;

/** The commands that control gives to databases. Futures fail with a typed failure when there is no answer. */
public interface DatabaseAdministration {
    /** Asks for role and position. */
    CompletableFuture<ReplicaStatus> status(DatabaseInstance instance);

    /** Stops a replica from receiving. */
    CompletableFuture<ReplicaStatus> pause(DatabaseInstance instance, long term);

    /** Lets a paused replica receive again. */
    CompletableFuture<ReplicaStatus> resume(DatabaseInstance instance);

    /** Makes a primary a replica. */
    CompletableFuture<ReplicaStatus> demote(DatabaseInstance instance, long term);

    /** The end of the instance's log, if it proves to be the primary. */
    CompletableFuture<Optional<LogPosition>> probePrimary(DatabaseInstance instance);

    /** Drops connections to instances that are not among these. */
    void retainConnections(java.util.Collection<DatabaseInstance> instances);
}
