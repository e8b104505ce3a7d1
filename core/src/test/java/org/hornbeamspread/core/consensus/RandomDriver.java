package org.hornbeamspread.core.consensus;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Chooses what happens next: messages late, lost, twice or out of order; disks late; stops, cuts and lost disks. */
final class RandomDriver {
    private static final int MAX_PACKETS = 60;

    private final LogHarness harness;
    private final SplittableRandom random;
    private final boolean anyMembers;

    /** With {@code anyMembers} it also proposes memberships that no operator should. */
    RandomDriver(LogHarness harness, boolean anyMembers) {
        this.harness = harness;
        this.random = harness.random;
        this.anyMembers = anyMembers;
    }

    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            act(random.nextInt(1_000));
            while (harness.network.size() > MAX_PACKETS) {
                harness.network.remove(random.nextInt(harness.network.size()));
            }
        }
    }

    /** Ends all faults and asks that the log gets on everywhere. */
    void settle() {
        harness.healAll();
        harness.settleUntil(() -> harness.leader().isPresent() && harness.isWhole());
        long before = harness.checker.lastCommitted();
        harness.leader().orElseThrow().propose(Optional.empty());
        harness.settleUntil(() -> harness.checker.lastCommitted() > before
                && harness.hosts.values().stream().allMatch(host -> host.applied >= before + 1));
    }

    private void act(int dice) {
        if (dice < 480) {
            deliver();
        } else if (dice < 700) {
            LogHarness.Host host = any();
            host.sync(1 + random.nextInt(3));
        } else if (dice < 860) {
            harness.clock.advance(Duration.ofMillis(random.nextInt(12)));
            any().tick();
        } else if (dice < 915) {
            propose();
        } else if (dice < 930) {
            any().read();
        } else if (dice < 934) {
            any().crash();
        } else if (dice < 974) {
            any().start();
        } else if (dice < 984) {
            cut();
        } else if (dice < 994) {
            any().snapshot();
        } else {
            loseDisk();
        }
    }

    private void deliver() {
        if (harness.network.isEmpty()) {
            return;
        }
        int chosen = random.nextInt(harness.network.size());
        LogHarness.Packet packet = harness.network.get(chosen);
        int fate = random.nextInt(100);
        if (fate >= 10) {
            harness.network.remove(chosen);
        }
        if (fate < 92) {
            harness.deliver(packet);
        }
    }

    private void propose() {
        LogHarness.Host host = harness.hosts.values().stream()
                .filter(candidate -> candidate.leads)
                .findAny()
                .orElseGet(this::any);
        Optional<Membership> members =
                anyMembers && random.nextInt(4) == 0 && host.up ? Optional.of(someMembers(host)) : Optional.empty();
        host.propose(members);
    }

    private Membership someMembers(LogHarness.Host host) {
        List<Member> members = host.node.membership().members().stream()
                .map(member -> new Member(member.memberId(), member.incarnation(), random.nextBoolean()))
                .toList();
        Membership some = new Membership(members);
        return some.isWellFormed() ? some : host.node.membership();
    }

    private void cut() {
        harness.cutOff.clear();
        if (random.nextInt(3) == 0) {
            harness.cutOff.add(any().id);
        }
    }

    private void loseDisk() {
        if (harness.mayLoseDisk()) {
            any().loseDisk();
        }
    }

    private LogHarness.Host any() {
        List<LogHarness.Host> hosts = List.copyOf(harness.hosts.values());
        return hosts.get(random.nextInt(hosts.size()));
    }
}
