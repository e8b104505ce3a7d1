package org.hornbeamspread.core.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/** Validates a configuration on its own. Each error names the path of the field and the reason. */
public final class ConfigurationValidator {
    /** The maximum number of databases in a group. */
    public static final int MAX_DATABASES_PER_GROUP = 9;

    private static final int FULL_SHARE_PERCENT = 100;
    /** One day. */
    private static final int MAX_DURATION_MS = 86_400_000;

    private static final int MAX_PER_DATABASE = 10_000;
    private static final int MAX_WORTH = 1_000_000;
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    private ConfigurationValidator() {}

    /** The first error found, as INVALID_CONFIGURATION; empty for a valid configuration. */
    public static Optional<FailureException> check(DeclaredConfiguration configuration) {
        try {
            checkNames("ranks", configuration.ranks(), Rank::name);
            checkNames("groups", configuration.groups(), DatabaseGroup::name);
            checkNames("services", configuration.services(), Service::name);
            configuration.ranks().forEach(ConfigurationValidator::checkRank);
            checkShares(configuration.ranks());
            configuration.groups().forEach(ConfigurationValidator::checkGroup);
            Set<String> groups =
                    configuration.groups().stream().map(DatabaseGroup::name).collect(Collectors.toSet());
            configuration.services().forEach(service -> checkService(service, groups));
            return Optional.empty();
        } catch (FailureException e) {
            return Optional.of(e);
        }
    }

    private static <T> void checkNames(String list, List<T> entries, Function<T, String> nameOf) {
        require(!entries.isEmpty(), list, "is empty");
        Set<String> names = new HashSet<>();
        for (int i = 0; i < entries.size(); i++) {
            String name = nameOf.apply(entries.get(i));
            String path = list + "[" + i + "].name";
            require(NAME.matcher(name).matches(), path, "'" + name + "' does not match " + NAME.pattern());
            require(names.add(name), path, "'" + name + "' is declared twice");
        }
    }

    private static void checkRank(Rank rank) {
        String path = "ranks." + rank.name();
        checkRange(path + ".target_ms", rank.targetMs(), 1, MAX_DURATION_MS);
        checkRange(path + ".worth", rank.worth(), 1, MAX_WORTH);
        checkRange(path + ".guaranteed_share_percent", rank.guaranteedSharePercent(), 0, FULL_SHARE_PERCENT);
    }

    private static void checkShares(List<Rank> ranks) {
        long total = ranks.stream().mapToLong(Rank::guaranteedSharePercent).sum();
        require(
                total <= FULL_SHARE_PERCENT,
                "ranks.guaranteed_share_percent",
                "the shares add up to " + total + ", above " + FULL_SHARE_PERCENT);
    }

    private static void checkGroup(DatabaseGroup group) {
        String path = "groups." + group.name();
        checkRange(path + ".databases", group.databases(), 1, MAX_DATABASES_PER_GROUP);
        checkRange(path + ".slots_per_database", group.slotsPerDatabase(), 1, MAX_PER_DATABASE);
        checkRange(path + ".connections_per_database", group.connectionsPerDatabase(), 1, MAX_PER_DATABASE);
        require(
                group.connectionsPerDatabase() >= group.slotsPerDatabase(),
                path + ".connections_per_database",
                "fewer connections than slots");
    }

    private static void checkService(Service service, Set<String> groups) {
        String path = "services." + service.name();
        require(!service.groups().isEmpty(), path + ".groups", "is empty");
        Set<String> names = new HashSet<>();
        for (String group : service.groups()) {
            require(groups.contains(group), path + ".groups", "unknown group '" + group + "'");
            require(names.add(group), path + ".groups", "'" + group + "' is named twice");
        }
        checkRange(path + ".staleness_allowance_ms", service.stalenessAllowanceMs(), 0, MAX_DURATION_MS);
        checkRange(path + ".default_timeout_ms", service.defaultTimeoutMs(), 1, MAX_DURATION_MS);
    }

    private static void checkRange(String path, int value, int min, int max) {
        require(value >= min && value <= max, path, value + " is not within " + min + " to " + max);
    }

    private static void require(boolean condition, String path, String reason) {
        if (!condition) {
            throw new FailureException(FailureType.INVALID_CONFIGURATION, path + ": " + reason);
        }
    }
}
