package org.hornbeamspread.control.routes;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamspread.protocol.schema.ControlMember;

/**
 * The control members that may hold up an announcement of a database: those that don't respond to the leader, or didn't a moment ago, and this
 * member itself while it was being elected. Confined to the routes thread.
 */
final class SilentMembers {
    /** Followers respond to the leader every 100 ms. */
    private static final long SILENCE_MS = 400;

    /** A database may still call a member that is gone: its list of members is some seconds old, and a call takes up to a second. */
    private static final long RETENTION_MS = 4_000;

    /** Announcements fail while there is no leader, and arrive within a second after. */
    private static final long ELECTION_MS = 1_000;

    private final String selfId;
    private final Clock clock;
    private final Map<String, Long> silentAtMs = new HashMap<>();
    private long leaderSinceMs;

    SilentMembers(String selfId, Clock clock) {
        this.selfId = selfId;
        this.clock = clock;
    }

    void onLeadershipGained() {
        silentAtMs.clear();
        leaderSinceMs = clock.millis();
    }

    /** Updates the members with the times since their last responses to this leader. */
    void update(List<ControlMember> members) {
        long nowMs = clock.millis();
        members.stream()
                .filter(member -> member.getSilentMs() > SILENCE_MS)
                .forEach(member -> silentAtMs.put(member.getMemberId(), nowMs));
        silentAtMs.values().removeIf(atMs -> nowMs - atMs > RETENTION_MS);
    }

    List<String> ids() {
        if (silentAtMs.isEmpty() && clock.millis() - leaderSinceMs <= ELECTION_MS) {
            return List.of(selfId);
        }
        return silentAtMs.keySet().stream().sorted().toList();
    }
}
