package org.hornbeamspread.control.routes;

import java.time.Clock;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hornbeamspread.core.misc.ClockGuard;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.ControlState;
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
 * The proxies that watch the leader. Each has one question open, which is answered when there is news or when it has been held
 * for a while; so a change reaches every proxy at once, and a proxy that hears nothing knows that the leader is gone.
 */
final class WatchingProxies {
    /** Below a proxy's limit for an answer. */
    private static final long MAX_HOLD_MS = 800;

    private static final long MIN_HOLD_MS = 250;

    /** More proxies are heard less often each: about 60 questions a second in all. */
    private static final long HOLD_MS_PER_PROXY = 15;

    /** A proxy that has not asked for this long is gone. */
    private static final long PROXY_EXPIRY_MS = 10_000;

    private final Clock clock;
    private final Map<String, Watcher> watchers = new HashMap<>();
    private long leaderTerm;
    private long systemVersion;

    /** What the version stands for. */
    private SystemUpdate latestUpdate = SystemUpdate.getDefaultInstance();

    private ControlState state = ControlState.getDefaultInstance();

    /** The latest proof of each service's primary; dropped when the clock can't tell its age any more. */
    private final Map<String, Proof> proofs = new HashMap<>();

    private final ClockGuard clockGuard;
    private long clockEpoch;

    WatchingProxies(Clock clock, ClockGuard guard) {
        this.clock = clock;
        this.clockGuard = guard;
    }

    /** A primary's position, from an answer to a question that was sent at a time and in an epoch of the clock. */
    void onProof(String service, String instanceId, LogPosition position, long askedMs, long askedEpoch) {
        updateClockEpoch();
        if (askedEpoch == clockEpoch) {
            proofs.put(service, new Proof(instanceId, position, askedMs));
        }
    }

    long clockEpoch() {
        updateClockEpoch();
        return clockEpoch;
    }

    /**
     * The part of the proxies that have failed to reach an instance for longer than a time. Those that control does not hear
     * count as reaching it: they may be the ones that are cut off.
     */
    double unreachableShare(String instanceId, long longerThanMs) {
        long nowMs = clock.millis();
        List<Watcher> present = watchers.values().stream()
                .filter(watcher -> nowMs - watcher.receivedAtMs <= 2 * holdMs())
                .toList();
        double cutOff = present.stream()
                .flatMap(watcher -> watcher.request.getObservationsList().stream())
                .filter(seen -> seen.getInstanceId().equals(instanceId))
                .filter(seen -> seen.getUnreachableMs() > longerThanMs)
                .count();
        return watchers.isEmpty() ? 0 : cutOff / watchers.size();
    }

    private void updateClockEpoch() {
        long present = clockGuard.epoch();
        if (present != clockEpoch) {
            clockEpoch = present;
            proofs.clear();
        }
    }

    void onLeadershipGained(long term) {
        leaderTerm = term;
        systemVersion = 0;
        latestUpdate = SystemUpdate.getDefaultInstance();
    }

    void watch(WatchSystem request, Consumer<Envelope> answer) {
        Watcher watcher = watchers.computeIfAbsent(request.getProxyId(), id -> new Watcher());
        watcher.request = request;
        watcher.receivedAtMs = clock.millis();
        watcher.pendingAnswer = Optional.of(answer);
        if (!isUpToDate(request) || request.getPositionsWanted()) {
            sendUpdate(watcher);
        }
    }

    /**
     * Takes the state over; proxies are answered if it is news to them.
     *
     * @param told those of its instances that proxies are told of
     */
    void publish(ControlState next, List<RegisteredInstance> told, List<ControlMember> members) {
        state = next;
        SystemUpdate.Builder update =
                SystemUpdate.newBuilder().setChanged(true).addAllInstances(told).setProxies(liveProxies());
        members.stream()
                .map(ControlMember::getPeer)
                .filter(peer -> !peer.getHost().isEmpty())
                .forEach(update::addControlPeers);
        for (GroupTerm group : next.getGroupsList()) {
            chosenInstanceId(group)
                    .ifPresent(id -> update.addPromoted(PromotedInstance.newBuilder()
                            .setService(group.getGroup())
                            .setInstanceId(id)
                            .setFencingToken(group.getTerm())));
        }
        SystemUpdate built = update.build();
        if (!built.equals(latestUpdate)) {
            latestUpdate = built;
            systemVersion++;
        }
        watchers.values().stream()
                .filter(watcher -> watcher.pendingAnswer.isPresent() && !isUpToDate(watcher.request))
                .forEach(this::sendUpdate);
    }

    /**
     * The instance that was chosen last, also before its order and while another is sought: nothing may be acknowledged by the primary
     * before it.
     */
    private static Optional<String> chosenInstanceId(GroupTerm group) {
        return Optional.of(group.getPrimaryId())
                .filter(id -> !id.isEmpty())
                .or(() -> group.getUnsettledIdsList().stream().findFirst());
    }

    /** Answers the questions that have been held long enough, and forgets proxies that are gone. */
    void answerExpiredWatches() {
        long nowMs = clock.millis();
        Iterator<Watcher> all = watchers.values().iterator();
        while (all.hasNext()) {
            Watcher watcher = all.next();
            if (nowMs - watcher.receivedAtMs > PROXY_EXPIRY_MS) {
                all.remove();
            } else if (watcher.pendingAnswer.isPresent() && nowMs - watcher.receivedAtMs >= holdMs()) {
                sendUpdate(watcher);
            }
        }
    }

    private long holdMs() {
        return Math.max(MIN_HOLD_MS, Math.min(MAX_HOLD_MS, HOLD_MS_PER_PROXY * watchers.size()));
    }

    void refuseAll(FailureException failure) {
        watchers.values().forEach(watcher -> {
            watcher.pendingAnswer.ifPresent(open -> open.accept(Envelopes.failureEnvelope(failure)));
        });
        watchers.clear();
    }

    /** The least time since any proxy had proof that an instance works as primary; a large number when none had. */
    long proofAgeMs(String instanceId) {
        return observations(instanceId)
                .mapToLong(PrimaryObservation::getSinceSuccessMs)
                .min()
                .orElse(Long.MAX_VALUE / 4);
    }

    /** How long the oldest write has waited at an instance, if no proxy saw one succeed since; 0 otherwise. */
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
                        .filter(seen -> seen.getInstanceId().equals(instanceId))
                        .map(seen -> seen.toBuilder()
                                .setSinceSuccessMs((int) (seen.getSinceSuccessMs() + nowMs - watcher.receivedAtMs))
                                .build()));
    }

    int liveProxies() {
        return (int) watchers.values().stream()
                .filter(watcher -> !watcher.request.getDraining())
                .count();
    }

    private boolean isUpToDate(WatchSystem request) {
        return request.getLeaderTerm() == leaderTerm
                && request.getSystemVersion() == systemVersion
                && request.getConfigurationVersion() == state.getRoutes().getVersion();
    }

    private void sendUpdate(Watcher watcher) {
        WatchSystem request = watcher.request;
        boolean sameTerm = request.getLeaderTerm() == leaderTerm;
        SystemUpdate.Builder update = sameTerm && request.getSystemVersion() == systemVersion
                ? SystemUpdate.newBuilder()
                : latestUpdate.toBuilder();
        update.setLeaderTerm(leaderTerm).setSystemVersion(systemVersion);
        addPositions(update);
        if (request.getConfigurationVersion() < state.getRoutes().getVersion()) {
            update.setConfiguration(state.getRoutes().toBuilder().clearSource());
        }
        Optional<Consumer<Envelope>> answer = watcher.pendingAnswer;
        watcher.pendingAnswer = Optional.empty();
        answer.ifPresent(open ->
                open.accept(Envelope.newBuilder().setSystemUpdate(update).build()));
    }

    private void addPositions(SystemUpdate.Builder update) {
        updateClockEpoch();
        long nowMs = clock.millis();
        proofs.forEach((service, proof) -> update.addPositions(PrimaryPosition.newBuilder()
                .setService(service)
                .setInstanceId(proof.instanceId())
                .setPosition(Envelopes.position(proof.position()))
                .setAgeMs((int) (nowMs - proof.probeSentAtMs()))));
    }

    private record Proof(String instanceId, LogPosition position, long probeSentAtMs) {}

    private static final class Watcher {
        private WatchSystem request = WatchSystem.getDefaultInstance();
        private long receivedAtMs;

        /** Empty once the question is answered. */
        private Optional<Consumer<Envelope>> pendingAnswer = Optional.empty();
    }
}
