package org.hornbeamspread.proxy.session;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.Route;

/** A statement or a transaction that needs a database connection. */
final class ConnectionRequest {
    /** Who waits for the connection. */
    interface Listener {
        /** The connection is there. */
        void onLease(ConnectionLease lease);

        /** It will not come; nothing ran. */
        void onRefused(RefusalReason reason);
    }

    final long id;
    final String requestId;
    final Route route;
    final boolean needsPrimary;
    final LogPosition minPosition;
    final Map<String, String> values;
    final long arrivedMs;
    final long startDeadlineMs;
    final Listener listener;

    /** Instances that were tried in vain. */
    final Set<String> triedInstanceIds = new HashSet<>();

    /** What the database's log must hold; absent where the primary proves itself instead. */
    Optional<LogPosition> requiredPosition = Optional.empty();

    /** Why the last instance with room for no more refused it; null when none did. */
    RefusalReason lastQueueRefusal;

    int attempts;
    boolean ended;

    /** Called when the unit need not wait any longer; null while it waits nowhere. */
    Consumer<ConnectionRequest> cancelHandler;

    ConnectionRequest(
            long id,
            String requestId,
            Route route,
            boolean needsPrimary,
            LogPosition floor,
            Map<String, String> values,
            long arrivedMs,
            long startByMs,
            Listener owner) {
        this.id = id;
        this.requestId = requestId;
        this.route = route;
        this.needsPrimary = needsPrimary;
        this.minPosition = floor;
        this.values = values;
        this.arrivedMs = arrivedMs;
        this.startDeadlineMs = startByMs;
        this.listener = owner;
    }

    String rank() {
        return Ranks.name(route.priority());
    }

    void refuse(RefusalReason reason) {
        if (!ended) {
            ended = true;
            listener.onRefused(reason);
        }
    }

    /** The client has gone. */
    void cancel() {
        ended = true;
        if (cancelHandler != null) {
            cancelHandler.accept(this);
        }
    }
}
