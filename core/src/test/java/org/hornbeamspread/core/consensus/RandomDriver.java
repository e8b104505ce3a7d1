package org.hornbeamspread.core.consensus;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Drives random histories: delayed, lost, duplicated and reordered messages, delayed syncs, crashes, isolated members,
 * snapshots and lost disks.
 */
final class RandomDriver {
    private static final int MAX_PACKETS = 60;

    private final LogHarness harness;
    private final SplittableRandom random;
    private final boolean arbitraryMemberships;

    /**
     * Creates a driver.
     *
     * @param arbitraryMemberships whether to propose random membership changes as well, also unsafe ones
     */
    RandomDriver(LogHarness harness, boolean arbitraryMemberships) {
        this.harness = harness;
        this.random = harness.random;
        this.arbitraryMemberships = arbitraryMemberships;
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            performAction(random.nextInt(1_000));
            while (harness.packetsInFlight.size() > MAX_PACKETS) {
                harness.packetsInFlight.remove(random.nextInt(harness.packetsInFlight.size()));
            }
        }
    }

    /** Ends all faults and verifies that every member applies a new record. */
    void healAndVerifyProgress() {
        harness.healAll();
        harness.runUntil(() -> harness.leader().isPresent() && harness.isEveryMemberVoter());
        long before = harness.checker.lastCommitted();
        harness.leader().orElseThrow().propose(Optional.empty());
        harness.runUntil(() -> harness.checker.lastCommitted() > before
                && harness.hosts.values().stream().allMatch(host -> host.applied >= before + 1));
    }

    private void performAction(int roll) {
        if (roll < 480) {
            deliver();
        } else if (roll < 700) {
            LogHarness.Host host = randomHost();
            host.sync(1 + random.nextInt(3));
        } else if (roll < 860) {
            harness.clock.advance(Duration.ofMillis(random.nextInt(12)));
            randomHost().tick();
        } else if (roll < 915) {
            propose();
        } else if (roll < 930) {
            randomHost().read();
        } else if (roll < 934) {
            randomHost().crash();
        } else if (roll < 974) {
            randomHost().start();
        } else if (roll < 984) {
            isolate();
        } else if (roll < 994) {
            randomHost().snapshot();
        } else {
            loseDisk();
        }
    }

    private void deliver() {
        if (harness.packetsInFlight.isEmpty()) {
            return;
        }
        int chosen = random.nextInt(harness.packetsInFlight.size());
        LogHarness.Packet packet = harness.packetsInFlight.get(chosen);
        int deliveryRoll = random.nextInt(100);
        if (deliveryRoll >= 10) {
            harness.packetsInFlight.remove(chosen);
        }
        if (deliveryRoll < 92) {
            harness.deliver(packet);
        }
    }

    private void propose() {
        LogHarness.Host host = harness.hosts.values().stream()
                .filter(candidate -> candidate.leads)
                .findAny()
                .orElseGet(this::randomHost);
        Optional<Membership> members = arbitraryMemberships && random.nextInt(4) == 0 && host.up
                ? Optional.of(randomMembership(host))
                : Optional.empty();
        host.propose(members);
    }

    private Membership randomMembership(LogHarness.Host host) {
        List<Member> members = host.node.membership().members().stream()
                .map(member -> new Member(member.memberId(), member.incarnation(), random.nextBoolean()))
                .toList();
        Membership candidate = new Membership(members);
        return candidate.isWellFormed() ? candidate : host.node.membership();
    }

    private void isolate() {
        harness.isolated.clear();
        if (random.nextInt(3) == 0) {
            harness.isolated.add(randomHost().id);
        }
    }

    private void loseDisk() {
        if (harness.mayLoseDisk()) {
            randomHost().loseDisk();
        }
    }

    private LogHarness.Host randomHost() {
        List<LogHarness.Host> hosts = List.copyOf(harness.hosts.values());
        return hosts.get(random.nextInt(hosts.size()));
    }
}
