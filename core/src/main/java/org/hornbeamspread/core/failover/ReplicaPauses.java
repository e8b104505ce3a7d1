package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.hornbeamspread.core.sql.ReplicaStatus;

/**
 * Tracks which replicas are paused, and which pauses prove that a replica receives nothing.
 *
 * <p>A pause ends when the replica is resumed, when its process ends, and when an instance is promoted. A resume carries no term, so
 * that a replica can't reject it: a resume without a response may be carried out seconds later and end a later pause, and
 * so may one that a replaced leader sends when its process continues after a stop. A promotion that relied on that pause would
 * lose what the replica then acknowledges. Therefore a resume is committed to the log before it is sent, which fails for a
 * replaced leader and during a promotion, and stays there as a {@link PendingResume} until it has ended:
 *
 * <ul>
 *   <li>each send had a response, or was certainly not carried out;
 *   <li>the replica's process has restarted, and the leader that sent the resume still leads;
 *   <li>the time within which a database may carry out a command, or a replaced leader may still send one, has passed.
 * </ul>
 *
 * <p>While a resume is pending, the replica's pause proves nothing. Confined to one thread.
 */
final class ReplicaPauses {
    /**
     * A command without a response is carried out at most this long after it was sent: databases carry commands out up to 12 s late,
     * and drop a connection whose peer can't be reached after 3 s.
     */
    static final long LATE_EXECUTION_LIMIT_MS = 15_000;

    /**
     * A resume of an earlier leader counts as pending for this long after the next leader began: the earlier leader may have stopped
     * between the commit and the send, and continue 8 s later, the longest freeze of a machine.
     */
    static final long REPLACED_LEADER_LIMIT_MS = LATE_EXECUTION_LIMIT_MS + 8_000;

    /** A resume whose commit took longer than this is not sent, since another leader may have followed. */
    static final long MAX_COMMIT_AGE_MS = 1_000;

    /** Interval of the status requests that detect a pause that was carried out late. */
    private static final long LATE_PAUSE_CHECK_INTERVAL_MS = 3_000;

    /** What is known of a replica's replication. */
    private enum Replication {
        RECEIVING,
        PAUSED,
        /** A command without a response may have changed the state. */
        UNKNOWN
    }

    private final Clock clock;
    private final long leaderTerm;
    private final long startedAtMs;

    /** The state of each member that has responded or was sent a command; UNKNOWN for others. */
    private final Map<String, Replication> replication = new HashMap<>();

    private final Map<String, Long> statusReceivedAtMs = new HashMap<>();

    /** Resumes that this leader has committed or sent. */
    private final Map<PendingResume, OwnResume> ownResumes = new HashMap<>();

    /** When this leader last sent a pause. An earlier leader may have sent one until this leader began. */
    private long lastPauseAtMs;

    ReplicaPauses(Clock clock, long leaderTerm) {
        this.clock = clock;
        this.leaderTerm = leaderTerm;
        this.startedAtMs = clock.millis();
        this.lastPauseAtMs = startedAtMs;
    }

    /** Drops the state of instances that are no longer members. */
    void retainMembers(List<MemberView> members) {
        Set<String> ids = new HashSet<>();
        members.forEach(member -> ids.add(member.instanceId()));
        replication.keySet().retainAll(ids);
        statusReceivedAtMs.keySet().retainAll(ids);
        ownResumes.keySet().removeIf(resume -> !ids.contains(resume.instanceId()) && !isPending(resume));
    }

    void onStatus(String instanceId, ReplicaStatus status) {
        boolean paused = status.heldTerm() > 0 && !status.primary();
        replication.put(instanceId, paused ? Replication.PAUSED : Replication.RECEIVING);
        statusReceivedAtMs.put(instanceId, clock.millis());
    }

    void onPauseSent(String instanceId) {
        replication.merge(
                instanceId,
                Replication.UNKNOWN,
                (present, sent) -> present == Replication.PAUSED ? Replication.PAUSED : sent);
        lastPauseAtMs = clock.millis();
    }

    /** Handles the end of the commit of resumes. Those that are committed may be sent for a limited time. */
    void onCommitEnded(List<PendingResume> resumes, boolean committed) {
        resumes.stream().map(ownResumes::get).filter(Objects::nonNull).forEach(own -> own.onCommitEnded(committed));
    }

    /** Drops the resumes that are not sent yet. The token under which they were committed is no longer the latest. */
    void dropUnsentResumes() {
        ownResumes.values().forEach(OwnResume::drop);
    }

    /**
     * Handles the end of a sent resume.
     *
     * @param settled whether the database has responded, or has certainly not carried out the resume and never will
     */
    void onResumeEnded(String instanceId, boolean settled) {
        if (settled) {
            ownResumes.forEach((resume, own) -> {
                if (resume.instanceId().equals(instanceId)) {
                    own.unsettledSends = Math.max(0, own.unsettledSends - 1);
                }
            });
        }
    }

    /** Whether a pause of a member proves that the member receives nothing: no resume of it is pending. */
    boolean isReliable(GroupSnapshot snapshot, MemberView member) {
        return snapshot.pendingResumes().stream()
                .filter(resume -> resume.instanceId().equals(member.instanceId()))
                .noneMatch(resume -> isPending(resume, member));
    }

    /** The members whose pauses are not reliable. */
    Set<String> unreliableIds(GroupSnapshot snapshot) {
        Set<String> ids = new HashSet<>();
        snapshot.members().stream()
                .filter(member -> !isReliable(snapshot, member))
                .forEach(member -> ids.add(member.instanceId()));
        return ids;
    }

    private boolean isPending(PendingResume resume, MemberView member) {
        return !hasRestarted(resume, member) && isPending(resume);
    }

    /**
     * Whether a resume that this leader sent has ended with the replica's process. An earlier leader may still send its resume, which
     * then reaches the later process.
     */
    private boolean hasRestarted(PendingResume resume, MemberView member) {
        return resume.leaderTerm() == leaderTerm
                && member.instanceId().equals(resume.instanceId())
                && member.bornMs() > resume.bornMs();
    }

    private boolean isPending(PendingResume resume) {
        if (resume.leaderTerm() != leaderTerm) {
            return clock.millis() - startedAtMs <= REPLACED_LEADER_LIMIT_MS;
        }
        OwnResume own = ownResumes.get(resume);
        return own != null && own.unsettledSends > 0 && clock.millis() - own.lastSentAtMs <= LATE_EXECUTION_LIMIT_MS;
    }

    /** The resumes in the log that have ended. */
    List<PendingResume> endedResumes(GroupSnapshot snapshot) {
        List<PendingResume> ended = new ArrayList<>();
        for (PendingResume resume : snapshot.pendingResumes()) {
            OwnResume own = ownResumes.get(resume);
            boolean inUse = own != null && own.isInUse(clock.millis());
            boolean restarted = snapshot.members().stream().anyMatch(member -> hasRestarted(resume, member));
            if (!inUse && (restarted || !isPending(resume))) {
                ended.add(resume);
            }
        }
        return ended;
    }

    /** Whether a replica was paused when it last responded, and no command has been sent to it since. */
    boolean isPaused(MemberView replica) {
        return replication.get(replica.instanceId()) == Replication.PAUSED;
    }

    /** The resumes to commit for paused replicas. */
    List<PendingResume> resumesToCommit(List<MemberView> pausedReplicas) {
        List<PendingResume> resumes = new ArrayList<>();
        for (MemberView replica : pausedReplicas) {
            PendingResume resume = new PendingResume(replica.instanceId(), replica.bornMs(), leaderTerm);
            OwnResume own = ownResumes.computeIfAbsent(resume, added -> new OwnResume());
            if (!own.isInUse(clock.millis())) {
                own.commitPending = true;
                own.commitRequestedAtMs = clock.millis();
                resumes.add(resume);
            }
        }
        return resumes;
    }

    /** Takes the committed resumes that are to be sent now. */
    List<PendingResume> takeResumesToSend() {
        List<PendingResume> resumes = new ArrayList<>();
        long nowMs = clock.millis();
        ownResumes.forEach((resume, own) -> {
            if (own.isSendable(nowMs)) {
                own.sendable = false;
                own.unsettledSends++;
                own.lastSentAtMs = nowMs;
                replication.put(resume.instanceId(), Replication.UNKNOWN);
                resumes.add(resume);
            }
        });
        return resumes;
    }

    /**
     * Whether a replica's status must be requested to detect a pause: after a command without a response, and at intervals as long as
     * an earlier pause may be carried out late.
     *
     * @param pausesSent whether this or an earlier leader may have sent pauses
     */
    boolean isStatusNeeded(MemberView replica, boolean pausesSent) {
        if (replication.getOrDefault(replica.instanceId(), Replication.UNKNOWN) == Replication.UNKNOWN) {
            return true;
        }
        long nowMs = clock.millis();
        return pausesSent
                && nowMs - lastPauseAtMs <= LATE_EXECUTION_LIMIT_MS
                && nowMs - statusReceivedAtMs.getOrDefault(replica.instanceId(), nowMs) >= LATE_PAUSE_CHECK_INTERVAL_MS;
    }

    /** A resume of this leader. */
    private static final class OwnResume {
        boolean commitPending;
        long commitRequestedAtMs;

        /** Whether the commit has succeeded and the resume is not sent yet. */
        boolean sendable;

        /** Sends without a response. */
        int unsettledSends;

        long lastSentAtMs;

        void onCommitEnded(boolean committed) {
            sendable = commitPending && committed;
            commitPending = false;
        }

        void drop() {
            commitPending = false;
            sendable = false;
        }

        boolean isSendable(long nowMs) {
            return sendable && nowMs - commitRequestedAtMs <= MAX_COMMIT_AGE_MS;
        }

        boolean isInUse(long nowMs) {
            return commitPending || isSendable(nowMs);
        }
    }
}
