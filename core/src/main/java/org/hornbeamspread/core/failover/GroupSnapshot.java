package org.hornbeamspread.core.failover;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamspread.core.route.LostCopy;

/**
 * The state of a group that the next effects of {@link SyncGroupFailover} are decided from.
 *
 * @param token the token of the latest promotion in the log; 0 for none
 * @param chosenId the candidate of that promotion, once chosen
 * @param unsettledChoices candidates chosen under earlier tokens; requests for them may be in flight, or accepted and about to
 *     take effect
 * @param concluded whether the latest promotion is concluded
 * @param members current members
 * @param lostCopies logs that may have been lost with a database, and have not been recovered
 * @param pendingResumes resumes of any leader in the log that have not ended
 * @param primaryProof the latest proof that this leader obtained itself, if it is of the observed primary
 * @param observedPrimaryId the instance that the proof, its age and the stalled writes refer to
 * @param primaryProofAgeMs time since any observer last had proof that the primary works
 * @param stalledWriteMs how long writes have waited at the primary while none succeeded; 0 for none
 * @param connectionRefused whether the primary's address refuses connections
 * @param unreachableFromProxies whether too many proxies cannot reach the primary, although it works
 * @param commitReports what proxies have reported of acknowledged commits
 */
public record GroupSnapshot(
        long token,
        Optional<String> chosenId,
        Set<String> unsettledChoices,
        boolean concluded,
        List<MemberView> members,
        List<LostCopy> lostCopies,
        List<PendingResume> pendingResumes,
        Optional<PrimaryProof> primaryProof,
        Optional<String> observedPrimaryId,
        long primaryProofAgeMs,
        long stalledWriteMs,
        boolean connectionRefused,
        boolean unreachableFromProxies,
        CommitReports commitReports) {
    /** Copies the collections. */
    public GroupSnapshot {
        unsettledChoices = Set.copyOf(unsettledChoices);
        members = List.copyOf(members);
        lostCopies = List.copyOf(lostCopies);
        pendingResumes = List.copyOf(pendingResumes);
    }

    /** The member that was chosen by the latest promotion; empty if there is none, or if it is no longer registered. */
    Optional<MemberView> promotedMember() {
        return members.stream()
                .filter(member -> chosenId.equals(Optional.of(member.instanceId())))
                .findFirst();
    }

    /** The lost copies whose process is not known to have ended. */
    List<LostCopy> possiblyRunningCopies() {
        return lostCopies.stream().filter(copy -> !copy.processEnded()).toList();
    }
}
