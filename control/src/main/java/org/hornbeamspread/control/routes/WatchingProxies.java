package org.hornbeamspread.control.routes;

import java.time.Clock;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.hornbeamspread.core.failover.CommitReports;
import org.hornbeamspread.core.failover.PromotionSeal;
import org.hornbeamspread.core.failover.Seal;
import org.hornbeamspread.core.failover.SilentParties;
import org.hornbeamspread.core.misc.ClockJumpDetector;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.CommitReport;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.PrimaryObservation;
import org.hornbeamspread.protocol.schema.PrimaryPosition;
import org.hornbeamspread.protocol.schema.PromotedInstance;
import org.hornbeamspread.protocol.schema.RegisteredInstance;
import org.hornbeamspread.protocol.schema.SystemUpdate;
import org.hornbeamspread.protocol.schema.WatchSystem;
import org.hornbeamspread.transport.Envelopes;

/**
 * The proxies that watch the leader. Each keeps one watch request open, which is answered on a change or at the end of
 * its hold time. A change therefore reaches every proxy immediately, and a proxy that receives no response detects that
 * the leader is lost.
 */
final class WatchingProxies {
    /** Shorter than a proxy's timeout for the response. */
    private static final long MAX_HOLD_MS = 800;

    private static final long MIN_HOLD_MS = 250;

    /** The hold time grows with the number of proxies, so that all together send about 60 watch requests a second. */
    private static final long HOLD_MS_PER_PROXY = 15;

    /**
     * Growth of the number of proxies, or of the primaries with a known position, at which a proxy is answered at once. While
     * everything starts, a proxy that has an old count takes too large a share of the databases' connections, and one without
     * positions asks each primary itself.
     */
    private static final double URGENT_GROWTH = 1.5;

    /** A proxy that has sent no watch request for this long is dropped. */
    private static final long PROXY_EXPIRY_MS = 10_000;

    private final Clock clock;
    private final Map<String, Watcher> watchers = new HashMap<>();
    private final PublishedView view = new PublishedView();
    private long leaderTerm;
    private long leaderSinceMs;
    private ControlState state = ControlState.getDefaultInstance();

    /**
     * The latest proof of each service's primary. Proofs of an earlier clock epoch are dropped: their age is unknown.
     */
    private final Map<String, Proof> proofs = new HashMap<>();

    private final ClockJumpDetector clockJumpDetector;
    private final ReportedCommits commits = new ReportedCommits();
    private final CommitReporters reporters;
    private final SilentMembers silentMembers;
    private final DrainingInstances draining;

    /** When the lead was last confirmed, for receivers of a version of the configuration; see {@link LeadershipConfirmation}. */
    private final LongFunction<OptionalLong> confirmedAtMs;

    private final EventLog events;
    private long clockEpoch;
    private List<RegisteredInstance> visibleInstances = List.of();
    private List<ControlMember> controlMembers = List.of();

    WatchingProxies(
            String memberId,
            Clock clock,
            ClockJumpDetector clockJumpDetector,
            LongFunction<OptionalLong> confirmedAtMs,
            EventLog events) {
        this.confirmedAtMs = confirmedAtMs;
        this.clock = clock;
        this.reporters = new CommitReporters(clock);
        this.silentMembers = new SilentMembers(memberId, clock);
        this.events = events;
        this.clockJumpDetector = clockJumpDetector;
        this.draining = new DrainingInstances(clock);
    }

    /**
     * Records the position of a primary from the response to a probe.
     *
     * @param probeSentAtMs when the probe was sent
     * @param probeClockEpoch the clock epoch in which it was sent; a proof of an earlier epoch is ignored
     */
    void onProof(String service, String instanceId, LogPosition position, long probeSentAtMs, long probeClockEpoch) {
        updateClockEpoch();
        if (probeClockEpoch == clockEpoch) {
            proofs.put(service, new Proof(instanceId, position, probeSentAtMs));
        }
        commits.onProof(service, position, probeSentAtMs)
                .ifPresent(missing -> events.record(
                        "acknowledged_commit_missing",
                        "service",
                        service,
                        "instance",
                        instanceId,
                        "position",
                        position,
                        "acknowledged",
                        missing));
    }

    /**
     * Asks all proxies to acknowledge no more commits of a service's primary, or ends that.
     *
     * @param seal empty if no seal is to be in force
     */
    void seal(String service, Optional<Seal> seal) {
        if (commits.seal(service, seal)) {
            events.record(
                    "service_seal",
                    "service",
                    service,
                    "seal",
                    seal.map(Seal::toString).orElse("ended"));
            publish(state, visibleInstances, controlMembers);
        }
    }

    /**
     * What proxies have reported of a service's acknowledged commits.
     *
     * @param token the token of the promotion in progress, also before its seal is published; 0 for none
     */
    CommitReports commitReports(String service, long token) {
        if (token == 0) {
            return new CommitReports(commits.acknowledged(service), false);
        }
        return new CommitReports(
                commits.acknowledged(service),
                awaitsReports(service, token),
                new SilentParties(reporters.silent(service, token), silentMembers.ids()));
    }

    private boolean awaitsReports(String service, long token) {
        boolean newLeader = clock.millis() - leaderSinceMs <= PromotionSeal.NEW_LEADER_REPORT_TIMEOUT_MS;
        return newLeader
                || recentWatchers().stream()
                        .anyMatch(watcher -> !reporters.hasReported(watcher.request.getProxyId(), service, token));
    }

    private List<Watcher> recentWatchers() {
        long nowMs = clock.millis();
        return watchers.values().stream()
                .filter(watcher -> nowMs - watcher.receivedAtMs <= 2 * holdMs())
                .toList();
    }

    long clockEpoch() {
        updateClockEpoch();
        return clockEpoch;
    }

    /**
     * Returns the share of the proxies that have failed to reach an instance for longer than a time. Proxies without a
     * recent watch request count as reaching it: they may be the ones that are partitioned.
     */
    double unreachableShare(String instanceId, long longerThanMs) {
        double unreachable = recentWatchers().stream()
                .flatMap(watcher -> watcher.request.getObservationsList().stream())
                .filter(observation -> observation.getInstanceId().equals(instanceId))
                .filter(observation -> observation.getUnreachableMs() > longerThanMs)
                .count();
        return watchers.isEmpty() ? 0 : unreachable / watchers.size();
    }

    private void updateClockEpoch() {
        long currentEpoch = clockJumpDetector.epoch();
        if (currentEpoch != clockEpoch) {
            clockEpoch = currentEpoch;
            proofs.clear();
            draining.onClockJump();
        }
    }

    void onLeadershipGained(long term) {
        leaderTerm = term;
        leaderSinceMs = clock.millis();
        view.reset();
        commits.onLeadershipGained();
        reporters.onLeadershipGained();
        silentMembers.onLeadershipGained();
        draining.onLeadershipGained();
    }

    /** Handles a watch request. Returns whether a report under a seal came with it. */
    boolean watch(WatchSystem request, Consumer<Envelope> callback) {
        Watcher watcher = watchers.computeIfAbsent(request.getProxyId(), id -> new Watcher());
        watcher.request = request;
        watcher.receivedAtMs = clock.millis();
        watcher.replyCallback = Optional.of(callback);
        Map<String, Long> sealedTokens = new HashMap<>();
        for (CommitReport report : request.getCommitsList()) {
            onReport(watcher, report, sealedTokens);
        }
        reporters.onRequest(request.getProxyId(), request.getIncarnation(), sealedTokens, request.getLeaving());
        if (!isUpToDate(request)
                || request.getPositionsWanted()
                || request.getAuthorizationWanted()
                || request.getLeaving()) {
            sendUpdate(watcher);
        }
        if (request.getLeaving()) {
            watchers.remove(request.getProxyId());
        }
        return commits.hasSeals() && request.getCommitsCount() > 0;
    }

    /** Handles a report of a proxy. One that can't be read must not keep the proxy from its updates. */
    private void onReport(Watcher watcher, CommitReport report, Map<String, Long> sealedTokens) {
        try {
            commits.onReport(report, watcher.receivedAtMs);
            sealedTokens.put(report.getService(), report.getSealedToken());
        } catch (FailureException e) {
            events.record(
                    "commit_report_refused",
                    "proxy",
                    watcher.request.getProxyId(),
                    "service",
                    report.getService(),
                    "cause",
                    e.getMessage());
        }
    }

    /**
     * Replaces the published state, and answers the proxies that are not up to date.
     *
     * @param newVisibleInstances the instances of the state that are published to proxies
     */
    void publish(ControlState newState, List<RegisteredInstance> newVisibleInstances, List<ControlMember> members) {
        state = newState;
        visibleInstances = List.copyOf(newVisibleInstances);
        controlMembers = List.copyOf(members);
        silentMembers.update(members);
        updateClockEpoch();
        draining.update(newState.getInstancesList());
        List<Endpoint> peers = members.stream()
                .map(ControlMember::getPeer)
                .filter(peer -> !peer.getHost().isEmpty())
                .toList();
        List<PromotedInstance> promoted = newState.getGroupsList().stream()
                .flatMap(group -> promotedInstance(group).stream())
                .toList();
        view.publish(visibleInstances, peers, promoted, commits.seals());
        int proxyCount = liveProxies();
        int positionCount = proofs.size();
        watchers.values().stream()
                .filter(watcher -> watcher.replyCallback.isPresent())
                .filter(watcher -> !isUpToDate(watcher.request) || watcher.hasUrgentNews(proxyCount, positionCount))
                .forEach(this::sendUpdate);
    }

    /**
     * Returns the instance that was chosen last, even before its promotion is requested and while another one is being
     * chosen: no commit of the previous primary may be acknowledged any more.
     */
    private static Optional<PromotedInstance> promotedInstance(GroupTerm group) {
        return Optional.of(group.getPrimaryId())
                .filter(id -> !id.isEmpty())
                .or(() -> group.getUnsettledIdsList().stream().findFirst())
                .map(id -> PromotedInstance.newBuilder()
                        .setService(group.getGroup())
                        .setInstanceId(id)
                        .setFencingToken(group.getTerm())
                        .build());
    }

    /** Answers the watch requests whose hold time is over, and drops proxies that have expired. */
    void answerExpiredWatches() {
        long nowMs = clock.millis();
        Iterator<Watcher> iterator = watchers.values().iterator();
        while (iterator.hasNext()) {
            Watcher watcher = iterator.next();
            if (nowMs - watcher.receivedAtMs > PROXY_EXPIRY_MS) {
                iterator.remove();
            } else if (watcher.replyCallback.isPresent() && nowMs - watcher.receivedAtMs >= holdMs()) {
                sendUpdate(watcher);
            }
        }
    }

    private long holdMs() {
        return Math.max(MIN_HOLD_MS, Math.min(MAX_HOLD_MS, HOLD_MS_PER_PROXY * watchers.size()));
    }

    void refuseAll(FailureException failure) {
        watchers.values().forEach(watcher -> {
            watcher.replyCallback.ifPresent(callback -> callback.accept(Envelopes.failureEnvelope(failure)));
        });
        watchers.clear();
    }

    /** The shortest time since a proxy had proof that an instance works as primary; a large number if none had. */
    long proofAgeMs(String instanceId) {
        return observations(instanceId)
                .mapToLong(PrimaryObservation::getSinceSuccessMs)
                .min()
                .orElse(Long.MAX_VALUE / 4);
    }

    /**
     * How long the oldest write has waited at an instance if no proxy has observed a successful write since; 0
     * otherwise.
     */
    long stalledWriteMs(String instanceId) {
        long oldestMs = observations(instanceId)
                .mapToLong(PrimaryObservation::getOldestWriteMs)
                .max()
                .orElse(0);
        return oldestMs > 0 && proofAgeMs(instanceId) >= oldestMs ? oldestMs : 0;
    }

    private java.util.stream.Stream<PrimaryObservation> observations(String instanceId) {
        long nowMs = clock.millis();
        return watchers.values().stream()
                .flatMap(watcher -> watcher.request.getObservationsList().stream()
                        .filter(observation -> observation.getInstanceId().equals(instanceId))
                        .map(observation -> observation.toBuilder()
                                .setSinceSuccessMs(
                                        (int) (observation.getSinceSuccessMs() + nowMs - watcher.receivedAtMs))
                                .build()));
    }

    int liveProxies() {
        return (int) watchers.values().stream()
                .filter(watcher -> !watcher.request.getDraining())
                .count();
    }

    private boolean isUpToDate(WatchSystem request) {
        return request.getLeaderTerm() == leaderTerm
                && request.getSystemVersion() == view.version()
                && request.getConfigurationVersion() == state.getRoutes().getVersion();
    }

    private void sendUpdate(Watcher watcher) {
        watcher.sentProxyCount = liveProxies();
        watcher.sentPositionCount = proofs.size();
        WatchSystem request = watcher.request;
        boolean sameTerm = request.getLeaderTerm() == leaderTerm;
        boolean comparable = sameTerm && (request.getAcceptsDeltas() || request.getSystemVersion() == view.version());
        SystemUpdate.Builder update = comparable ? view.since(request.getSystemVersion()) : view.all();
        int heldMs = (int) (clock.millis() - watcher.receivedAtMs);
        update.setLeaderTerm(leaderTerm).setProxies(watcher.sentProxyCount).setHeldMs(heldMs);
        addPositions(update);
        if (update.getChanged()) {
            update.addAllDraining(draining.toWire());
        }
        if (request.getConfigurationVersion() < state.getRoutes().getVersion()) {
            update.setConfiguration(state.getRoutes().toBuilder().clearSource());
        }
        confirmedAtMs
                .apply(state.getRoutes().getVersion())
                .ifPresent(atMs -> update.setConfirmedOffsetMs(atMs - watcher.receivedAtMs));
        Optional<Consumer<Envelope>> replyCallback = watcher.replyCallback;
        watcher.replyCallback = Optional.empty();
        replyCallback.ifPresent(callback ->
                callback.accept(Envelope.newBuilder().setSystemUpdate(update).build()));
    }

    private void addPositions(SystemUpdate.Builder update) {
        updateClockEpoch();
        long nowMs = clock.millis();
        proofs.forEach((service, proof) -> update.addPositions(PrimaryPosition.newBuilder()
                .setService(service)
                .setPosition(Envelopes.position(proof.position()))
                .setAgeMs((int) (nowMs - proof.probeSentAtMs()))));
    }

    private record Proof(String instanceId, LogPosition position, long probeSentAtMs) {}

    private static final class Watcher {
        private WatchSystem request = WatchSystem.getDefaultInstance();

        private long receivedAtMs;

        /** The number of proxies in the last update to this proxy; 0 before the first. */
        private int sentProxyCount;

        /** The number of positions in the last update to this proxy. */
        private int sentPositionCount;

        /** Receives the response to the open watch request; empty when no request is open. */
        private Optional<Consumer<Envelope>> replyCallback = Optional.empty();

        private boolean hasUrgentNews(int proxyCount, int positionCount) {
            return (sentProxyCount > 0 && proxyCount > URGENT_GROWTH * sentProxyCount)
                    || positionCount > URGENT_GROWTH * sentPositionCount;
        }
    }
}
