package org.hornbeamspread.core.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Assigns each database to one holder: the proxy whose connections and queue all others relay to.
 *
 * <p>The naive way, a table that is rewritten whenever a proxy comes or goes, has two faults. While views differ, the old
 * and the new holder would both open connections, and the total would pass the database's limit. And a new
 * control leader, which has no table, would move everything.
 *
 * <p>So the wished holder is a pure function, rendezvous hashing: each living proxy gets a hash with the database's name,
 * the greatest wins, and a proxy that comes or goes moves only its own share. Candidates are the proxies that are not
 * draining in the database's failure domain; without any, those of its region; without any, all.
 *
 * <p>And a change goes by shrink before grow: first a view is published in which the database has no holder, and the new
 * one is named only once the old holder has confirmed that view, or the lease under which it held has run out. A new
 * leader adopts what living proxies say they hold, and names holders for the rest only after a whole lease.
 *
 * <p>An epoch rises with each change, so that a relayed request which was sent under an older view is refused. Epochs
 * start at the leader's term shifted up, so that they also rise across leaders. Confined to one thread.
 */
public final class HolderAssignment {
    private static final int TERM_SHIFT_BITS = 32;

    private final Map<String, Assignment> assignments = new HashMap<>();
    private long nextEpoch;

    /** Starts empty under a control leader's term. */
    public HolderAssignment(long leaderTerm) {
        this.nextEpoch = leaderTerm << TERM_SHIFT_BITS;
    }

    /** Who holds a database as published; absent for none. */
    public Optional<String> holder(String databaseId) {
        return Optional.ofNullable(assignments.get(databaseId)).flatMap(Assignment::holder);
    }

    /** The epoch of the database's current holder, 0 before the first. */
    public long epoch(String databaseId) {
        Assignment holding = assignments.get(databaseId);
        return holding == null ? 0 : holding.epoch;
    }

    /**
     * Takes over what a proxy says it holds since an earlier leader. Of two claims the one with the later epoch wins.
     * Returns whether the holder changed.
     */
    public boolean adopt(String databaseId, String proxyId, long epoch) {
        Assignment holding = assignments.computeIfAbsent(databaseId, id -> new Assignment());
        if (epoch <= holding.epoch || holding.releasingHolderId != null) {
            return false;
        }
        holding.holderId = proxyId;
        holding.epoch = epoch;
        return true;
    }

    /**
     * Moves a database's assignment one step towards the wished holder. Returns whether what is published changed.
     *
     * @param database the database
     * @param candidates the proxies with a lease
     * @param nextVersion the view version in which a change would be published
     * @param release tells whether a proxy no longer acts on views older than a version
     * @param mayAssign false while leases of an earlier leader may still run
     */
    public boolean reconcile(
            AnnouncedDatabase database,
            HolderCandidates candidates,
            long nextVersion,
            ReleaseCheck release,
            boolean mayAssign) {
        Assignment holding = assignments.computeIfAbsent(database.databaseId(), id -> new Assignment());
        Optional<String> wished = candidates.selectHolder(database);
        if (holding.holderId != null) {
            if (wished.equals(holding.holder())) {
                return false;
            }
            holding.releasingHolderId = holding.holderId;
            holding.releaseVersion = nextVersion;
            holding.holderId = null;
            assignReleased(holding, wished, release, mayAssign);
            return true;
        }
        return assignReleased(holding, wished, release, mayAssign);
    }

    /** Whether the database has a holder; it stays so until the candidates change. */
    public boolean hasHolder(String databaseId) {
        Assignment holding = assignments.get(databaseId);
        return holding != null && holding.holderId != null;
    }

    /** Forgets a database that has expired. */
    public void remove(String databaseId) {
        assignments.remove(databaseId);
    }

    private boolean assignReleased(
            Assignment holding, Optional<String> wished, ReleaseCheck release, boolean mayAssign) {
        if (wished.isEmpty() || !mayAssign) {
            return false;
        }
        if (holding.releasingHolderId != null
                && !release.isReleased(holding.releasingHolderId, holding.releaseVersion)) {
            return false;
        }
        holding.releasingHolderId = null;
        holding.holderId = wished.get();
        nextEpoch++;
        holding.epoch = nextEpoch;
        return true;
    }

    /** Tells whether a proxy has let go. */
    @FunctionalInterface
    public interface ReleaseCheck {
        /** Whether the proxy confirmed a view of at least this version, or every lease on an older one has run out. */
        boolean isReleased(String proxyId, long version);
    }

    /** The state of one database's assignment. */
    private static final class Assignment {
        /** The published holder; null for none. */
        private String holderId;

        /** The former holder that has not let go yet; null for none. */
        private String releasingHolderId;

        private long releaseVersion;
        private long epoch;

        Optional<String> holder() {
            return Optional.ofNullable(holderId);
        }
    }
}
