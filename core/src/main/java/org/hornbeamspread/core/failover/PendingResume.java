package org.hornbeamspread.core.failover;

/**
 * A resume of replication that a control leader may send to a replica, or has sent without a response. It is committed to the
 * log before it is sent, so that each later leader includes it in its decisions.
 *
 * @param instanceId the replica
 * @param bornMs the start time of the replica's process, in ms since 1970; a later process doesn't carry out a
 *     resume that was sent before
 * @param leaderTerm the term of the control leader that sends the resume
 */
public record PendingResume(String instanceId, long bornMs, long leaderTerm) {}
