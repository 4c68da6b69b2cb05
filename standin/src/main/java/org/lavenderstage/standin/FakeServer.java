package org.lavenderstage.standin;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.standin.fault.InjectedFaultException;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;

/** HTTP server of a fake, with a route that sets the faults of the fake. */
public final class FakeServer implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final long REQUEST_TIMEOUT_MILLIS = 120_000;
  private static final long MAX_REQUEST_BYTES = 64L * 1024 * 1024;
  private static final int BLOCKING_THREADS = 64;

  private final Server server;

  private FakeServer(Server server) {
    this.server = server;
  }

  /** Handles calls whose response is a schema message. */
  @FunctionalInterface
  public interface JsonHandler {
    /**
     * Handles one call.
     *
     * @param context path and query of the call
     * @param body complete body of the call
     * @return the response, a schema message
     * @throws MalformedMessageException where the body cannot be decoded
     */
    Object handle(ServiceRequestContext context, byte[] body) throws MalformedMessageException;
  }

  /**
   * Returns a builder of a server on the loopback address.
   *
   * @param port port to listen on, 0 for any free port
   * @param faults faults that the route of the server sets
   * @return the builder
   */
  public static ServerBuilder builder(int port, FaultSwitch faults) {
    return Server.builder()
        .http(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
        .requestTimeoutMillis(REQUEST_TIMEOUT_MILLIS)
        .maxRequestLength(MAX_REQUEST_BYTES)
        .blockingTaskExecutor(BLOCKING_THREADS)
        .gracefulShutdownTimeout(Duration.ZERO, Duration.ofMillis(1))
        .service(
            "/faults/{kind}",
            json(
                (context, body) -> {
                  FaultSwitch.Kind kind =
                      FaultSwitch.Kind.of(
                          Optional.ofNullable(context.pathParam("kind")).orElse(""));
                  faults.set(kind, (int) number(context, "value", 1));
                  return faults.value(kind);
                }));
  }

  /**
   * Starts a server.
   *
   * @param builder builder with the routes of the server
   * @return the running server
   */
  public static FakeServer start(ServerBuilder builder) {
    Server server = builder.build();
    server.start().join();
    return new FakeServer(server);
  }

  /**
   * Creates a service that runs on a blocking thread and responds with JSON. An injected fault
   * closes the connection without a response, as a crashed process would.
   *
   * @param handler handles the calls
   * @return the service
   */
  public static HttpService json(JsonHandler handler) {
    return (context, request) ->
        HttpResponse.of(
            request
                .aggregate()
                .thenComposeAsync(
                    aggregated -> respond(context, aggregated, handler),
                    context.blockingTaskExecutor()));
  }

  private static CompletableFuture<HttpResponse> respond(
      ServiceRequestContext context, AggregatedHttpRequest request, JsonHandler handler) {
    HttpResponse response;
    try {
      Object message = handler.handle(context, request.content().array());
      response = HttpResponse.of(HttpStatus.OK, MediaType.JSON, JsonCodec.encode(message));
    } catch (InjectedFaultException e) {
      response = HttpResponse.ofFailure(e);
    } catch (MalformedMessageException | IllegalArgumentException e) {
      response = HttpResponse.of(HttpStatus.BAD_REQUEST);
    }
    return CompletableFuture.completedFuture(response);
  }

  /**
   * Returns a number from the query.
   *
   * @param context the call
   * @param name name of the parameter
   * @param defaultValue value if the parameter is absent
   * @return the number
   */
  public static long number(ServiceRequestContext context, String name, long defaultValue) {
    String value = context.queryParam(name);
    return value == null ? defaultValue : Long.parseLong(value);
  }

  /**
   * Returns the address at which the server listens.
   *
   * @return host and port
   */
  public String address() {
    return HOST + ":" + server.activeLocalPort();
  }

  /** Stops listening; does not wait for the threads of the server to end. */
  @Override
  public void close() {
    CompletableFuture<?> unused = server.stop();
  }
}
