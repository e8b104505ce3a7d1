package org.hornbeamspread.core.failover;

import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.sql.ReplicaStatus;

/** A database of {@link SimulatedGroup}. Its log is a length, since the group has one writer. */
final class SimulatedDatabase {
    static final String SERVICE = "s";
    private static final int SLOTS = 2;

    final int addressIndex;
    final String id;
    final long bornMs;
    long sequence;
    boolean up = true;
    long downSinceMs;

    /** Whether its log is lost when it crashes, so that it is followed by an empty one. */
    boolean logLost;

    /** Whether control reaches it. */
    boolean reachable = true;

    /** The term that it leads, or whose primary it received from last. */
    long term;

    long entries;
    long pausedTerm;
    boolean primary;

    /** Receives nothing before. */
    long replicationStalledUntilMs;

    /** Since when it leaves; 0 while it does not. */
    long drainingSinceMs;

    /** Whether an announcement of this incarnation has arrived. A database at a place of its own receives only then. */
    boolean announced;

    private boolean announcedPrimary;
    private boolean announcedDraining;

    SimulatedDatabase(int seat, String id, long bornMs) {
        this.addressIndex = seat;
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
        return !primary && up && announced && pausedTerm == 0 && nowMs >= replicationStalledUntilMs;
    }

    LogPosition position() {
        return entries == 0 ? LogPosition.NONE : new LogPosition(term, entries);
    }

    /** Its answer to commands; without working pauses a replica claims to be paused. */
    ReplicaStatus status(boolean pausesWork) {
        long heldTerm = pausesWork || primary ? pausedTerm : term + 1;
        return new ReplicaStatus(primary, term, position(), heldTerm);
    }

    /** Whether it has something to tell that its last announcement did not. */
    boolean needsAnnouncement() {
        return !announced || announcedPrimary != primary || announcedDraining != (drainingSinceMs > 0);
    }

    DatabaseInstance announcement() {
        sequence++;
        announcedPrimary = primary;
        announcedDraining = drainingSinceMs > 0;
        return new DatabaseInstance(
                id,
                SERVICE,
                new Address("10.0.0." + addressIndex, 1),
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
