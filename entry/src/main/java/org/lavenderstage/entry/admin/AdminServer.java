package org.lavenderstage.entry.admin;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.lavenderstage.wire.codec.JsonCodec;

/**
 * Serves {@code /healthz}, {@code /readyz}, {@code /metrics}, {@code /state} and {@code POST
 * /drain} to operators.
 */
public final class AdminServer implements AutoCloseable {
  private final BooleanSupplier ready;
  private final Supplier<StateDump> state;
  private final Runnable drain;
  private final EntryMetrics metrics;
  private final Server server;

  /**
   * Starts the server.
   *
   * @param address address and port to listen on, port 0 for any free port
   * @param ready returns whether the entry accepts new work
   * @param state returns a dump of the entry's state
   * @param drain starts to drain the entry without blocking
   * @param metrics the entry's metrics
   */
  public AdminServer(
      InetSocketAddress address,
      BooleanSupplier ready,
      Supplier<StateDump> state,
      Runnable drain,
      EntryMetrics metrics) {
    this.ready = ready;
    this.state = state;
    this.drain = drain;
    this.metrics = metrics;
    this.server =
        Server.builder()
            .http(address)
            .service("/healthz", (context, request) -> HttpResponse.of("ok\n"))
            .service("/readyz", (context, request) -> readiness())
            .service("/state", (context, request) -> dump())
            .route()
            .post("/drain")
            .build((context, request) -> beginDrain())
            .service("/metrics", (context, request) -> exposition())
            .build();
    server.start().join();
  }

  private HttpResponse readiness() {
    return ready.getAsBoolean()
        ? HttpResponse.of("ready\n")
        : HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE, MediaType.PLAIN_TEXT_UTF_8, "unready\n");
  }

  private HttpResponse beginDrain() {
    drain.run();
    return HttpResponse.of(HttpStatus.ACCEPTED, MediaType.PLAIN_TEXT_UTF_8, "draining\n");
  }

  private HttpResponse dump() {
    return HttpResponse.of(HttpStatus.OK, MediaType.JSON, JsonCodec.encode(state.get()));
  }

  private HttpResponse exposition() {
    return HttpResponse.of(
        HttpStatus.OK,
        MediaType.parse(PrometheusTextFormatWriter.CONTENT_TYPE),
        HttpData.ofUtf8(metrics.text()));
  }

  /**
   * Returns the port that the server listens on.
   *
   * @return the port
   */
  public int port() {
    return server.activeLocalPort();
  }

  /** Stops the server without waiting for its threads to end. */
  @Override
  public void close() {
    CompletableFuture<?> unused = server.stop();
  }
}
