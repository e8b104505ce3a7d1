package org.hornbeamspread.core.acknowledgement;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * Decides when enough databases of a group hold a write for it to survive every later promotion.
 *
 * <p>Replication is asynchronous, so a commit on the primary alone is not sufficient: the only copy may be lost with
 * the primary. A promotion fences a majority of the group and selects the fenced database with the highest last entry.
 * A write that a majority holds survives, because every fenced majority contains a holder, and the holder's last entry
 * is at or after the write. Three cases would invalidate this argument, and each is excluded by a rule:
 *
 * <ul>
 *   <li>The log of a database that was fenced at a later term, or that follows the log of another term, may be
 *       truncated. A database counts only while its own term and its followed term both equal the term of the view.
 *   <li>An entry of an earlier term can be held by a majority and still be replaced by a shorter log with a last entry
 *       of a later term. A database therefore counts only when its last entry is of the current term. Its log then also
 *       contains the marker that starts the term, so an older entry (a replayed write) is acknowledged only after a
 *       majority holds the marker.
 *   <li>A database that lost its disk no longer holds the entries that it reported before. A database counts only while
 *       it is trusted, and entries reported by an earlier incarnation do not count.
 * </ul>
 *
 * <p>For each report the tracker computes the highest position that a majority holds and completes every waiting write
 * up to that position, so the cost does not grow with the number of waiting writes. When the term changes, the waiting
 * writes fail with TERM_CHANGED_AFTER_SEND: the new primary's log may or may not contain them. Not thread-safe.
 */
public final class QuorumTracker {
    /** The term of the current view; 0 before the first view. */
    private long term;

    private int quorumSize = Integer.MAX_VALUE;
    private Set<String> members = Set.of();
    private final Map<String, DatabaseLogStatus> statusByDatabase = new HashMap<>();
    private final PriorityQueue<WaitingWrite> waitingWrites =
            new PriorityQueue<>(Comparator.comparing(WaitingWrite::position));

    /** The highest position held by a majority; NONE until a majority holds an entry of the current term. */
    private LogPosition quorumPosition = LogPosition.NONE;

    /**
     * Applies the group's state from a view. A view with a lower term is ignored.
     *
     * @param newTerm the group's term
     * @param newMembers the databases that may count towards a quorum
     * @param groupSize the number of databases in the group, of which a majority forms a quorum
     */
    public void updateView(long newTerm, Set<String> newMembers, int groupSize) {
        if (newTerm < term) {
            return;
        }
        members = Set.copyOf(newMembers);
        quorumSize = groupSize / 2 + 1;
        if (newTerm > term) {
            term = newTerm;
            quorumPosition = LogPosition.NONE;
            failWaitingWrites();
        }
        advanceQuorumPosition();
    }

    /** Processes a database's report; a report of an earlier incarnation is ignored. */
    public void onReport(LogStatusReport report) {
        DatabaseLogStatus previous = statusByDatabase.get(report.databaseId());
        if (previous != null && report.incarnation() < previous.incarnation) {
            return;
        }
        statusByDatabase.put(report.databaseId(), DatabaseLogStatus.updated(report, previous));
        advanceQuorumPosition();
    }

    /**
     * Waits until a majority holds a position.
     *
     * @param writeTerm the term at which the primary executed the write
     * @param position the write's position; for a replayed write, its original position
     * @param primaryId the primary, which synced the write before it responded
     * @return a future that completes when a majority holds the write, or fails with TERM_CHANGED_AFTER_SEND
     */
    public CompletableFuture<Void> awaitQuorum(long writeTerm, LogPosition position, String primaryId) {
        if (writeTerm != term) {
            return CompletableFuture.failedFuture(termChanged(writeTerm));
        }
        DatabaseLogStatus primary = statusByDatabase.get(primaryId);
        if (primary != null && position.term() == term && primary.isCountedAt(term)) {
            primary.advanceTo(position);
            advanceQuorumPosition();
        }
        if (quorumPosition.covers(position)) {
            return CompletableFuture.completedFuture(null);
        }
        WaitingWrite write = new WaitingWrite(position, new CompletableFuture<>());
        waitingWrites.add(write);
        return write.quorumReached;
    }

    /** Stops waiting for a write whose deadline has passed. */
    public void cancel(CompletableFuture<Void> write) {
        waitingWrites.removeIf(entry -> entry.quorumReached == write);
    }

    /** The number of writes that wait for a quorum. */
    public int waitingWriteCount() {
        return waitingWrites.size();
    }

    private void advanceQuorumPosition() {
        LogPosition[] positions = statusByDatabase.entrySet().stream()
                .filter(entry ->
                        members.contains(entry.getKey()) && entry.getValue().isCountedAt(term))
                .map(entry -> entry.getValue().synced)
                .filter(synced -> synced.term() == term)
                .toArray(LogPosition[]::new);
        if (positions.length < quorumSize) {
            return;
        }
        Arrays.sort(positions);
        quorumPosition = LogPosition.max(quorumPosition, positions[positions.length - quorumSize]);
        while (!waitingWrites.isEmpty() && quorumPosition.covers(waitingWrites.peek().position)) {
            waitingWrites.poll().quorumReached.complete(null);
        }
    }

    private void failWaitingWrites() {
        while (!waitingWrites.isEmpty()) {
            WaitingWrite write = waitingWrites.poll();
            write.quorumReached.completeExceptionally(termChanged(write.position.term()));
        }
    }

    private FailureException termChanged(long writeTerm) {
        return new FailureException(
                FailureType.TERM_CHANGED_AFTER_SEND, "written at term " + writeTerm + ", current term is " + term);
    }

    private record WaitingWrite(LogPosition position, CompletableFuture<Void> quorumReached) {}

    /** The latest log status of one database. */
    private static final class DatabaseLogStatus {
        private final long incarnation;
        private final long term;
        private final long followedTerm;
        private final boolean trusted;

        private LogPosition synced;

        private DatabaseLogStatus(LogStatusReport report, LogPosition synced) {
            this.incarnation = report.incarnation();
            this.term = report.term();
            this.followedTerm = report.followedTerm();
            this.trusted = report.trusted();
            this.synced = synced;
        }

        /**
         * The status after a report. Within one incarnation and term a log only grows, so an outdated report must not
         * lower the synced position.
         */
        static DatabaseLogStatus updated(LogStatusReport report, DatabaseLogStatus previous) {
            if (previous == null || previous.incarnation < report.incarnation()) {
                return new DatabaseLogStatus(report, report.synced());
            }
            if (report.term() < previous.term || report.followedTerm() < previous.followedTerm) {
                return previous;
            }
            boolean sameLog = report.followedTerm() == previous.followedTerm;
            return new DatabaseLogStatus(
                    report, sameLog ? LogPosition.max(previous.synced, report.synced()) : report.synced());
        }

        boolean isCountedAt(long viewTerm) {
            return trusted && term == viewTerm && followedTerm == viewTerm;
        }

        void advanceTo(LogPosition position) {
            synced = LogPosition.max(synced, position);
        }
    }
}
