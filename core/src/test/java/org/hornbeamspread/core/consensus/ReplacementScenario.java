package org.hornbeamspread.core.consensus;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A simulated log with the timeouts of the deployment, whose members are replaced. Takes the part of the control daemon:
 * the leader adds a running process that is not a member, and removes members that stay silent.
 */
final class ReplacementScenario {
    /** Interval in which the control daemon adds and removes members. */
    private static final int DUTY_INTERVAL_MS = 500;

    private static final int ROUND_MS = 5;
    private static final long REMOVAL_TIMEOUT_MS = 6_000;

    /** A voter that is silent for less counts as reachable. */
    private static final long REACHABLE_MS = 2_500;

    final LogHarness harness;
    private final int requiredVoters;
    private final Set<String> gone = new HashSet<>();
    private int nextHost;
    private long nextDutyMs;

    ReplacementScenario(int initialMembers, int requiredVoters, long seed) {
        this.requiredVoters = requiredVoters;
        this.harness = new LogHarness(
                        initialMembers,
                        seed,
                        EnumSet.allOf(ConsensusRule.class),
                        ConsensusParameters.of(500, 100, 1 << 20, VoterPolicy.required(requiredVoters)))
                .awaitBootstrap();
        this.nextHost = initialMembers + 1;
        run(1_000);
    }

    void run(long durationMs) {
        for (long ms = 0; ms < durationMs; ms += ROUND_MS) {
            harness.runFaultFreeRound();
            if (harness.clock.millis() >= nextDutyMs) {
                nextDutyMs = harness.clock.millis() + DUTY_INTERVAL_MS;
                harness.leader().ifPresent(this::changeMembers);
            }
        }
    }

    /** Starts an empty process at another address and returns its id. */
    String startSuccessor() {
        String id = "c" + nextHost++;
        harness.addHost(id);
        return id;
    }

    /** Ends a member for good. */
    void lose(String id) {
        gone.add(id);
        harness.host(id).crash();
    }

    /** Kills all members, of which some lose their disks, and starts those that are not gone after a while. */
    void killAll(List<String> lostDisks, int downtimeMs) {
        harness.hosts.values().forEach(LogHarness.Host::crash);
        lostDisks.forEach(id -> harness.host(id).loseDisk());
        harness.packetsInFlight.clear();
        harness.clock.advance(Duration.ofMillis(downtimeMs));
        harness.hosts.values().stream().filter(host -> !gone.contains(host.id)).forEach(LogHarness.Host::start);
    }

    boolean hasLeaderWithin(long boundMs) {
        for (long ms = 0; ms < boundMs && harness.leader().isEmpty(); ms += DUTY_INTERVAL_MS) {
            run(DUTY_INTERVAL_MS);
        }
        return harness.leader().isPresent();
    }

    /** Suspends a member, as the deployment freezes a process. */
    void suspend(String id, long durationMs) {
        harness.isolated.add(id);
        run(durationMs);
        harness.isolated.remove(id);
    }

    /** Announces to the leader that the process of a member ends. */
    void announceDeparture(String id) {
        harness.leader().orElseThrow().announceDeparture(id);
    }

    String leaderId() {
        return harness.leader().orElseThrow().id;
    }

    /** The initial members except the leader, by name. */
    List<String> followerIds() {
        return harness.hosts.keySet().stream()
                .filter(id -> !id.equals(leaderId()))
                .toList();
    }

    Membership membership() {
        return harness.checker.committedMembership().orElseThrow();
    }

    /** The names of the committed voters. */
    List<String> voterIds() {
        return membership().voters().stream().map(Member::memberId).toList();
    }

    private void changeMembers(LogHarness.Host leader) {
        Membership current = leader.node.membership();
        List<Member> members = new ArrayList<>(current.members());
        long reachableVoters = current.voters().stream()
                .filter(member -> leader.node.silentMs(member.memberId()) < REACHABLE_MS)
                .count();
        members.stream()
                .filter(member -> leader.node.silentMs(member.memberId()) > REMOVAL_TIMEOUT_MS)
                .filter(member -> !member.voting() || reachableVoters >= requiredVoters)
                .findFirst()
                .ifPresent(members::remove);
        if (members.size() == current.members().size()) {
            harness.hosts.values().stream()
                    .filter(host -> host.up && current.find(host.id).isEmpty())
                    .findFirst()
                    .ifPresent(host -> members.add(new Member(host.id, 0, false)));
        }
        if (members.size() != current.members().size()) {
            leader.propose(java.util.Optional.of(new Membership(members)));
        }
    }
}
