package org.hornbeamspread.http;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Renders all metrics of a registry in Prometheus's text format. */
public final class MetricsPage {
    /** The content type of the text that {@link #render} returns. */
    public static final String CONTENT_TYPE =
            PrometheusTextFormatWriter.builder().build().getContentType();

    private MetricsPage() {}

    /** The current values of all metrics. */
    public static byte[] render(PrometheusRegistry registry) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.builder().build().write(text, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toByteArray();
    }
}
