package org.hornbeamspread.core.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.hornbeamspread.core.failover.CommitTracker.SentCommit;
import org.hornbeamspread.core.failover.SilentParties.SilentProxy;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.misc.ManualClock;

/**
 * The proxies of a {@link SimulatedGroup}. Each acknowledges commits of the primary, some of them late, and reports to the control leader;
 * reports are lost or late, proxies lose touch with control and go on acknowledging, or die and are replaced. A new leader starts
 * without reports, and without watching proxies.
 *
 * <p>A commit that was acknowledged is covered if a report that included it had arrived before the promotion was ordered, or if its proxy
 * runs and has been in touch with control since {@link #TOUCH_MS} before the token of the promotion was raised. Only the commits of
 * proxies that died or lost touch before they had reported them are not covered. Without reports, the count of copies alone protects these.
 * In histories with silent control members they are covered too: control waits for the copies that may be registered late.
 */
final class SimulatedProxies {
    /** A proxy that has been in touch for this long has sent a watch request to the leader, even if some reports were lost. */
    static final long TOUCH_MS = 1_000;

    private static final int PROXIES = 3;
    private static final long HOLD_MS = 250;

    /** A proxy without a watch request for this long isn't waited for, as in the control leader. */
    private static final long WATCH_EXPIRY_MS = 500;

    private static final int MAX_REPORT_DELAY_MS = 150;
    private static final int MAX_RESPONSE_DELAY_MS = 300;

    private final ManualClock clock;
    private final Random random;

    /** The control leader assumes for this long that a proxy which doesn't respond may acknowledge commits. */
    private static final long RETENTION_MS = 10_000;

    /** Whether control uses reports and sends seals. */
    private final boolean reportsUsed;

    /** Whether the check counts the commits of silent proxies too. */
    private final boolean unreportedCovered;

    private final List<Proxy> proxies = new ArrayList<>();
    private final List<Response> responses = new ArrayList<>();
    private final List<Report> reportsInFlight = new ArrayList<>();
    private final List<Acknowledged> acknowledged = new ArrayList<>();
    private AcknowledgedCommits reported = AcknowledgedCommits.NONE;

    /** What the leader last published. */
    private long leaderSinceMs;

    private Optional<Seal> seal = Optional.empty();

    private boolean viewChanged;

    private static final class Proxy {
        private final CommitTracker tracker;
        private boolean dead;
        private boolean inTouch = true;
        private long outOfTouchAtMs = -TOUCH_MS;
        private long updatedAtMs;

        /** The leader's state of this proxy. */
        private long watchedAtMs = -WATCH_EXPIRY_MS - 1;

        private long sealedToken;

        /** The dead process that this one has replaced, until control knows of the replacement. */
        private Optional<Proxy> predecessor = Optional.empty();

        private Proxy(ManualClock clock) {
            tracker = new CommitTracker(clock);
        }
    }

    /** Processes of which control knows that they have ended, and since when. */
    private final List<Ended> ended = new ArrayList<>();

    private record Ended(long reportedAtMs, long knownAtMs) {}

    /** A write that a proxy has sent to the primary. */
    record Write(Proxy proxy, SentCommit sent) {}

    private record Response(Write write, LogPosition position, long dueAtMs) {}

    private record Report(Proxy proxy, AcknowledgedCommits commits, long sealedToken, long commitCount, long dueAtMs) {}

    /** A commit that a caller has seen acknowledged. */
    private static final class Acknowledged {
        private final Proxy proxy;
        private final long entries;
        private final long atMs;
        private long reportedAtMs = Long.MAX_VALUE;

        private Acknowledged(Proxy proxy, long entries, long atMs) {
            this.proxy = proxy;
            this.entries = entries;
            this.atMs = atMs;
        }
    }

    SimulatedProxies(ManualClock clock, Random random, boolean reportsUsed, boolean unreportedCovered) {
        this.clock = clock;
        this.random = random;
        this.reportsUsed = reportsUsed;
        this.unreportedCovered = unreportedCovered;
        for (int i = 0; i < PROXIES; i++) {
            proxies.add(new Proxy(clock));
        }
    }

    /** Selects the proxy that sends the next write to the primary. */
    Write send() {
        Proxy proxy = proxies.get(random.nextInt(PROXIES));
        return new Write(proxy, proxy.tracker.onSend());
    }

    /** Handles a write that the primary and a replica hold. */
    void onHeld(Write write, LogPosition position) {
        long delayMs = random.nextInt(4) == 0 ? random.nextInt(MAX_RESPONSE_DELAY_MS) : 0;
        responses.add(new Response(write, position, clock.millis() + delayMs));
        deliverResponses();
    }

    /** A step of all proxies: faults, updates of the leader, and reports. */
    void step(boolean faultsEnabled, long promotedToken) {
        if (faultsEnabled) {
            injectFaults();
        } else {
            proxies.forEach(proxy -> proxy.inTouch = true);
        }
        deliverResponses();
        boolean changed = viewChanged;
        viewChanged = false;
        for (Proxy proxy : proxies) {
            if (!proxy.inTouch) {
                proxy.outOfTouchAtMs = clock.millis();
            } else if (changed || clock.millis() - proxy.updatedAtMs >= HOLD_MS) {
                update(proxy, faultsEnabled, promotedToken);
            }
        }
        deliverReports();
    }

    /** Publishes the seal that the leader decided on. */
    void publish(Optional<Seal> decided) {
        viewChanged |= !decided.equals(seal);
        seal = decided;
    }

    /** The leader was replaced by a control member that has no reports. */
    void onLeaderChanged() {
        leaderSinceMs = clock.millis();
        reported = AcknowledgedCommits.NONE;
        seal = Optional.empty();
        reportsInFlight.clear();
        ended.clear();
        proxies.forEach(proxy -> {
            proxy.watchedAtMs = -WATCH_EXPIRY_MS - 1;
            proxy.predecessor = Optional.empty();
        });
    }

    /** All proxies lose touch, or die with what they have not reported. */
    void silence() {
        for (int i = 0; i < PROXIES; i++) {
            if (random.nextBoolean()) {
                proxies.get(i).inTouch = false;
            } else {
                replace(i);
            }
        }
    }

    /**
     * What the leader has received.
     *
     * @param silentMembers the control members that don't respond
     */
    CommitReports reports(List<String> silentMembers) {
        if (!reportsUsed) {
            return CommitReports.NONE;
        }
        boolean newLeader = clock.millis() - leaderSinceMs <= PromotionSeal.NEW_LEADER_REPORT_TIMEOUT_MS;
        boolean unsealed = seal.isPresent()
                && proxies.stream()
                        .filter(proxy -> clock.millis() - proxy.watchedAtMs <= WATCH_EXPIRY_MS)
                        .anyMatch(proxy -> proxy.sealedToken < seal.get().token());
        return new CommitReports(reported, newLeader || unsealed, new SilentParties(silentProxies(), silentMembers));
    }

    private List<SilentProxy> silentProxies() {
        long nowMs = clock.millis();
        long token = seal.map(Seal::token).orElse(Long.MAX_VALUE);
        List<SilentProxy> silent = new ArrayList<>();
        Stream.concat(proxies.stream(), proxies.stream().flatMap(proxy -> proxy.predecessor.stream()))
                .filter(proxy -> proxy.sealedToken < token && nowMs - proxy.watchedAtMs <= RETENTION_MS)
                .forEach(proxy -> silent.add(new SilentProxy("watched", nowMs - proxy.watchedAtMs, 0)));
        ended.forEach(process ->
                silent.add(new SilentProxy("ended", nowMs - process.reportedAtMs(), nowMs - process.knownAtMs())));
        if (nowMs - leaderSinceMs <= RETENTION_MS) {
            silent.add(new SilentProxy("unknown", nowMs - leaderSinceMs, 0));
        }
        return silent;
    }

    /**
     * Handles a promotion that has taken effect. Returns the latest covered commit that the promoted log lacks.
     *
     * @param raisedAtMs when the promotion's token was raised
     * @param orderedAtMs when the promotion was first requested
     */
    Optional<String> onPromoted(long entries, long raisedAtMs, long orderedAtMs) {
        Optional<String> lost = acknowledged.stream()
                .filter(commit -> commit.entries > entries)
                .filter(commit ->
                        unreportedCovered || commit.reportedAtMs < orderedAtMs || isCovered(commit.proxy, raisedAtMs))
                .reduce((first, second) -> first.entries > second.entries ? first : second)
                .map(commit -> commit.entries + " acknowledged at " + commit.atMs + " reported at "
                        + commit.reportedAtMs + " by proxy " + proxies.indexOf(commit.proxy) + " raised " + raisedAtMs
                        + " ordered " + orderedAtMs);
        acknowledged.clear();
        return lost;
    }

    /** The length of the shortest log that may hold every reported commit. */
    long certainEntries() {
        return reported.certain().indexEntries();
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(" reported " + reported + " " + seal);
        proxies.forEach(proxy -> text.append(proxy.inTouch ? " ." : " ?")
                .append(proxy.tracker.acknowledged().possible().indexEntries())
                .append(proxy.tracker.isSealed() ? "s" : ""));
        return text.toString();
    }

    private static boolean isCovered(Proxy proxy, long raisedAtMs) {
        return !proxy.dead && proxy.inTouch && proxy.outOfTouchAtMs < raisedAtMs - TOUCH_MS;
    }

    private void injectFaults() {
        for (int i = 0; i < PROXIES; i++) {
            Proxy proxy = proxies.get(i);
            if (random.nextInt(proxy.inTouch ? 200 : 40) == 0) {
                proxy.inTouch = !proxy.inTouch;
            }
            if (random.nextInt(300) == 0) {
                replace(i);
            }
        }
    }

    /** A proxy dies, and another process takes its place. */
    private void replace(int index) {
        Proxy dead = proxies.get(index);
        dead.dead = true;
        Proxy next = new Proxy(clock);
        next.outOfTouchAtMs = clock.millis();
        next.predecessor = Optional.of(dead);
        proxies.set(index, next);
    }

    private void deliverResponses() {
        for (Response response : List.copyOf(responses)) {
            if (response.dueAtMs() <= clock.millis()) {
                responses.remove(response);
                Proxy proxy = response.write().proxy();
                if (!proxy.dead && proxy.tracker.onSuccess(response.write().sent(), response.position())) {
                    acknowledged.add(new Acknowledged(proxy, response.position().indexEntries(), clock.millis()));
                }
            }
        }
    }

    /** Applies an update of the leader, and sends the next watch request with a report. */
    private void update(Proxy proxy, boolean faultsEnabled, long promotedToken) {
        proxy.updatedAtMs = clock.millis();
        if (reportsUsed) {
            seal.ifPresentOrElse(proxy.tracker::onSeal, () -> proxy.tracker.onNoSeal(promotedToken));
        }
        if (faultsEnabled && random.nextInt(20) == 0) {
            return;
        }
        long delayMs = faultsEnabled && random.nextInt(3) == 0 ? random.nextInt(MAX_REPORT_DELAY_MS) : 0;
        reportsInFlight.add(new Report(
                proxy,
                proxy.tracker.acknowledged(),
                proxy.tracker.sealedToken(),
                acknowledged.size(),
                clock.millis() + delayMs));
    }

    private void deliverReports() {
        for (Report report : List.copyOf(reportsInFlight)) {
            if (report.dueAtMs() <= clock.millis()) {
                reportsInFlight.remove(report);
                report.proxy().watchedAtMs = clock.millis();
                report.proxy()
                        .predecessor
                        .ifPresent(process -> ended.add(new Ended(process.watchedAtMs, clock.millis())));
                report.proxy().predecessor = Optional.empty();
                report.proxy().sealedToken = report.sealedToken();
                reported = AcknowledgedCommits.max(reported, report.commits());
                acknowledged.stream()
                        .limit(report.commitCount())
                        .filter(commit -> commit.proxy == report.proxy())
                        .forEach(commit -> commit.reportedAtMs = Math.min(commit.reportedAtMs, clock.millis()));
            }
        }
    }
}
