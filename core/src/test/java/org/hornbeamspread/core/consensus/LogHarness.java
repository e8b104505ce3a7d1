package org.hornbeamspread.core.consensus;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.hornbeamspread.core.misc.ManualClock;

/** Members of one log, with the messages and disks between their steps in the hands of a test. */
final class LogHarness {
    static final long ELECTION_TIMEOUT_MS = 100;
    static final long HEARTBEAT_MS = 20;

    final ManualClock clock = new ManualClock();
    final SplittableRandom random;
    final LogChecker checker = new LogChecker();
    final Map<String, Host> hosts = new TreeMap<>();
    final List<Packet> network = new ArrayList<>();
    final Set<String> cutOff = new HashSet<>();
    private final Set<ConsensusRule> rules;
    private final ConsensusTimes times;
    private final List<String> initialIds;
    private final Map<Long, String> requesters = new HashMap<>();
    private final Map<Long, Long> readsAsked = new HashMap<>();
    private long nextId = 1;
    int readsConfirmed;
    int disksLost;

    LogHarness(int members, long seed, Set<ConsensusRule> rules) {
        this.random = new SplittableRandom(seed);
        this.rules = rules;
        // By odd seeds a record travels alone, so that histories can part between any two.
        int batchBytes = seed % 2 == 1 ? 1 : 1 << 16;
        this.times = new ConsensusTimes(ELECTION_TIMEOUT_MS, HEARTBEAT_MS, batchBytes, 64, 4);
        this.initialIds = new ArrayList<>();
        for (int i = 1; i <= members; i++) {
            initialIds.add("c" + i);
        }
        initialIds.forEach(id -> hosts.put(id, new Host(id)));
        hosts.values().forEach(Host::start);
    }

    /** A member that the log does not know yet. */
    Host addHost(String id) {
        Host added = new Host(id);
        hosts.put(id, added);
        added.start();
        return added;
    }

    /** Up to a leader whose membership is recorded. */
    LogHarness formed() {
        settleUntil(() -> checker.committedMembership().isPresent() && leader().isPresent());
        return this;
    }

    Optional<Host> leader() {
        return hosts.values().stream().filter(host -> host.up && host.ready).findFirst();
    }

    Host host(String id) {
        return hosts.get(id);
    }

    /** Runs without faults until something holds; fails when it does not come. */
    void settleUntil(java.util.function.BooleanSupplier reached) {
        for (int round = 0; round < 2_000; round++) {
            if (reached.getAsBoolean()) {
                return;
            }
            runFairly();
        }
        throw new LogChecker.Violation("the log does not get on");
    }

    /** One round in which time passes and every message and disk gets through. */
    void runFairly() {
        clock.advance(Duration.ofMillis(5));
        hosts.values().forEach(Host::tick);
        List<Packet> packets = List.copyOf(network);
        network.clear();
        packets.forEach(this::deliver);
        hosts.values().forEach(host -> host.sync(host.unsynced.size()));
    }

    void runFor(Duration time) {
        for (long ms = 0; ms < time.toMillis(); ms += 5) {
            runFairly();
        }
    }

    void deliver(Packet packet) {
        if (isReachable(packet.from()) && isReachable(packet.to())) {
            hosts.get(packet.to()).receive(packet);
        }
    }

    void healAll() {
        cutOff.clear();
        hosts.values().forEach(Host::start);
    }

    /** A member of several may lose its disk when every voter still has the one that the log names. */
    boolean mayLoseDisk() {
        if (hosts.size() == 1) {
            return false;
        }
        if (!rules.contains(ConsensusRule.COUNT_INCARNATION)) {
            return hosts.values().stream().allMatch(host -> host.applied == checker.lastCommitted());
        }
        return isWhole();
    }

    /** Whether the log names the present incarnation of every member as a voter. */
    boolean isWhole() {
        return checker.committedMembership()
                .map(members ->
                        hosts.values().stream().allMatch(host -> members.isVoter(host.id, host.disk.incarnation())))
                .orElse(false);
    }

    private boolean isReachable(String id) {
        return !cutOff.contains(id);
    }

    /** A message on its way; the reply id is 0 in a response. */
    record Packet(String from, String to, Message message) {}

    /** One member with its disk. */
    final class Host {
        final String id;
        DiskModel disk;
        ConsensusNode node;
        boolean up;
        boolean leads;
        boolean ready;
        long applied;
        long state;
        final List<ConsensusEffect.Persist> unsynced = new ArrayList<>();
        final Set<Long> refused = new HashSet<>();

        Host(String id) {
            this.id = id;
            this.disk = new DiskModel(nextId++);
        }

        void start() {
            if (up) {
                return;
            }
            node = new ConsensusNode(id, initialIds, true, disk.stored(), times, clock, random.split(), rules);
            up = true;
            Snapshot snapshot = disk.stored().snapshot();
            applied = 0;
            state = 0;
            if (snapshot.lastIndex() > 0) {
                restore(snapshot);
            }
        }

        /** Stops; of what was not reported synced, a first part may be on the disk all the same. */
        void crash() {
            if (up) {
                int kept = random.nextInt(unsynced.size() + 1);
                unsynced.subList(0, kept).forEach(disk::write);
                unsynced.clear();
                up = false;
                leads = false;
                ready = false;
            }
        }

        void loseDisk() {
            crash();
            disk = new DiskModel(nextId++);
            disksLost++;
        }

        void tick() {
            step(new ConsensusEvent.Tick());
        }

        void receive(Packet packet) {
            long replyId = nextId++;
            requesters.put(replyId, packet.from());
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
            readsAsked.put(readId, checker.lastCommitted());
            step(new ConsensusEvent.Read(readId));
        }

        void snapshot() {
            if (up && applied > 0) {
                step(new ConsensusEvent.SnapshotTaken(applied, stateBytes()));
            }
        }

        /** Syncs the first persists and reports them. */
        void sync(int count) {
            for (int i = 0; i < count && up && !unsynced.isEmpty(); i++) {
                ConsensusEffect.Persist first = unsynced.remove(0);
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
                carryOut(node.drain());
            }
        }

        private void carryOut(List<ConsensusEffect> effects) {
            for (ConsensusEffect effect : effects) {
                if (effect instanceof ConsensusEffect.Send send) {
                    network.add(new Packet(id, send.toMemberId(), send.message()));
                } else if (effect instanceof ConsensusEffect.Reply reply) {
                    network.add(new Packet(id, requesters.get(reply.replyId()), reply.message()));
                } else if (effect instanceof ConsensusEffect.Persist persist) {
                    unsynced.add(persist);
                } else if (effect instanceof ConsensusEffect.Apply apply) {
                    apply.records().forEach(this::apply);
                } else if (effect instanceof ConsensusEffect.Restore restore) {
                    restore(restore.snapshot());
                } else if (effect instanceof ConsensusEffect.LeadershipChanged changed) {
                    onLeadership(changed);
                } else if (effect instanceof ConsensusEffect.ReadConfirmed confirmed) {
                    readsConfirmed++;
                    checker.onRead(applied, readsAsked.get(confirmed.readId()));
                } else if (effect instanceof ConsensusEffect.MembershipNeeded needed) {
                    propose(Optional.of(needed.membership()));
                } else if (effect instanceof ConsensusEffect.ProposalRefused proposal) {
                    refused.add(proposal.proposalId());
                }
            }
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
