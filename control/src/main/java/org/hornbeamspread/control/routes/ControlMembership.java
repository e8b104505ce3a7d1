package org.hornbeamspread.control.routes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.consensus.ConsensusService;
import org.hornbeamspread.core.consensus.VoterPolicy;
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
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.PeerTransport;

/**
 * Adds and removes control members without an operator. A process with an empty log that does not bootstrap sends a join
 * request to the seeds at once, any other process once it has had no leader for {@link #LEADERLESS_TIMEOUT_MS}. The leader
 * adds the process as a learner. Once its log has caught up, it votes if there are fewer voters than required, or takes the
 * place of a voter that is silent or departs ({@link VoterPolicy}). A member that stays silent is removed if it has no vote,
 * or if enough other voters are reachable.
 *
 * <p>A join request without an endpoint announces the departure of a member: its process ends soon, and a standby takes its
 * vote while it still responds.
 */
public final class ControlMembership implements AutoCloseable {
    /**
     * Time without a leader until a join request; a voter that is silent for less counts as reachable. Longer than two
     * elections, so that a member does not send a join request during an election.
     */
    private static final long LEADERLESS_TIMEOUT_MS = 2_500;

    /** Silence after which a member is removed. Longer than the restart of a machine. */
    private static final long REMOVAL_TIMEOUT_MS = 6_000;

    /** The interval of the join requests of a process with an empty log. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);

    /** Two elections; leaves most of the time between SIGTERM and the end of a process to what is open. */
    private static final Duration HANDOVER_TIMEOUT = Duration.ofMillis(1_500);

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

    private final ControlMember self;
    private final int requiredVoters;
    private final ConsensusService log;
    private final boolean mayBootstrap;
    private final Supplier<List<ControlMember>> members;
    private final Supplier<List<Endpoint>> seeds;
    private final PeerTransport transport;
    private final EventLog events;
    private final EventLoopThread<Runnable> thread;
    private long leaderlessTicks;
    private int nextSeed;
    private boolean removalPending;

    /** Whether this process has begun to end, which is announced to the leader until it has. */
    private volatile boolean departing;

    /**
     * Creates the membership without starting its thread; see {@link #start}.
     *
     * @param requiredVoters the number of voters needed to tolerate the losses that the deployment is designed for
     * @param mayBootstrap whether this process takes part in the bootstrap of the log
     * @param seeds supplies the peer endpoints of other members from the current settings
     */
    public ControlMembership(
            ControlMember self,
            int requiredVoters,
            boolean mayBootstrap,
            ConsensusService log,
            Supplier<List<ControlMember>> members,
            Supplier<List<Endpoint>> seeds,
            PeerTransport transport,
            EventLog events) {
        this.self = self;
        this.requiredVoters = requiredVoters;
        this.mayBootstrap = mayBootstrap;
        this.log = log;
        this.members = members;
        this.seeds = seeds;
        this.transport = transport;
        this.events = events;
        this.thread = new EventLoopThread<>("membership", 1_024, Runnable::run, TICK_INTERVAL, this::tick);
    }

    /** Starts the thread. */
    public ControlMembership start() {
        log.onMembersChange(current ->
                events.record("control_voters", "voters", ids(current, true), "standbys", ids(current, false)));
        thread.start();
        return this;
    }

    /**
     * Adds a member as a learner, or announces its departure. Fails with NOT_LEADER on a member that is not the leader, and with
     * INVALID_REQUEST if the new member has no name or no endpoint to connect to.
     */
    public CompletableFuture<Void> join(JoinControl request) {
        if (!log.leadership().isLeader()) {
            return CompletableFuture.failedFuture(new FailureException(
                    FailureType.NOT_LEADER, log.leadership().leaderId().orElse("")));
        }
        if (!request.hasPeer()) {
            events.record("control_member_departs", "member", request.getMemberId());
            log.announceDeparture(request.getMemberId());
            return CompletableFuture.completedFuture(null);
        }
        if (request.getMemberId().isEmpty() || !AddressTranslator.isConnectable(request.getPeer())) {
            return CompletableFuture.failedFuture(new FailureException(
                    FailureType.INVALID_REQUEST,
                    "unusable member " + request.getMemberId() + " " + AddressTranslator.format(request.getPeer())));
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

    /**
     * Announces the departure of this process to the leader, and to each leader that follows: one that departs itself steps down as
     * soon as it has no vote, and its successor would give the vote back. Completes once this member has no vote and another
     * leads, or after {@link #HANDOVER_TIMEOUT}; at once without a leader or a member that could take its vote. Called at
     * most once, before {@link #close}.
     */
    public CompletableFuture<Void> handOverVote() {
        CompletableFuture<Void> handedOver = new CompletableFuture<>();
        boolean standbyExists = members.get().stream().anyMatch(member -> !member.getVoting());
        if (!isSelfVoter() || !standbyExists || leaderEndpoint().isEmpty()) {
            handedOver.complete(null);
            return handedOver;
        }
        Runnable check = () -> {
            if (!isSelfVoter()
                    && leaderEndpoint().isPresent()
                    && !log.leadership().isLeader()) {
                handedOver.complete(null);
            }
        };
        log.onMembersChange(changed -> check.run());
        log.onLeadershipChange(changed -> check.run());
        departing = true;
        announceDeparture();
        return handedOver.completeOnTimeout(null, HANDOVER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void announceDeparture() {
        JoinControl departure =
                JoinControl.newBuilder().setMemberId(self.getMemberId()).build();
        if (log.leadership().isLeader()) {
            join(departure);
        } else {
            leaderEndpoint()
                    .ifPresent(leader -> sendRequest(
                            leader,
                            Envelope.newBuilder().setJoinControl(departure).build(),
                            "control_departure_announced",
                            true));
        }
    }

    @Override
    public void close() {
        thread.close();
    }

    private static String ids(List<ControlMember> members, boolean voting) {
        return members.stream()
                .filter(member -> member.getVoting() == voting)
                .map(ControlMember::getMemberId)
                .collect(Collectors.joining(" "));
    }

    private boolean isSelfVoter() {
        return members.get().stream()
                .anyMatch(member -> member.getMemberId().equals(self.getMemberId()) && member.getVoting());
    }

    private Optional<Endpoint> leaderEndpoint() {
        return members.get().stream()
                .filter(member -> log.leadership().leaderId().equals(Optional.of(member.getMemberId())))
                .map(ControlMember::getPeer)
                .findFirst();
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
        if (departing) {
            announceDeparture();
        }
        if (log.leadership().isLeader()) {
            leaderlessTicks = 0;
            removeLostMember();
        } else if (log.leadership().leaderId().isPresent()) {
            leaderlessTicks = 0;
        } else if (isJoinDue(++leaderlessTicks * TICK_INTERVAL.toMillis())) {
            requestJoin();
        }
    }

    /** A process with an empty log has no leader that an election could return to it. */
    private boolean isJoinDue(long leaderlessMs) {
        return leaderlessMs >= LEADERLESS_TIMEOUT_MS || (!mayBootstrap && log.isBlank());
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
        sendRequest(seed, request, "control_join_asked", true);
    }

    private void sendRequest(Endpoint endpoint, Envelope request, String event, boolean followRedirect) {
        transport
                .connect(endpoint, REQUEST_TIMEOUT, (peer, unexpectedRequest, replyCallback) -> peer.close())
                .thenCompose(
                        peer -> peer.request(request, REQUEST_TIMEOUT).whenComplete((response, error) -> peer.close()))
                .whenComplete((response, error) -> {
                    FailureException failure = error == null ? null : FailureException.of(error);
                    events.record(
                            event,
                            "seed",
                            endpoint.getHost(),
                            "outcome",
                            failure == null ? "accepted" : failure.getMessage());
                    boolean redirected = failure != null
                            && failure.type() == FailureType.NOT_LEADER
                            && !failure.detail().isEmpty();
                    if (redirected && followRedirect) {
                        sendRequest(AddressTranslator.parse(failure.detail()), request, event, false);
                    }
                });
    }
}
