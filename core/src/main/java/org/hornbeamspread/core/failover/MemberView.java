package org.hornbeamspread.core.failover;

/**
 * A member of a group, as a leader of control observes it.
 *
 * @param instanceId the member's id
 * @param draining whether the member is draining before it departs
 * @param primary whether the member reports that it is the primary
 * @param silentMs time since the member's last announcement to this leader
 * @param logUnproven whether another incarnation at the member's address was lost, possibly with acknowledged commits
 * @param bornMs the start time of the member's process, in ms since 1970; 0 if it is unknown
 */
public record MemberView(
        String instanceId, boolean draining, boolean primary, long silentMs, boolean logUnproven, long bornMs) {}
