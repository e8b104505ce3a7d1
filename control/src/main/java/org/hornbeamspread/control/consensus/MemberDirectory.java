package org.hornbeamspread.control.consensus;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.transport.AddressTranslator;

/** The endpoints of the members by member id. Thread-safe. */
final class MemberDirectory {
    private final Map<String, ControlMember> members = new ConcurrentHashMap<>();

    MemberDirectory(List<ControlMember> members) {
        update(members);
    }

    /** Replaces the endpoints of the given members; a member without an endpoint to connect to keeps the current one. */
    void update(List<ControlMember> updates) {
        updates.stream()
                .filter(member -> AddressTranslator.isConnectable(member.getPeer()))
                .forEach(member -> members.put(member.getMemberId(), member));
    }

    Optional<ControlMember> find(String memberId) {
        return Optional.ofNullable(members.get(memberId));
    }

    List<ControlMember> all() {
        return List.copyOf(members.values());
    }
}
