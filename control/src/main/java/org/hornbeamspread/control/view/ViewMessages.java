package org.hornbeamspread.control.view;

import java.util.Optional;
import org.hornbeamspread.core.failover.GroupRecord;
import org.hornbeamspread.core.failover.Registration;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.membership.AnnouncedDatabase;
import org.hornbeamspread.core.membership.DatabaseRole;
import org.hornbeamspread.core.membership.DatabaseStatus;
import org.hornbeamspread.core.membership.LiveProxy;
import org.hornbeamspread.protocol.schema.Announce;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.RegisteredDatabase;
import org.hornbeamspread.transport.Envelopes;

/** Conversions between wire messages and the types of membership and failover. */
public final class ViewMessages {
    private ViewMessages() {}

    /** Converts an announcement. Fails with INVALID_REQUEST. */
    public static AnnouncedDatabase announced(Announce wire) {
        PositionReport report = wire.getReport().toBuilder()
                .setDatabaseId(wire.getDatabaseId())
                .setIncarnation(wire.getIncarnation())
                .build();
        return new AnnouncedDatabase(
                wire.getGroup(),
                address(wire.getEndpoint()),
                wire.getFailureDomain(),
                wire.getRegion(),
                wire.getSlots(),
                wire.getConnectionLimit(),
                wire.getDeparting(),
                status(report));
    }

    /** Converts a database's report. Fails with INVALID_REQUEST. */
    public static DatabaseStatus status(PositionReport wire) {
        return new DatabaseStatus(
                wire.getDatabaseId(),
                wire.getIncarnation(),
                wire.getTerm(),
                role(wire),
                wire.getFollowedTerm(),
                Envelopes.position(wire.getSynced()),
                wire.hasMarker() ? Optional.of(Envelopes.position(wire.getMarker())) : Optional.empty(),
                wire.getTrusted());
    }

    /** Converts a proxy's description of itself. Fails with INVALID_REQUEST. */
    public static LiveProxy proxy(ProxyEntry wire) {
        return new LiveProxy(
                wire.getProxyId(),
                wire.getFailureDomain(),
                wire.getRegion(),
                address(wire.getPeer()),
                address(wire.getHttp()),
                wire.getConfigurationVersion(),
                wire.getDraining(),
                wire.getIncarnation());
    }

    /** The wire form of a proxy. */
    public static ProxyEntry toWire(LiveProxy proxy) {
        return ProxyEntry.newBuilder()
                .setProxyId(proxy.proxyId())
                .setFailureDomain(proxy.failureDomain())
                .setRegion(proxy.region())
                .setPeer(toWire(proxy.peer()))
                .setHttp(toWire(proxy.http()))
                .setConfigurationVersion(proxy.configurationVersion())
                .setDraining(proxy.draining())
                .setIncarnation(proxy.incarnation())
                .build();
    }

    /** The wire form of an address. */
    public static Endpoint toWire(Address address) {
        return Endpoint.newBuilder()
                .setHost(address.host())
                .setPort(address.port())
                .build();
    }

    /** Converts a group's record in the control log. */
    public static GroupRecord record(GroupTerm wire) {
        Optional<String> primaryId =
                wire.getPrimaryId().isEmpty() ? Optional.empty() : Optional.of(wire.getPrimaryId());
        return new GroupRecord(wire.getGroup(), wire.getTerm(), primaryId, wire.getWritable());
    }

    /** The wire form of a group's next record. */
    public static GroupTerm toWire(GroupRecord record, long expectedTerm) {
        return GroupTerm.newBuilder()
                .setGroup(record.group())
                .setTerm(record.term())
                .setPrimaryId(record.primaryId().orElse(""))
                .setWritable(record.writable())
                .setExpectedTerm(expectedTerm)
                .build();
    }

    /** Converts a member's registration in the control log. */
    public static Registration registration(RegisteredDatabase wire) {
        return new Registration(wire.getDatabaseId(), wire.getIncarnation(), wire.getTrusted());
    }

    /** The wire form of a registration. */
    public static RegisteredDatabase toWire(Registration registration, String group) {
        return RegisteredDatabase.newBuilder()
                .setDatabaseId(registration.databaseId())
                .setGroup(group)
                .setIncarnation(registration.incarnation())
                .setTrusted(registration.trusted())
                .build();
    }

    private static Address address(Endpoint wire) {
        return new Address(wire.getHost(), wire.getPort());
    }

    private static DatabaseRole role(PositionReport wire) {
        return switch (wire.getRole()) {
            case PRIMARY -> DatabaseRole.PRIMARY;
            case REPLICA -> DatabaseRole.REPLICA;
            default -> DatabaseRole.NONE;
        };
    }
}
