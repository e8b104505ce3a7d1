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

/** Lists what differs between two configurations, a line for each rank, group and service. */
final class ConfigurationChanges {
    private ConfigurationChanges() {}

    /** The lines, for example {@code group orders-1: added}. */
    static List<String> between(Configuration before, Configuration after) {
        List<String> changes = new ArrayList<>();
        addChanges("rank", before.getRanksList(), after.getRanksList(), RankDefinition::getName, changes);
        addChanges("group", before.getGroupsList(), after.getGroupsList(), GroupDefinition::getName, changes);
        addChanges("service", before.getServicesList(), after.getServicesList(), ServiceDefinition::getName, changes);
        return changes;
    }

    private static <T> void addChanges(
            String kind, List<T> before, List<T> after, Function<T, String> name, List<String> changes) {
        Map<String, T> old = new LinkedHashMap<>();
        before.forEach(item -> old.put(name.apply(item), item));
        for (T item : after) {
            T known = old.remove(name.apply(item));
            if (known == null) {
                changes.add(kind + " " + name.apply(item) + ": added");
            } else if (!known.equals(item)) {
                changes.add(kind + " " + name.apply(item) + ": changed");
            }
        }
        old.keySet().forEach(removed -> changes.add(kind + " " + removed + ": removed"));
    }
}
