package org.hornbeamspread.control.consensus;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.hornbeamspread.protocol.schema.ControlMember;

/** Where the members are reached. Safe for any thread. */
final class MemberDirectory {
    private final Map<String, ControlMember> members = new ConcurrentHashMap<>();

    MemberDirectory(List<ControlMember> members) {
        update(members);
    }

    /** Takes endpoints over; a member without one keeps what is known. */
    void update(List<ControlMember> learned) {
        learned.stream().filter(ControlMember::hasPeer).forEach(member -> members.put(member.getMemberId(), member));
    }

    Optional<ControlMember> find(String memberId) {
        return Optional.ofNullable(members.get(memberId));
    }

    List<ControlMember> all() {
        return List.copyOf(members.values());
    }
}
