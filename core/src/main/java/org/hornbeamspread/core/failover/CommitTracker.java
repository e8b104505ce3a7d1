package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * Tracks the latest commit of a group that a proxy has acknowledged, and decides whether a commit may be acknowledged.
 *
 * <p>Control chooses the successor of a primary by counting the copies that it knows. A copy that control doesn't know, doesn't
 * reach or takes for another may be the only one beside the primary to hold a commit, but the proxy that acknowledged the commit has
 * its position. A successor that lacks the position lacks the commit. While a seal is in force, commits up to the sealed term are not
 * acknowledged, so that the reported position stays the latest one until the successor leads. Confined to one thread.
 */
public final class CommitTracker {
    /**
     * A seal that control has not confirmed for this long has ended: an order to promote that control sent before is carried out by then, and a
     * proxy that is cut off from control serves what it can.
     */
    static final long SEAL_TIMEOUT_MS = ReplicaPauses.REPLACED_LEADER_LIMIT_MS;

    private final Clock clock;

    /** The latest position in a response of a primary. */
    private LogPosition observed = LogPosition.NONE;

    private AcknowledgedCommits acknowledged = AcknowledgedCommits.NONE;
    private Optional<Seal> seal = Optional.empty();
    private long sealConfirmedAtMs;

    /** Creates the tracker of a group that this proxy has not used yet. */
    public CommitTracker(Clock clock) {
        this.clock = clock;
    }

    /**
     * A commit that was sent and has no response yet.
     *
     * @param observed the latest observed position when the commit was sent
     * @param acknowledged what had been acknowledged by then
     */
    public record SentCommit(LogPosition observed, AcknowledgedCommits acknowledged) {
        /** Nothing was observed before. */
        public static final SentCommit NONE = new SentCommit(LogPosition.NONE, AcknowledgedCommits.NONE);
    }

    /** Records the position in a primary's response. */
    public void onObserved(LogPosition position) {
        observed = LogPosition.max(observed, position);
    }

    /** Returns the state on which the bounds of a commit's position rely that is sent now. */
    public SentCommit onSend() {
        return new SentCommit(observed, acknowledged);
    }

    /**
     * Handles a primary's response that a commit has succeeded. Returns whether the commit may be acknowledged to the caller; if not, its
     * result is in doubt.
     *
     * @param position the end of the primary's log
     */
    public boolean onSuccess(SentCommit sent, LogPosition position) {
        if (isSealed(position)) {
            return false;
        }
        if (!position.covers(sent.acknowledged().certain())) {
            // The group's history has started again.
            observed = position;
            acknowledged = AcknowledgedCommits.NONE;
        }
        boolean sameTerm = sent.observed().term() == position.term();
        long earliestIndex = sameTerm ? sent.observed().indexEntries() + 1 : 0;
        LogPosition certain = new LogPosition(position.term(), Math.min(earliestIndex, position.indexEntries()));
        acknowledged = AcknowledgedCommits.max(acknowledged, new AcknowledgedCommits(certain, position));
        onObserved(position);
        return true;
    }

    /** Applies a seal in an update of the control leader. */
    public void onSeal(Seal update) {
        sealConfirmedAtMs = clock.millis();
        long knownTerm = seal.filter(earlier -> earlier.token() == update.token())
                .map(Seal::logTerm)
                .orElseGet(() -> observed.term());
        seal = Optional.of(new Seal(update.token(), Math.max(knownTerm, update.logTerm())));
    }

    /**
     * Handles an update of the control leader without a seal of the group. It ends the seal once the promoted instance leads; until then the leader may
     * have been replaced, and an order of its predecessor may be about to take effect.
     *
     * @param promotedToken the token of the latest promotion whose instance leads; 0 if it does not lead yet
     */
    public void onNoSeal(long promotedToken) {
        seal = seal.filter(active -> active.token() > promotedToken);
    }

    /** Whether commits of the latest observed primary may not be acknowledged. */
    public boolean isSealed() {
        return isSealed(observed);
    }

    /** The token of the seal in force; 0 for none. */
    public long sealedToken() {
        return activeSeal().map(Seal::token).orElse(0L);
    }

    /** What this proxy has acknowledged. */
    public AcknowledgedCommits acknowledged() {
        return acknowledged;
    }

    private boolean isSealed(LogPosition position) {
        return activeSeal()
                .filter(active -> position.term() <= active.logTerm())
                .isPresent();
    }

    private Optional<Seal> activeSeal() {
        return seal.filter(active -> clock.millis() - sealConfirmedAtMs <= SEAL_TIMEOUT_MS);
    }
}
