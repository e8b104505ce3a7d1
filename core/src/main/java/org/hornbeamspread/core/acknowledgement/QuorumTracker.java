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
 * Decides when a write of one group is held by enough databases to survive every promotion that can follow.
 *
 * <p>Replication is asynchronous, so a primary's commit alone proves nothing: the primary may die with it. A promotion
 * fences a majority of the group and takes the fenced database with the highest last entry. A write survives when a
 * majority holds it, because every fenced majority then contains a holder, and the holder's last entry is at least the
 * write. Three things would break that argument, and each has a rule:
 *
 * <ul>
 *   <li>A database that was fenced at a later term, or follows another term's log, may have its tail cut back. It
 *       counts only while its own term and the followed term are both the term of the view.
 *   <li>An entry of an earlier term can be held by a majority and still lose against a later term's shorter tail. So a
 *       database counts only when its last entry is of the current term: it then holds the term's marker too, and an
 *       older entry (a replayed write) is acknowledged only once the marker has a majority.
 *   <li>A database that lost its disk has forgotten what it promised. It counts only while it is trusted, and what an
 *       earlier incarnation held no longer counts.
 * </ul>
 *
 * <p>With each report the tracker computes the highest position that a majority covers and completes every waiting
 * write up to it, so that the cost does not grow with the number of waiting writes. When the term changes, the waiting
 * writes fail with TERM_CHANGED_AFTER_SEND: they may survive in the new primary's log or not. Not safe for use by
 * several threads.
 */
public final class QuorumTracker {
    /** 0 until the first view. */
    private long term;

    private int quorumSize = Integer.MAX_VALUE;
    private Set<String> members = Set.of();
    private final Map<String, DatabaseLogStatus> statusByDatabase = new HashMap<>();
    private final PriorityQueue<WaitingWrite> waitingWrites =
            new PriorityQueue<>(Comparator.comparing(WaitingWrite::position));

    /** The highest position held by a majority; NONE until there is one of this term. */
    private LogPosition quorumPosition = LogPosition.NONE;

    /**
     * Takes over the group's state from a view.
     *
     * @param newTerm the group's term; a lower one is ignored
     * @param newMembers the databases that may count
     * @param groupDatabases how many databases the group has, of which a majority is needed
     */
    public void updateView(long newTerm, Set<String> newMembers, int groupDatabases) {
        if (newTerm < term) {
            return;
        }
        members = Set.copyOf(newMembers);
        quorumSize = groupDatabases / 2 + 1;
        if (newTerm > term) {
            term = newTerm;
            quorumPosition = LogPosition.NONE;
            failWaitingWrites();
        }
        advanceQuorumPosition();
    }

    /** Takes a report in. */
    public void onReport(LogStatusReport report) {
        DatabaseLogStatus known = statusByDatabase.get(report.databaseId());
        if (known != null && report.incarnation() < known.incarnation) {
            return;
        }
        statusByDatabase.put(report.databaseId(), DatabaseLogStatus.updated(report, known));
        advanceQuorumPosition();
    }

    /**
     * Waits until a majority holds a position.
     *
     * @param writeTerm the term that the primary executed the write at
     * @param position the write's position, or for a replayed write its first position
     * @param primaryId the primary, which synced the write before it answered
     * @return completes when the write is safe; fails with TERM_CHANGED_AFTER_SEND
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

    /** Forgets a waiting write, after its deadline. */
    public void cancel(CompletableFuture<Void> write) {
        waitingWrites.removeIf(entry -> entry.quorumReached == write);
    }

    /** Writes that wait for a majority. */
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
                FailureType.TERM_CHANGED_AFTER_SEND, "written at term " + writeTerm + ", now " + term);
    }

    private record WaitingWrite(LogPosition position, CompletableFuture<Void> quorumReached) {}

    /** The latest state of one database. */
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

        /** Within one incarnation and term a log only grows, so that an older report can't lower what is known. */
        static DatabaseLogStatus updated(LogStatusReport report, DatabaseLogStatus known) {
            if (known == null || known.incarnation < report.incarnation()) {
                return new DatabaseLogStatus(report, report.synced());
            }
            if (report.term() < known.term || report.followedTerm() < known.followedTerm) {
                return known;
            }
            boolean sameLog = report.followedTerm() == known.followedTerm;
            return new DatabaseLogStatus(
                    report, sameLog ? LogPosition.max(known.synced, report.synced()) : report.synced());
        }

        boolean isCountedAt(long viewTerm) {
            return trusted && term == viewTerm && followedTerm == viewTerm;
        }

        void advanceTo(LogPosition position) {
            synced = LogPosition.max(synced, position);
        }
    }
}
