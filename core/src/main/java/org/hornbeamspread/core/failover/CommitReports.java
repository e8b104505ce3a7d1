package org.hornbeamspread.core.failover;

/**
 * What proxies have reported of a group's acknowledged commits.
 *
 * @param acknowledged the latest of all reports, also of proxies that are gone
 * @param pending whether a proxy in touch has not reported under the seal in force, so that it may acknowledge more, or whether the
 *     leader is so new that proxies may not have found it yet
 */
public record CommitReports(AcknowledgedCommits acknowledged, boolean pending) {
    /** No proxy has reported a commit, and none is awaited. */
    public static final CommitReports NONE = new CommitReports(AcknowledgedCommits.NONE, false);
}
