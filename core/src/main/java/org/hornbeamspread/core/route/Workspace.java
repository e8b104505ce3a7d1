package org.hornbeamspread.core.route;

import com.google.common.base.CharMatcher;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * A customer of the operator. Callers are recognized by its keys, which are secret: they must not appear in logs, metrics or errors.
 *
 * @param name the unique name, which databases receive with each connection
 * @param keys the keys of its callers; none if no caller is admitted
 * @param priority weighs its share against those of other workspaces; 0 is the most urgent
 * @param limit the limit of its operations; empty for none
 */
public record Workspace(String name, List<String> keys, int priority, Optional<RateLimit> limit) {
    /** Fails with INVALID_CONFIGURATION when the name is not one printable word. */
    public Workspace {
        // The name is a word of the message that opens a connection to a database.
        if (name.isEmpty() || !CharMatcher.inRange('!', '~').matchesAllOf(name)) {
            throw new FailureException(
                    FailureType.INVALID_CONFIGURATION, "a workspace's name is empty, holds a blank or is not ASCII");
        }
        keys = List.copyOf(keys);
    }

    /** Omits the keys. */
    @Override
    public String toString() {
        return "Workspace[" + name + ", " + keys.size() + " keys, priority " + priority + ", " + limit + "]";
    }
}
