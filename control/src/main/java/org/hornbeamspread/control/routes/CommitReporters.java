package org.hornbeamspread.control.routes;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.hornbeamspread.core.failover.SilentParties.SilentProxy;

/**
 * Which proxies may have acknowledged commits that they have not reported to this leader: those that don't respond to a seal, processes that
 * have ended without a last report, and those that only the previous leader knew. Confined to the routes thread.
 */
final class CommitReporters {
    /**
     * A proxy without a watch request for this long is dropped, and one that this leader doesn't know isn't assumed longer. A cut-off proxy that
     * serves on for longer is covered by the count of copies alone.
     */
    static final long RETENTION_MS = 10_000;

    private final Clock clock;
    private final Map<String, Reporter> reporters = new HashMap<>();

    /** Processes whose successor under the same id has watched this leader. */
    private final List<Ended> ended = new ArrayList<>();

    private long leaderSinceMs;

    /**
     * A process that watches this leader.
     *
     * @param sealedTokens the tokens of the seals under which it has reported, by service
     */
    private record Reporter(long incarnation, long requestedAtMs, Map<String, Long> sealedTokens) {}

    private record Ended(String proxyId, long reportedAtMs, long endKnownAtMs) {}

    CommitReporters(Clock clock) {
        this.clock = clock;
    }

    /** Drops what the member knew when it led before. */
    void onLeadershipGained() {
        reporters.clear();
        ended.clear();
        leaderSinceMs = clock.millis();
    }

    /**
     * Handles a watch request.
     *
     * @param sealedTokens the tokens of the seals under which the proxy has reported, by service
     * @param leaves whether the proxy acknowledges nothing more, and its process ends
     */
    void onRequest(String proxyId, long incarnation, Map<String, Long> sealedTokens, boolean leaves) {
        Reporter previous = reporters.remove(proxyId);
        if (previous == null || previous.incarnation() != incarnation) {
            dropExpired();
        }
        if (previous != null && previous.incarnation() != incarnation) {
            ended.add(new Ended(proxyId, previous.requestedAtMs(), clock.millis()));
        }
        if (!leaves) {
            reporters.put(proxyId, new Reporter(incarnation, clock.millis(), Map.copyOf(sealedTokens)));
        }
    }

    /** Whether a proxy has reported its commits under a seal, or a later one. */
    boolean hasReported(String proxyId, String service, long token) {
        Reporter reporter = reporters.get(proxyId);
        return reporter != null && reporter.sealedTokens().getOrDefault(service, 0L) >= token;
    }

    /** The proxies that may have acknowledged commits of a service which they have not reported under a seal. */
    List<SilentProxy> silent(String service, long token) {
        dropExpired();
        long nowMs = clock.millis();
        Stream<SilentProxy> known = reporters.entrySet().stream()
                .filter(entry -> !hasReported(entry.getKey(), service, token))
                .map(entry ->
                        new SilentProxy(entry.getKey(), nowMs - entry.getValue().requestedAtMs(), 0));
        Stream<SilentProxy> replaced = ended.stream()
                .map(process -> new SilentProxy(
                        process.proxyId(), nowMs - process.reportedAtMs(), nowMs - process.endKnownAtMs()));
        Stream<SilentProxy> unknown = nowMs - leaderSinceMs <= RETENTION_MS
                ? Stream.of(new SilentProxy("of the previous leader", nowMs - leaderSinceMs, 0))
                : Stream.empty();
        return Stream.of(known, replaced, unknown).flatMap(proxies -> proxies).toList();
    }

    private void dropExpired() {
        long nowMs = clock.millis();
        reporters.values().removeIf(reporter -> nowMs - reporter.requestedAtMs() > RETENTION_MS);
        ended.removeIf(process -> nowMs - process.endKnownAtMs() > RETENTION_MS);
    }

    /** How many processes are remembered, for tests of the bound. */
    int size() {
        return reporters.size() + ended.size();
    }
}
