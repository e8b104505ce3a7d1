package org.hornbeamspread.control.operations;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.GroupDefinition;
import org.hornbeamspread.protocol.schema.RankDefinition;
import org.hornbeamspread.protocol.schema.ServiceDefinition;

/** Lists the differences between two configurations, one line for each rank, group and service. */
final class ConfigurationChanges {
    private ConfigurationChanges() {}

    /** Returns the lines, for example {@code group orders-1: added}. */
    static List<String> between(Configuration before, Configuration after) {
        List<String> changes = new ArrayList<>();
        addChanges("rank", before.getRanksList(), after.getRanksList(), RankDefinition::getName, changes);
        addChanges("group", before.getGroupsList(), after.getGroupsList(), GroupDefinition::getName, changes);
        addChanges("service", before.getServicesList(), after.getServicesList(), ServiceDefinition::getName, changes);
        return changes;
    }

    private static <T> void addChanges(
            String kind, List<T> before, List<T> after, Function<T, String> nameOf, List<String> changes) {
        Map<String, T> remaining = new LinkedHashMap<>();
        before.forEach(item -> remaining.put(nameOf.apply(item), item));
        for (T item : after) {
            T previous = remaining.remove(nameOf.apply(item));
            if (previous == null) {
                changes.add(kind + " " + nameOf.apply(item) + ": added");
            } else if (!previous.equals(item)) {
                changes.add(kind + " " + nameOf.apply(item) + ": changed");
            }
        }
        remaining.keySet().forEach(removed -> changes.add(kind + " " + removed + ": removed"));
    }
}
