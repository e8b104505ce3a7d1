package org.hornbeamspread.control.routes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ChangeMembers;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.JoinControl;
import org.hornbeamspread.runtime.EventLoopThread;
import org.hornbeamspread.transport.PeerTransport;

/**
 * Adds and removes control members without an operator. A process that has had no leader for
 * {@link #LEADERLESS_TIMEOUT_MS} sends a join request to the seeds; the leader adds the process as a learner, and makes
 * it a voter once its log has caught up. A silent voter is removed once enough other voters are reachable, so that a
 * machine that has failed permanently does not weaken the majority.
 */
public final class ControlMembership implements AutoCloseable {
    /**
     * Time without a leader until a join request; a voter that is silent for less counts as reachable. Longer than two
     * elections, so that a member does not send a join request during an election.
     */
    private static final long LEADERLESS_TIMEOUT_MS = 2_500;

    /** Silence after which a member is removed. Longer than the restart of a machine. */
    private static final long REMOVAL_TIMEOUT_MS = 6_000;

    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

    private final ControlMember self;
    private final int requiredVoters;
    private final ReplicatedLog log;
    private final Supplier<List<ControlMember>> members;
    private final Supplier<List<Endpoint>> seeds;
    private final PeerTransport transport;
    private final EventLog events;
    private final EventLoopThread<Runnable> thread;
    private long leaderlessTicks;
    private int nextSeed;
    private boolean removalPending;

    /**
     * Creates the membership without starting its thread; see {@link #start}.
     *
     * @param requiredVoters the number of voters needed to tolerate the losses that the deployment is designed for
     * @param seeds supplies the peer endpoints of other members from the current settings
     */
    public ControlMembership(
            ControlMember self,
            int requiredVoters,
            ReplicatedLog log,
            Supplier<List<ControlMember>> members,
            Supplier<List<Endpoint>> seeds,
            PeerTransport transport,
            EventLog events) {
        this.self = self;
        this.requiredVoters = requiredVoters;
        this.log = log;
        this.members = members;
        this.seeds = seeds;
        this.transport = transport;
        this.events = events;
        this.thread = new EventLoopThread<>("membership", 1_024, Runnable::run, TICK_INTERVAL, this::tick);
    }

    /** Starts the thread. */
    public ControlMembership start() {
        thread.start();
        return this;
    }

    /** Adds a member as a learner. Fails with NOT_LEADER on a member that is not the leader. */
    public CompletableFuture<Void> join(JoinControl request) {
        if (!log.leadership().isLeader()) {
            return CompletableFuture.failedFuture(new FailureException(
                    FailureType.NOT_LEADER, log.leadership().leaderId().orElse("")));
        }
        List<ControlMember> currentMembers = members.get();
        if (currentMembers.stream().anyMatch(member -> member.getMemberId().equals(request.getMemberId()))) {
            return CompletableFuture.completedFuture(null);
        }
        events.record("control_member_joins", "member", request.getMemberId(), "members", currentMembers.size());
        List<ControlMember> newMembers = new ArrayList<>(currentMembers);
        newMembers.add(ControlMember.newBuilder()
                .setMemberId(request.getMemberId())
                .setPeer(request.getPeer())
                .setHttp(request.getHttp())
                .build());
        return proposeMembers(newMembers);
    }

    @Override
    public void close() {
        thread.close();
    }

    private CompletableFuture<Void> proposeMembers(List<ControlMember> newMembers) {
        return log.propose(ControlCommand.newBuilder()
                        .setChangeMembers(ChangeMembers.newBuilder().addAllMembers(newMembers))
                        .build())
                .thenApply(CommandResult::failure)
                .thenAccept(failure -> failure.ifPresent(reason -> {
                    throw reason;
                }));
    }

    private void tick() {
        if (log.leadership().isLeader()) {
            leaderlessTicks = 0;
            removeLostMember();
        } else if (log.leadership().leaderId().isPresent()) {
            leaderlessTicks = 0;
        } else if (++leaderlessTicks * TICK_INTERVAL.toMillis() >= LEADERLESS_TIMEOUT_MS) {
            requestJoin();
        }
    }

    private void removeLostMember() {
        List<ControlMember> currentMembers = members.get();
        Optional<ControlMember> lost = currentMembers.stream()
                .filter(member -> !member.getMemberId().equals(self.getMemberId()))
                .filter(member -> member.getSilentMs() > REMOVAL_TIMEOUT_MS)
                .findFirst();
        long reachableVoters = currentMembers.stream()
                .filter(member -> member.getVoting() && member.getSilentMs() < LEADERLESS_TIMEOUT_MS)
                .count();
        if (removalPending || lost.isEmpty() || (lost.get().getVoting() && reachableVoters < requiredVoters)) {
            return;
        }
        removalPending = true;
        events.record(
                "control_member_dropped",
                "member",
                lost.get().getMemberId(),
                "silent_ms",
                lost.get().getSilentMs(),
                "living_voters",
                reachableVoters);
        List<ControlMember> newMembers = new ArrayList<>(currentMembers);
        newMembers.remove(lost.get());
        proposeMembers(newMembers).whenComplete((result, error) -> thread.offer(() -> removalPending = false));
    }

    private void requestJoin() {
        List<Endpoint> others = seeds.get().stream()
                .filter(seed -> !seed.equals(self.getPeer()))
                .toList();
        if (others.isEmpty()) {
            return;
        }
        Endpoint seed = others.get(nextSeed++ % others.size());
        Envelope request = Envelope.newBuilder()
                .setJoinControl(JoinControl.newBuilder()
                        .setMemberId(self.getMemberId())
                        .setPeer(self.getPeer())
                        .setHttp(self.getHttp()))
                .build();
        sendJoinRequest(seed, request, true);
    }

    private void sendJoinRequest(Endpoint endpoint, Envelope request, boolean followRedirect) {
        transport
                .connect(endpoint, REQUEST_TIMEOUT, (peer, unexpectedRequest, replyCallback) -> peer.close())
                .thenCompose(
                        peer -> peer.request(request, REQUEST_TIMEOUT).whenComplete((response, error) -> peer.close()))
                .whenComplete((response, error) -> {
                    FailureException failure = error == null ? null : FailureException.of(error);
                    events.record(
                            "control_join_asked",
                            "seed",
                            endpoint.getHost(),
                            "outcome",
                            failure == null ? "accepted" : failure.getMessage());
                    boolean redirected = failure != null
                            && failure.type() == FailureType.NOT_LEADER
                            && !failure.detail().isEmpty();
                    if (redirected && followRedirect) {
                        sendJoinRequest(
                                org.hornbeamspread.transport.AddressTranslator.parse(failure.detail()), request, false);
                    }
                });
    }
}
