package org.hornbeamspread.proxy;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.ExecuteStatements;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.StatementsExecuted;

/**
 * Runs statements at the holder of the database: directly if this proxy is the holder, else through a relay to the
 * holder. Confined to the dispatcher's thread.
 */
final class HolderExecutor implements DatabaseExecutor {
    private final String proxyId;
    private final String region;
    private final HeldDatabases heldDatabases;
    private final RelayClient relayClient;

    HolderExecutor(String proxyId, String region, HeldDatabases heldDatabases, RelayClient relayClient) {
        this.proxyId = proxyId;
        this.region = region;
        this.heldDatabases = heldDatabases;
        this.relayClient = relayClient;
    }

    @Override
    public CompletableFuture<StatementsExecuted> execute(
            ViewSnapshot view, DatabaseEntry database, RequestContext context, ExecuteStatements statements) {
        if (database.getHolderProxyId().isEmpty()) {
            return CompletableFuture.failedFuture(new FailureException(
                    FailureType.DATABASE_UNREACHABLE, database.getDatabaseId() + " has no holder"));
        }
        if (database.getHolderProxyId().equals(proxyId)) {
            return heldDatabases.execute(database.getDatabaseId(), database.getHolderEpoch(), context, statements);
        }
        Optional<ProxyEntry> holder = view.proxy(database.getHolderProxyId());
        boolean otherRegion =
                holder.map(proxy -> !proxy.getRegion().equals(region)).orElse(false);
        return relayClient.execute(holder, otherRegion, database, context, statements);
    }
}
