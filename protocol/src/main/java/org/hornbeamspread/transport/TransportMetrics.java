package org.hornbeamspread.transport;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.LongSupplier;

/** The metrics of a transport's connections between processes. */
public final class TransportMetrics {
    private TransportMetrics() {}

    /** Registers the counters of a transport; once for each registry. */
    public static void register(PrometheusRegistry registry, TransportCounters counters) {
        GaugeWithCallback.builder()
                .name("hornbeamspread_transport_accepted_connections")
                .help("Accepted connections of other processes that are open")
                .callback(callback -> callback.call((double) counters.acceptedConnections()))
                .register(registry);
        register(
                registry,
                "hornbeamspread_transport_refused_connections",
                "Connections of other processes refused because too many were open",
                counters::refusedConnections);
        register(
                registry,
                "hornbeamspread_transport_silent_connections",
                "Connections closed because no bytes arrived any more",
                counters::silentConnections);
        register(
                registry,
                "hornbeamspread_transport_overflowed_connections",
                "Connections closed because the peer took no more bytes",
                counters::overflowedConnections);
        register(
                registry,
                "hornbeamspread_transport_dropped_frames",
                "Connections closed because incomplete frames took too much memory together",
                counters::droppedFrames);
    }

    private static void register(PrometheusRegistry registry, String name, String help, LongSupplier value) {
        CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call((double) value.getAsLong()))
                .register(registry);
    }
}
