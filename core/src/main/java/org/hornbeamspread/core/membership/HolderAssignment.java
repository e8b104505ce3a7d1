package org.hornbeamspread.core.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Assigns each database to one holder: the proxy that owns the database's connections and request queue, and to which
 * all other proxies relay their requests.
 *
 * <p><b>Naive approach.</b> A table that is rewritten whenever a proxy joins or leaves has two faults. While proxies
 * act on different views, the previous and the new holder would both open connections, and the total would exceed the
 * database's connection limit. A new control leader, which has no table, would reassign every database.
 *
 * <p><b>Target holder.</b> The desired holder is a pure function, rendezvous hashing: each proxy with a lease is scored
 * by hashing its name with the database's name, and the highest score wins. A proxy that joins or leaves changes only
 * its own share of the assignments. Candidates are the proxies in the database's failure domain that are not draining;
 * if there are none, those of its region; if there are none, all.
 *
 * <p><b>Handover.</b> The previous holder releases the database before the next one acquires it. A view without a
 * holder for the database is published first. The new holder is assigned only after the previous holder has confirmed
 * that view, or after the lease under which it held the database has expired. A new leader adopts the holdings that
 * proxies with a lease report, and assigns holders to the remaining databases only after one full lease.
 *
 * <p><b>Epochs.</b> The epoch increases with each assignment, so that a relayed request sent under an older view is
 * refused. Epochs start at the leader's term shifted left by 32 bits, so that they also increase across leaders.
 * Confined to one thread.
 */
public final class HolderAssignment {
    private static final int TERM_SHIFT_BITS = 32;

    private final Map<String, Assignment> assignments = new HashMap<>();
    private long lastEpoch;

    /** Creates an assignment without holders, for the term of a control leader. */
    public HolderAssignment(long leaderTerm) {
        this.lastEpoch = leaderTerm << TERM_SHIFT_BITS;
    }

    /** The holder of a database in the published view; absent if there is none. */
    public Optional<String> holder(String databaseId) {
        return Optional.ofNullable(assignments.get(databaseId)).flatMap(Assignment::holder);
    }

    /** The epoch of the database's latest assignment, 0 before the first. */
    public long epoch(String databaseId) {
        Assignment assignment = assignments.get(databaseId);
        return assignment == null ? 0 : assignment.epoch;
    }

    /**
     * Adopts an assignment that a proxy reports from the term of an earlier leader. Of two claims the one with the
     * higher epoch wins. Returns whether the holder changed.
     */
    public boolean adopt(String databaseId, String proxyId, long epoch) {
        Assignment assignment = assignments.computeIfAbsent(databaseId, id -> new Assignment());
        if (epoch <= assignment.epoch || assignment.releasingHolderId != null) {
            return false;
        }
        assignment.holderId = proxyId;
        assignment.epoch = epoch;
        return true;
    }

    /**
     * Moves a database's assignment one step towards the desired holder. Returns whether the published state changed.
     *
     * @param candidates the proxies with a lease
     * @param nextVersion the view version that would publish a change
     * @param releaseCheck checks whether a proxy no longer acts on views older than a version
     * @param mayAssign false while leases granted by an earlier leader may still be valid
     */
    public boolean reconcile(
            AnnouncedDatabase database,
            HolderCandidates candidates,
            long nextVersion,
            ReleaseCheck releaseCheck,
            boolean mayAssign) {
        Assignment assignment = assignments.computeIfAbsent(database.databaseId(), id -> new Assignment());
        Optional<String> desired = candidates.selectHolder(database);
        if (assignment.holderId != null) {
            if (desired.equals(assignment.holder())) {
                return false;
            }
            assignment.releasingHolderId = assignment.holderId;
            assignment.releaseVersion = nextVersion;
            assignment.holderId = null;
            assignReleased(assignment, desired, releaseCheck, mayAssign);
            return true;
        }
        return assignReleased(assignment, desired, releaseCheck, mayAssign);
    }

    /** Whether the database has a holder. The holder remains until the candidates change. */
    public boolean hasHolder(String databaseId) {
        Assignment assignment = assignments.get(databaseId);
        return assignment != null && assignment.holderId != null;
    }

    /** Removes the assignment of a database that has expired. */
    public void remove(String databaseId) {
        assignments.remove(databaseId);
    }

    private boolean assignReleased(
            Assignment assignment, Optional<String> desired, ReleaseCheck releaseCheck, boolean mayAssign) {
        if (desired.isEmpty() || !mayAssign) {
            return false;
        }
        if (assignment.releasingHolderId != null
                && !releaseCheck.isReleased(assignment.releasingHolderId, assignment.releaseVersion)) {
            return false;
        }
        assignment.releasingHolderId = null;
        assignment.holderId = desired.get();
        lastEpoch++;
        assignment.epoch = lastEpoch;
        return true;
    }

    /** Checks whether a proxy has released a database. */
    @FunctionalInterface
    public interface ReleaseCheck {
        /**
         * Whether the proxy has confirmed a view of at least this version, or all its leases on older views have
         * expired.
         */
        boolean isReleased(String proxyId, long version);
    }

    /** The assignment of one database. */
    private static final class Assignment {
        /** The holder in the published view; null if there is none. */
        private String holderId;

        /** The previous holder that has not released the database yet; null if there is none. */
        private String releasingHolderId;

        /** The view version that published the database without a holder. */
        private long releaseVersion;

        private long epoch;

        Optional<String> holder() {
            return Optional.ofNullable(holderId);
        }
    }
}
