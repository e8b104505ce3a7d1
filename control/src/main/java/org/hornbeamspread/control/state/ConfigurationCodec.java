package org.hornbeamspread.control.state;

import org.hornbeamspread.core.configuration.DatabaseGroup;
import org.hornbeamspread.core.configuration.DeclaredConfiguration;
import org.hornbeamspread.core.configuration.Rank;
import org.hornbeamspread.core.configuration.Service;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.GroupDefinition;
import org.hornbeamspread.protocol.schema.RankDefinition;
import org.hornbeamspread.protocol.schema.ServiceDefinition;

/** Conversions between the wire form of a configuration and the records of {@code core}. */
public final class ConfigurationCodec {
    private ConfigurationCodec() {}

    /** A configuration from its wire form. */
    public static DeclaredConfiguration declared(Configuration wire) {
        return new DeclaredConfiguration(
                wire.getVersion(),
                wire.getRanksList().stream().map(ConfigurationCodec::rank).toList(),
                wire.getGroupsList().stream().map(ConfigurationCodec::group).toList(),
                wire.getServicesList().stream().map(ConfigurationCodec::service).toList());
    }

    /** The wire form of a configuration. */
    public static Configuration wire(DeclaredConfiguration declared) {
        Configuration.Builder wire = Configuration.newBuilder().setVersion(declared.version());
        declared.ranks().forEach(rank -> wire.addRanks(wire(rank)));
        declared.groups().forEach(group -> wire.addGroups(wire(group)));
        declared.services().forEach(service -> wire.addServices(wire(service)));
        return wire.build();
    }

    private static Rank rank(RankDefinition wire) {
        return new Rank(wire.getName(), wire.getTargetMs(), wire.getWorth(), wire.getGuaranteedSharePercent());
    }

    private static DatabaseGroup group(GroupDefinition wire) {
        return new DatabaseGroup(
                wire.getName(), wire.getDatabases(), wire.getSlotsPerDatabase(), wire.getConnectionsPerDatabase());
    }

    private static Service service(ServiceDefinition wire) {
        return new Service(
                wire.getName(), wire.getGroupsList(), wire.getStalenessAllowanceMs(), wire.getDefaultTimeoutMs());
    }

    private static RankDefinition wire(Rank rank) {
        return RankDefinition.newBuilder()
                .setName(rank.name())
                .setTargetMs(rank.targetMs())
                .setWorth(rank.worth())
                .setGuaranteedSharePercent(rank.guaranteedSharePercent())
                .build();
    }

    private static GroupDefinition wire(DatabaseGroup group) {
        return GroupDefinition.newBuilder()
                .setName(group.name())
                .setDatabases(group.databases())
                .setSlotsPerDatabase(group.slotsPerDatabase())
                .setConnectionsPerDatabase(group.connectionsPerDatabase())
                .build();
    }

    private static ServiceDefinition wire(Service service) {
        return ServiceDefinition.newBuilder()
                .setName(service.name())
                .addAllGroups(service.groups())
                .setStalenessAllowanceMs(service.stalenessAllowanceMs())
                .setDefaultTimeoutMs(service.defaultTimeoutMs())
                .build();
    }
}
