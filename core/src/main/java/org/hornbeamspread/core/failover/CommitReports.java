package org.hornbeamspread.core.failover;

/**
 * What proxies have reported of a group's acknowledged commits.
 *
 * @param acknowledged the latest of all reports, also of proxies that are gone
 * @param pending whether a proxy in touch has not reported under the seal in force, so that it may acknowledge more, or whether the
 *     leader is so new that proxies may not have found it yet
 * @param silent who has not responded since the token was raised; {@link SilentParties#NONE} while no promotion is in progress
 */
public record CommitReports(AcknowledgedCommits acknowledged, boolean pending, SilentParties silent) {
    /** No proxy has reported a commit, and none is awaited. */
    public static final CommitReports NONE = new CommitReports(AcknowledgedCommits.NONE, false);

    /** The reports while everyone responds. */
    public CommitReports(AcknowledgedCommits acknowledged, boolean pending) {
        this(acknowledged, pending, SilentParties.NONE);
    }
}
