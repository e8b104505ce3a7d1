package org.hornbeamspread.core.admission;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * A workspace that competes with others for the slots of a rank.
 *
 * @param workspace the name of the workspace; empty for all requests without one, which compete as one workspace
 * @param weight the share of the workspace relative to those of the others
 */
public record WorkspaceShare(String workspace, double weight) {
    /** The share of requests without a workspace. */
    public static final WorkspaceShare NONE = new WorkspaceShare("", 1);

    /** Fails with INVALID_CONFIGURATION when the weight is not positive. */
    public WorkspaceShare {
        if (!(weight > 0)) {
            throw new FailureException(
                    FailureType.INVALID_CONFIGURATION, "the weight of workspace " + workspace + " is not positive");
        }
    }

    /** The share of a workspace with a priority, of which 0 has the greatest weight. */
    public static WorkspaceShare of(String workspace, int priority) {
        return new WorkspaceShare(workspace, 1.0 / (1 + Math.max(0, priority)));
    }
}
