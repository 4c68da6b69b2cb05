package org.lavenderstage.entry.admin;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleSupplier;

/** Registry of an entry's metrics in the text format of Prometheus. */
public final class EntryMetrics {
  private static final double NANOS_PER_SECOND = 1e9;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Histogram latency =
      Histogram.builder()
          .name("lavenderstage_request_seconds")
          .help("Time from a request's arrival to its final answer.")
          .labelNames("service", "outcome")
          .register(registry);

  /** Creates a registry without values. */
  public EntryMetrics() {}

  /**
   * Records the latency of an answered request.
   *
   * @param service name of the service
   * @param outcome value of the outcome header
   * @param nanos time from arrival to answer in nanoseconds
   */
  public void answered(String service, String outcome, long nanos) {
    latency.labelValues(service, outcome).observe(nanos / NANOS_PER_SECOND);
  }

  /**
   * Registers a gauge.
   *
   * @param name name of the metric
   * @param help description with the unit, shown to operators
   * @param value returns the current value
   */
  public void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }

  /**
   * Returns all metrics in the text format of Prometheus.
   *
   * @return the exposition text
   */
  public String text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }
}
