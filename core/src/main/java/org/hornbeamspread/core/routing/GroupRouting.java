package org.hornbeamspread.core.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/** Maps routing keys to database groups by hash. */
public final class GroupRouting {
    private GroupRouting() {}

    /**
     * The group of a routing key among a service's groups, in configuration order; the same on every proxy. Fails with
     * UNKNOWN_GROUP when there are no groups.
     */
    public static String groupOf(List<String> groups, String routingKey) {
        if (groups.isEmpty()) {
            throw new FailureException(FailureType.UNKNOWN_GROUP, "the service has no groups");
        }
        int hash = Hashing.murmur3_32_fixed()
                .hashString(routingKey, StandardCharsets.UTF_8)
                .asInt();
        return groups.get(Math.floorMod(hash, groups.size()));
    }
}
