package org.hornbeamspread.transport;

import io.netty.channel.Channel;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hornbeamspread.core.misc.EventLog;

/** Logs and counts the connections that are closed because a limit is exceeded. Thread-safe. */
public final class LimitReporter {
    private final EventLog events;
    private final Counter closed;

    /** Registers the counter; once for each registry. */
    public LimitReporter(EventLog events, PrometheusRegistry registry) {
        this.events = events;
        closed = Counter.builder()
                .name("hornbeamspread_limit_closed_connections_total")
                .help("Connections closed because a limit was exceeded, by limit")
                .labelNames("limit")
                .register(registry);
    }

    /** Records that a connection is closed. */
    void onExceeded(ExceededLimit limit, Channel channel) {
        closed.labelValues(limit.name()).inc();
        events.record("connection_limited", "limit", limit, "remote", channel.remoteAddress());
    }
}
