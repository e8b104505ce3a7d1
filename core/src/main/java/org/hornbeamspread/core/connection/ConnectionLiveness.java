package org.hornbeamspread.core.connection;

import java.time.Clock;

/**
 * Decides when one side of an open connection sends a probe, and when it closes the connection because no bytes arrive any more. Each side
 * decides for itself, so both directions are covered.
 *
 * <p>The measure is bytes that arrive, whatever they belong to, and not the answer to one request: a large message on a slow link is
 * answered seconds later, while its bytes arrive at the receiver all the time and the receiver's probes arrive at the sender.
 *
 * <p>A span between two observations counts as silence for at most one probe interval. So a process that was suspended, or whose
 * thread was held up, does not count its own pause as the peer's silence.
 */
public final class ConnectionLiveness {
    private final Parameters parameters;
    private final Clock clock;
    private long observedMs;
    private long lastSentMs;
    private long lastProbeMs;

    /** The silence of the peer, as far as it was observed. */
    private long silenceMs;

    /** Starts when the connection is open: one that never carries a byte is closed as well. */
    public ConnectionLiveness(Parameters parameters, Clock clock) {
        this.parameters = parameters;
        this.clock = clock;
        this.observedMs = clock.millis();
        this.lastSentMs = observedMs;
        this.lastProbeMs = observedMs;
    }

    /** Called when bytes arrive. */
    public void onReceived() {
        observedMs = clock.millis();
        silenceMs = 0;
    }

    /** Called when a message is sent. */
    public void onSent() {
        lastSentMs = clock.millis();
    }

    /** The action that is due now; a probe counts as sent. */
    public Action nextAction() {
        long nowMs = clock.millis();
        silenceMs += Math.min(nowMs - observedMs, parameters.probeIntervalMs());
        observedMs = nowMs;
        if (silenceMs >= parameters.silenceLimitMs()) {
            return Action.CLOSE;
        }
        if (nowMs < nextProbeMs()) {
            return Action.NONE;
        }
        lastSentMs = nowMs;
        lastProbeMs = nowMs;
        return Action.SEND_PROBE;
    }

    /** The time until the next action may be due, at least 1 ms. */
    public long untilNextActionMs() {
        long nowMs = clock.millis();
        long untilProbeMs = nextProbeMs() - nowMs;
        long untilCloseMs = parameters.silenceLimitMs() - silenceMs;
        return Math.max(1, Math.min(untilProbeMs, untilCloseMs));
    }

    /**
     * A probe is due when the peer would see silence otherwise, and when the peer is silent: a peer of an earlier release sends no probes, but
     * answers them.
     */
    private long nextProbeMs() {
        long silentSinceMs = observedMs - silenceMs;
        return Math.min(lastSentMs, Math.max(silentSinceMs, lastProbeMs)) + parameters.probeIntervalMs();
    }

    /** What one side of a connection does next. */
    public enum Action {
        NONE,
        SEND_PROBE,
        CLOSE
    }

    /**
     * The time-outs of a connection.
     *
     * @param probeIntervalMs the time without a message after which a probe is sent
     * @param silenceLimitMs the time without any arriving bytes after which the connection is closed
     */
    public record Parameters(long probeIntervalMs, long silenceLimitMs) {
        /** Two probes may be lost or late before a connection is closed. */
        private static final int INTERVALS_PER_SILENCE_LIMIT = 3;

        /**
         * A third of the silence limit. The silence limit, a new connection and an election of 1 s at most together stay below
         * {@code stable_window_ms}, 4 s on the small sites.
         */
        private static final long PROBE_INTERVAL_MS = 500;

        /** The time-outs between processes of the system. */
        public static final Parameters DEFAULT =
                new Parameters(PROBE_INTERVAL_MS, INTERVALS_PER_SILENCE_LIMIT * PROBE_INTERVAL_MS);

        /** Checks that a probe is sent before the peer's silence limit. */
        public Parameters {
            if (probeIntervalMs <= 0 || silenceLimitMs <= probeIntervalMs) {
                throw new IllegalArgumentException(probeIntervalMs + " " + silenceLimitMs);
            }
        }
    }
}
