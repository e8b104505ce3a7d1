package org.hornbeamspread.core.admission;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds the number of open connections. When all slots are taken, a new connection replaces the one that has been idle longest, and is
 * refused if none is idle: connections that are opened and send nothing can't keep others out. Confined to one thread.
 *
 * @param <C> the type of a connection
 */
public final class ConnectionSlots<C> {
    private final int maxConnections;
    private final Set<C> open = new HashSet<>();

    /** The open connections without a request, the one that has been idle longest first. */
    private final Set<C> idle = new LinkedHashSet<>();

    /** Creates slots of which none is taken. */
    public ConnectionSlots(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Adds an idle connection. Returns the connection to close: an idle one, or the added one if it is refused; empty if none. */
    public Optional<C> open(C connection) {
        Optional<C> replaced = Optional.empty();
        if (open.size() >= maxConnections) {
            Iterator<C> longestIdle = idle.iterator();
            if (!longestIdle.hasNext()) {
                return Optional.of(connection);
            }
            replaced = Optional.of(longestIdle.next());
            close(replaced.get());
        }
        open.add(connection);
        idle.add(connection);
        return replaced;
    }

    /** Records that a connection has a request and must not be replaced. */
    public void onBusy(C connection) {
        idle.remove(connection);
    }

    /** Records that a connection has no request any more. */
    public void onIdle(C connection) {
        if (open.contains(connection)) {
            idle.add(connection);
        }
    }

    /** Frees the slot of a connection, if it has one. */
    public void close(C connection) {
        open.remove(connection);
        idle.remove(connection);
    }

    /** The number of open connections. */
    public int size() {
        return open.size();
    }
}
