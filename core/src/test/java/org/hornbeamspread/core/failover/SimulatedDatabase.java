package org.hornbeamspread.core.failover;

import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.sql.ReplicaStatus;

/** A database of {@link SimulatedGroup}. The log is modelled by its length, because the group has one writer. */
final class SimulatedDatabase {
    static final String SERVICE = "s";
    private static final int SLOTS = 2;

    final int addressIndex;
    final String id;
    final long bornMs;
    long sequence;

    /** The start time of the process. It differs from {@link #bornMs} after a restart as the registered incarnation. */
    long startedAtMs = 1;

    boolean up = true;
    long downSinceMs;

    /** Whether the log was lost in the crash, so that the next incarnation starts with an empty log. */
    boolean logLost;

    /** Whether control can reach the database. */
    boolean reachable = true;

    /** Whether connections of control are reset, though the process runs and receives. */
    boolean refuses;

    /** Until then the database receives a part of the log and acknowledges nothing. */
    long catchingUpUntilMs;

    /** The term that the database leads, or the term of the primary that it last received from. */
    long term;

    long entries;
    long pausedTerm;
    boolean primary;

    /** The database receives nothing before this time. */
    long replicationStalledUntilMs;

    /** When the database began to drain; 0 while it does not. */
    long drainingSinceMs;

    /** Whether the database has departed. Its process runs until {@link #processEndsAtMs}, or until it crashes. */
    boolean departed;

    long processEndsAtMs;

    /**
     * Whether an announcement of this incarnation has arrived. A database that starts empty receives only after that, unless {@link
     * #receivesUnannounced}.
     */
    boolean announced;

    boolean receivesUnannounced;

    /** No announcement arrives before this time. */
    long announcesFromMs;

    private boolean announcedPrimary;
    private boolean announcedDraining;

    SimulatedDatabase(int addressIndex, String id, long bornMs) {
        this.addressIndex = addressIndex;
        this.id = id;
        this.bornMs = bornMs;
    }

    /** Another incarnation at the same address, with the log of this one. */
    SimulatedDatabase restartWithLog(String nextId, long nextBornMs) {
        SimulatedDatabase next = new SimulatedDatabase(addressIndex, nextId, nextBornMs);
        next.term = term;
        next.entries = entries;
        next.primary = primary;
        next.reachable = reachable;
        next.refuses = refuses;
        next.announcedPrimary = !primary;
        next.announced = true;
        return next;
    }

    /** Another incarnation at the same address, with an empty log. */
    SimulatedDatabase restartEmpty(String nextId, long nextBornMs) {
        SimulatedDatabase next = new SimulatedDatabase(addressIndex, nextId, nextBornMs);
        next.reachable = reachable;
        return next;
    }

    boolean isReceiving(long nowMs) {
        return !primary
                && up
                && (announced || receivesUnannounced)
                && pausedTerm == 0
                && nowMs >= replicationStalledUntilMs;
    }

    /** Whether the database may receive before control has received its first announcement. */
    boolean isUnregisteredCopy() {
        return receivesUnannounced && !announced;
    }

    LogPosition position() {
        return entries == 0 ? LogPosition.NONE : new LogPosition(term, entries);
    }

    /** The response to commands. If pauses take no effect, a replica still reports that it is paused. */
    ReplicaStatus status(boolean pauseTakesEffect) {
        long heldTerm = pauseTakesEffect || primary ? pausedTerm : term + 1;
        return new ReplicaStatus(primary, term, position(), heldTerm);
    }

    /** Whether the state has changed since the last announcement. */
    boolean needsAnnouncement() {
        return !announced || announcedPrimary != primary || announcedDraining != (drainingSinceMs > 0);
    }

    Address address() {
        return address(addressIndex);
    }

    static Address address(int index) {
        return new Address("10.0.0." + index, 1);
    }

    DatabaseInstance announcement() {
        sequence++;
        announcedPrimary = primary;
        announcedDraining = drainingSinceMs > 0;
        return new DatabaseInstance(
                id,
                SERVICE,
                address(),
                "domain-" + addressIndex,
                SLOTS,
                drainingSinceMs > 0,
                primary,
                bornMs,
                sequence);
    }

    @Override
    public String toString() {
        return " " + id + (primary ? "*" : "") + (up ? "" : "!") + (reachable ? "" : "?") + ":" + entries
                + (pausedTerm > 0 ? "p" : "");
    }
}
