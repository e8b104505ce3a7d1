package org.hornbeamspread.control.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.runtime.EndpointSettings;
import org.hornbeamspread.transport.AddressTranslator;

/**
 * The validated settings of the control daemon.
 *
 * @param memberId the id of this member
 * @param peer the endpoint of this member for other processes
 * @param http the HTTP endpoint of this member for operators
 * @param failureDomain the failure domain of this member
 * @param region the region of this member
 * @param dataDirectory the directory of the log
 * @param members all members, including this one
 * @param lease how long a proxy may act on a view
 * @param clusterId the id of the system that the log belongs to
 * @param translator maps announced addresses to reachable ones
 */
public record ControlSettings(
        String memberId,
        Endpoint peer,
        Endpoint http,
        String failureDomain,
        String region,
        Path dataDirectory,
        List<ControlMember> members,
        Duration lease,
        String clusterId,
        AddressTranslator translator) {
    private static final Duration MIN_LEASE = Duration.ofMillis(100);
    private static final Duration MAX_LEASE = Duration.ofSeconds(10);

    /** Validates the values and their combination. Fails with INVALID_SETTING. */
    public ControlSettings {
        members = List.copyOf(members);
        check(!failureDomain.isEmpty(), "--failure-domain is missing");
        check(!region.isEmpty(), "--region is missing");
        check(!clusterId.isEmpty(), "--cluster-id is empty");
        check(
                lease.compareTo(MIN_LEASE) >= 0 && lease.compareTo(MAX_LEASE) <= 0,
                "--lease-ms must be " + MIN_LEASE.toMillis() + " to " + MAX_LEASE.toMillis());
        String id = memberId;
        check(members.stream().anyMatch(member -> member.getMemberId().equals(id)), "--members does not contain " + id);
        long distinctIds =
                members.stream().map(ControlMember::getMemberId).distinct().count();
        check(distinctIds == members.size(), "--members contains a member id twice");
    }

    /** Validates and parses the flags. Fails with INVALID_SETTING. */
    public static ControlSettings of(ControlOptions options) {
        check(!options.memberId.isEmpty(), "--member-id is missing");
        check(!options.dataDir.isEmpty(), "--data-dir is missing");
        return new ControlSettings(
                options.memberId,
                AddressTranslator.parse(options.peerEndpoint),
                AddressTranslator.parse(options.httpEndpoint),
                options.failureDomain,
                options.region,
                Path.of(options.dataDir),
                members(options.members),
                Duration.ofMillis(options.leaseMs),
                options.clusterId,
                EndpointSettings.readAddressMap(options.addressMap));
    }

    private static List<ControlMember> members(String list) {
        List<ControlMember> members = new ArrayList<>();
        for (String item : list.split(",", -1)) {
            int equals = item.indexOf('=');
            int slash = item.indexOf('/');
            check(equals > 0 && slash > equals, "--members must be id=peer/http,...: " + item);
            members.add(ControlMember.newBuilder()
                    .setMemberId(item.substring(0, equals).trim())
                    .setPeer(AddressTranslator.parse(item.substring(equals + 1, slash)))
                    .setHttp(AddressTranslator.parse(item.substring(slash + 1).trim()))
                    .setVoting(true)
                    .build());
        }
        return members;
    }

    private static void check(boolean condition, String detail) {
        if (!condition) {
            throw new FailureException(FailureType.INVALID_SETTING, detail);
        }
    }
}
