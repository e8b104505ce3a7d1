package org.hornbeamspread.proxy.session;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.Route;

/** A statement or a transaction that needs a database connection. */
final class Unit {
    /** Who waits for the connection. */
    interface Owner {
        /** The connection is there. */
        void onLease(Lease lease);

        /** It will not come; nothing ran. */
        void onRefused(RefusalReason reason);
    }

    final long id;
    final String requestId;
    final Route route;
    final boolean needsPrimary;
    final LogPosition floor;
    final Map<String, String> values;
    final long arrivedMs;
    final long startByMs;
    final Owner owner;

    /** Instances that were tried in vain. */
    final Set<String> tried = new HashSet<>();

    /** What the database's log must hold; absent where the primary proves itself instead. */
    Optional<LogPosition> after = Optional.empty();

    /** Why the last instance with room for no more refused it; null when none did. */
    RefusalReason queueRefusal;

    int attempts;
    boolean ended;

    /** Called when the unit need not wait any longer; null while it waits nowhere. */
    Consumer<Unit> cancellation;

    Unit(
            long id,
            String requestId,
            Route route,
            boolean needsPrimary,
            LogPosition floor,
            Map<String, String> values,
            long arrivedMs,
            long startByMs,
            Owner owner) {
        this.id = id;
        this.requestId = requestId;
        this.route = route;
        this.needsPrimary = needsPrimary;
        this.floor = floor;
        this.values = values;
        this.arrivedMs = arrivedMs;
        this.startByMs = startByMs;
        this.owner = owner;
    }

    String rank() {
        return PriorityRanks.rankName(route.priority());
    }

    void refuse(RefusalReason reason) {
        if (!ended) {
            ended = true;
            owner.onRefused(reason);
        }
    }

    /** The client has gone. */
    void cancel() {
        ended = true;
        if (cancellation != null) {
            cancellation.accept(this);
        }
    }
}
