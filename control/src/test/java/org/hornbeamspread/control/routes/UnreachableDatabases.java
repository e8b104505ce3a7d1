package org.hornbeamspread.control.routes;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.Presence;
import org.hornbeamspread.core.sql.ReplicaStatus;

/** Databases that control can't reach: every command fails with REQUEST_TIMEOUT. */
class UnreachableDatabases implements DatabaseAdministration {
    @Override
    public CompletableFuture<ReplicaStatus> status(DatabaseInstance instance) {
        return unreachable(instance);
    }

    @Override
    public CompletableFuture<ReplicaStatus> pause(DatabaseInstance instance, long term) {
        return unreachable(instance);
    }

    @Override
    public CompletableFuture<ReplicaStatus> resume(DatabaseInstance instance) {
        return unreachable(instance);
    }

    @Override
    public CompletableFuture<ReplicaStatus> demote(DatabaseInstance instance, long term) {
        return unreachable(instance);
    }

    @Override
    public CompletableFuture<Optional<LogPosition>> probePrimary(DatabaseInstance instance) {
        return unreachable(instance);
    }

    @Override
    public CompletableFuture<Presence> presence(DatabaseInstance instance) {
        return CompletableFuture.completedFuture(Presence.UNKNOWN);
    }

    @Override
    public void retainConnections(Collection<DatabaseInstance> instances) {}

    private static <T> CompletableFuture<T> unreachable(DatabaseInstance instance) {
        return CompletableFuture.failedFuture(new FailureException(FailureType.REQUEST_TIMEOUT, instance.instanceId()));
    }
}
