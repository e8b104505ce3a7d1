package org.hornbeamspread.core.failover;

import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.sql.ReplicaStatus;

/** A database of {@link SimulatedGroup}. Its log is a length, since the group has one writer. */
final class SimulatedDatabase {
    static final String SERVICE = "s";
    private static final int SLOTS = 2;

    final int seat;
    final String id;
    final long bornMs;
    long sequence;
    boolean up = true;
    long downSinceMs;

    /** Whether its log is lost when it crashes, so that it is followed by an empty one. */
    boolean lostForGood;

    /** Whether control reaches it. */
    boolean reachable = true;

    /** The term that it leads, or whose primary it received from last. */
    long term;

    long entries;
    long pausedTerm;
    boolean primary;

    /** Receives nothing before. */
    long deafUntilMs;

    /** Since when it leaves; 0 while it does not. */
    long leavingSinceMs;

    /** Whether an announcement of this incarnation has arrived. A database at a place of its own receives only then. */
    boolean known;

    private boolean toldPrimary;
    private boolean toldLeaving;

    SimulatedDatabase(int seat, String id, long bornMs) {
        this.seat = seat;
        this.id = id;
        this.bornMs = bornMs;
    }

    /** Another incarnation at the same address, with the log of this one. */
    SimulatedDatabase restarted(String nextId, long nextBornMs) {
        SimulatedDatabase next = new SimulatedDatabase(seat, nextId, nextBornMs);
        next.term = term;
        next.entries = entries;
        next.primary = primary;
        next.reachable = reachable;
        next.toldPrimary = !primary;
        next.known = true;
        return next;
    }

    /** Another incarnation at the same address, with an empty log. */
    SimulatedDatabase emptied(String nextId, long nextBornMs) {
        SimulatedDatabase next = new SimulatedDatabase(seat, nextId, nextBornMs);
        next.reachable = reachable;
        return next;
    }

    boolean receives(long nowMs) {
        return !primary && up && known && pausedTerm == 0 && nowMs >= deafUntilMs;
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
    boolean hasNews() {
        return !known || toldPrimary != primary || toldLeaving != (leavingSinceMs > 0);
    }

    DatabaseInstance announcement() {
        sequence++;
        toldPrimary = primary;
        toldLeaving = leavingSinceMs > 0;
        return new DatabaseInstance(
                id,
                SERVICE,
                new Address("10.0.0." + seat, 1),
                "domain-" + seat,
                SLOTS,
                leavingSinceMs > 0,
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
