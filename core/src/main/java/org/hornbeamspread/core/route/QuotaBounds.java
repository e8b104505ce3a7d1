package org.hornbeamspread.core.route;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * How closely the limits of workspaces are kept: in any window, at most (rate x window + burst) x (1 + overshoot) + slack operations of a
 * workspace run over all proxies together.
 *
 * @param windowMs the length of the window
 * @param overshoot the tolerated excess as a fraction
 * @param slackOperations the tolerated excess in operations
 */
public record QuotaBounds(long windowMs, double overshoot, double slackOperations) {
    /** The bounds where the settings name none. */
    public static final QuotaBounds DEFAULT = new QuotaBounds(5_000, 0.1, 20);

    /** Fails with INVALID_SETTING when a value is out of range. */
    public QuotaBounds {
        if (windowMs <= 0 || !(overshoot >= 0) || !(slackOperations >= 0)) {
            throw new FailureException(FailureType.INVALID_SETTING, "a bound of the quotas is out of range");
        }
    }
}
