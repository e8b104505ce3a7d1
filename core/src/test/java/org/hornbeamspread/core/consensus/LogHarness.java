package org.hornbeamspread.core.consensus;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.hornbeamspread.core.misc.ManualClock;

/**
 * Simulates the members of one log. The test controls the clock, the delivery of messages and the syncs of the disks.
 */
final class LogHarness {
    static final long ELECTION_TIMEOUT_MS = 100;
    static final long HEARTBEAT_MS = 20;

    final ManualClock clock = new ManualClock();
    final SplittableRandom random;
    final LogChecker checker = new LogChecker();
    final Map<String, Host> hosts = new TreeMap<>();
    final List<Packet> packetsInFlight = new ArrayList<>();
    final Set<String> isolated = new HashSet<>();
    private final Set<ConsensusRule> rules;
    private final ConsensusParameters parameters;

    /** How the initial members bootstrap; with MAJORITY a member that lost its disk joins. */
    private final BootstrapMode firstStartMode;

    private final List<String> initialIds;
    private final Map<Long, String> requesterByReplyId = new HashMap<>();
    private final Map<Long, Long> committedAtReadStart = new HashMap<>();
    private long nextId = 1;
    int confirmedReadCount;
    int lostDiskCount;

    LogHarness(int members, long seed, Set<ConsensusRule> rules) {
        // Odd seeds send one record per message, so that histories can diverge between any two records.
        this(members, seed, rules, parameters(seed % 2 == 1 ? 1 : 1 << 16));
    }

    LogHarness(int members, long seed, Set<ConsensusRule> rules, ConsensusParameters parameters) {
        this(members, seed, rules, parameters, BootstrapMode.ALL_MEMBERS);
    }

    /** A deployment that starts for the first time, as {@link BootstrapMode#MAJORITY} requires. */
    static LogHarness firstStart(int members, long seed) {
        return new LogHarness(
                members,
                seed,
                EnumSet.allOf(ConsensusRule.class),
                parameters(seed % 2 == 1 ? 1 : 1 << 16),
                BootstrapMode.MAJORITY);
    }

    private LogHarness(
            int members,
            long seed,
            Set<ConsensusRule> rules,
            ConsensusParameters parameters,
            BootstrapMode firstStartMode) {
        this.firstStartMode = firstStartMode;
        this.random = new SplittableRandom(seed);
        this.rules = rules;
        this.parameters = parameters;
        this.initialIds = new ArrayList<>();
        for (int i = 1; i <= members; i++) {
            initialIds.add("c" + i);
        }
        initialIds.forEach(id -> hosts.put(id, new Host(id)));
        hosts.values().forEach(Host::start);
    }

    private static ConsensusParameters parameters(int batchBytes) {
        return new ConsensusParameters(
                ELECTION_TIMEOUT_MS, HEARTBEAT_MS, batchBytes, 64, 1 << 20, 4, 1 << 20, VoterPolicy.EVERY_MEMBER);
    }

    /** Adds and starts a member that is not in the membership yet. */
    Host addHost(String id) {
        Host added = new Host(id);
        hosts.put(id, added);
        added.start();
        return added;
    }

    /** Runs until there is a leader and the membership is committed. */
    LogHarness awaitBootstrap() {
        runUntil(() -> checker.committedMembership().isPresent() && leader().isPresent());
        return this;
    }

    Optional<Host> leader() {
        return hosts.values().stream().filter(host -> host.up && host.ready).findFirst();
    }

    Host host(String id) {
        return hosts.get(id);
    }

    /** Runs fault-free rounds until a condition holds; fails when it does not hold after 2000 rounds. */
    void runUntil(java.util.function.BooleanSupplier condition) {
        for (int round = 0; round < 2_000; round++) {
            if (condition.getAsBoolean()) {
                return;
            }
            runFaultFreeRound();
        }
        throw new LogChecker.Violation("the log did not reach the expected state within the fault-free rounds");
    }

    /** One round in which the clock advances, every message in flight is delivered and every persist is synced. */
    void runFaultFreeRound() {
        runRound(packet -> true);
    }

    /** The same, with the messages lost that the predicate rejects. */
    void runRound(Predicate<Packet> isDelivered) {
        clock.advance(Duration.ofMillis(5));
        hosts.values().forEach(Host::tick);
        List<Packet> packets = List.copyOf(packetsInFlight);
        packetsInFlight.clear();
        packets.stream().filter(isDelivered).forEach(this::deliver);
        hosts.values().forEach(host -> host.sync(host.unsyncedPersists.size()));
    }

    void runFor(Duration time) {
        for (long ms = 0; ms < time.toMillis(); ms += 5) {
            runFaultFreeRound();
        }
    }

    void deliver(Packet packet) {
        if (isReachable(packet.from()) && isReachable(packet.to())) {
            hosts.get(packet.to()).receive(packet);
        }
    }

    void healAll() {
        isolated.clear();
        hosts.values().forEach(Host::start);
    }

    /**
     * Whether a member may lose its disk: there are several members, and each still has the disk of the incarnation
     * that the log records as a voter. Without incarnations, every member must have applied all committed records.
     */
    boolean mayLoseDisk() {
        if (hosts.size() == 1) {
            return false;
        }
        if (!rules.contains(ConsensusRule.COUNT_INCARNATION)) {
            return hosts.values().stream().allMatch(host -> host.applied == checker.lastCommitted());
        }
        int requiredVoters = parameters.voterPolicy().requiredVoters();
        return requiredVoters <= initialIds.size() ? isEveryVoterCurrent(requiredVoters) : isEveryMemberVoter();
    }

    /** Whether the committed membership has the required number of voters, each with its current incarnation. */
    boolean isEveryVoterCurrent(int requiredVoters) {
        return checker.committedMembership()
                .map(Membership::voters)
                .filter(voters -> voters.size() == requiredVoters)
                .filter(voters -> voters.stream()
                        .allMatch(voter -> hosts.get(voter.memberId()).disk.incarnation() == voter.incarnation()))
                .isPresent();
    }

    /** Whether the committed membership has the current incarnation of every member as a voter. */
    boolean isEveryMemberVoter() {
        return checker.committedMembership()
                .map(members ->
                        hosts.values().stream().allMatch(host -> members.isVoter(host.id, host.disk.incarnation())))
                .orElse(false);
    }

    /** Whether a majority of the voters of the committed membership has the disk that the membership counts. */
    boolean hasCurrentMajority() {
        return checker.committedMembership()
                .filter(members -> members.isMajority(
                        voter -> hosts.get(voter.memberId()).disk.incarnation() == voter.incarnation()))
                .isPresent();
    }

    /** The number of different memberships that members have bootstrapped the log with, as far as their disks hold them. */
    long countInitialMemberships() {
        return hosts.values().stream()
                .flatMap(host -> host.disk.stored().initialMembership().stream())
                .distinct()
                .count();
    }

    private boolean isReachable(String id) {
        return !isolated.contains(id);
    }

    /** A message in flight. */
    record Packet(String from, String to, Message message) {}

    /** One simulated member with its disk. */
    final class Host {
        final String id;
        DiskModel disk;
        ConsensusNode node;
        boolean firstDisk;
        boolean up;
        boolean leads;
        boolean ready;
        long applied;
        long state;
        final List<ConsensusEffect.Persist> unsyncedPersists = new ArrayList<>();
        final Set<Long> refused = new HashSet<>();

        Host(String id) {
            this.id = id;
            this.firstDisk = initialIds.contains(id);
            this.disk = new DiskModel(nextId++);
        }

        void start() {
            if (up) {
                return;
            }
            BootstrapMode mode =
                    firstStartMode == BootstrapMode.MAJORITY && !firstDisk ? BootstrapMode.NONE : firstStartMode;
            node = new ConsensusNode(id, initialIds, mode, disk.stored(), parameters, clock, random.split(), rules);
            up = true;
            Snapshot snapshot = disk.stored().snapshot();
            applied = 0;
            state = 0;
            if (snapshot.lastIndex() > 0) {
                restore(snapshot);
            }
        }

        /** Crashes; a random prefix of the persists not yet reported as synced is on the disk nevertheless. */
        void crash() {
            if (up) {
                int kept = random.nextInt(unsyncedPersists.size() + 1);
                unsyncedPersists.subList(0, kept).forEach(disk::write);
                unsyncedPersists.clear();
                up = false;
                leads = false;
                ready = false;
            }
        }

        void loseDisk() {
            crash();
            disk = new DiskModel(nextId++);
            firstDisk = false;
            lostDiskCount++;
        }

        void tick() {
            step(new ConsensusEvent.Tick());
        }

        void receive(Packet packet) {
            long replyId = nextId++;
            requesterByReplyId.put(replyId, packet.from());
            step(new ConsensusEvent.Received(packet.message(), replyId));
        }

        long propose(Optional<Membership> membership) {
            long proposalId = nextId++;
            byte[] bytes = ByteBuffer.allocate(Long.BYTES).putLong(proposalId).array();
            step(new ConsensusEvent.Proposal(proposalId, Payload.copyOf(bytes), membership));
            return proposalId;
        }

        void read() {
            long readId = nextId++;
            committedAtReadStart.put(readId, checker.lastCommitted());
            step(new ConsensusEvent.Read(readId));
        }

        void announceDeparture(String memberId) {
            step(new ConsensusEvent.Departure(memberId));
        }

        void snapshot() {
            if (up && applied > 0) {
                step(new ConsensusEvent.SnapshotTaken(applied, stateBytes()));
            }
        }

        /** Syncs the oldest {@code count} persists and reports each as synced. */
        void sync(int count) {
            for (int i = 0; i < count && up && !unsyncedPersists.isEmpty(); i++) {
                ConsensusEffect.Persist first = unsyncedPersists.remove(0);
                disk.write(first);
                step(new ConsensusEvent.Synced(first.persistId()));
            }
        }

        private Payload stateBytes() {
            return Payload.copyOf(ByteBuffer.allocate(Long.BYTES).putLong(state).array());
        }

        private void step(ConsensusEvent event) {
            if (up) {
                node.step(event);
                execute(node.drain());
            }
        }

        private void execute(List<ConsensusEffect> effects) {
            List<Membership> neededChanges = new ArrayList<>();
            for (ConsensusEffect effect : effects) {
                if (effect instanceof ConsensusEffect.Send send) {
                    packetsInFlight.add(new Packet(id, send.toMemberId(), send.message()));
                } else if (effect instanceof ConsensusEffect.Reply reply) {
                    packetsInFlight.add(new Packet(id, requesterByReplyId.get(reply.replyId()), reply.message()));
                } else if (effect instanceof ConsensusEffect.Persist persist) {
                    unsyncedPersists.add(persist);
                } else if (effect instanceof ConsensusEffect.Apply apply) {
                    apply.records().forEach(this::apply);
                } else if (effect instanceof ConsensusEffect.Restore restore) {
                    restore(restore.snapshot());
                } else if (effect instanceof ConsensusEffect.LeadershipChanged changed) {
                    onLeadership(changed);
                } else if (effect instanceof ConsensusEffect.ReadConfirmed confirmed) {
                    confirmedReadCount++;
                    checker.onRead(applied, committedAtReadStart.get(confirmed.readId()));
                } else if (effect instanceof ConsensusEffect.MembershipChangeNeeded needed) {
                    neededChanges.add(needed.membership());
                } else if (effect instanceof ConsensusEffect.ProposalRefused proposal) {
                    refused.add(proposal.proposalId());
                }
            }
            // Proposed after the other effects, since the effects of the proposal follow them.
            neededChanges.forEach(membership -> propose(Optional.of(membership)));
        }

        private void apply(LogRecord record) {
            applied = record.index();
            state = state * 31 + record.hashCode();
            checker.onApply(record, state);
        }

        private void restore(Snapshot snapshot) {
            applied = snapshot.lastIndex();
            state = ByteBuffer.wrap(snapshot.state().toByteArray()).getLong();
            checker.onRestore(applied, state);
        }

        private void onLeadership(ConsensusEffect.LeadershipChanged changed) {
            leads = changed.leaderId().equals(Optional.of(id));
            ready = leads && changed.ready();
            if (leads) {
                checker.onLeader(changed.term(), id + "#" + disk.incarnation());
            }
        }
    }
}
