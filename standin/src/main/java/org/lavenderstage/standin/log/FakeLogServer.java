package org.lavenderstage.standin.log;

import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.standin.FakeServer;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.standin.fault.InjectedFaultException;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.platform.AppendAnswer;
import org.lavenderstage.wire.platform.AppendBody;

/** The fake log as an HTTP server. */
public final class FakeLogServer implements AutoCloseable {
  private static final int DEFAULT_PAGE_RECORDS = 1000;

  private final FakeLog log;
  private final FakeServer server;

  /**
   * Starts the server.
   *
   * @param port port to listen on, 0 for any free port
   * @param retentionMillis time for which records are kept, in milliseconds
   * @param faults faults to inject
   * @param seed seed that selects the calls into which faults are injected
   */
  public FakeLogServer(int port, long retentionMillis, FaultSwitch faults, long seed) {
    log = new FakeLog(System::currentTimeMillis, retentionMillis, faults, seed);
    server =
        FakeServer.start(
            FakeServer.builder(port, faults)
                .service("/streams/{stream}", FakeServer.json(this::handle)));
  }

  private Object handle(ServiceRequestContext context, byte[] body)
      throws MalformedMessageException {
    String stream = context.pathParam("stream");
    try {
      return switch (context.method()) {
        case POST -> {
          AppendBody append = JsonCodec.decode(body, AppendBody.class);
          yield new AppendAnswer(log.append(stream, append.bytes()));
        }
        case GET -> read(context, stream);
        default -> throw new IllegalArgumentException("no such method");
      };
    } catch (PlatformUnavailableException e) {
      throw new InjectedFaultException(e.getMessage());
    }
  }

  private Object read(ServiceRequestContext context, String stream)
      throws PlatformUnavailableException {
    return log.read(
        stream,
        FakeServer.number(context, "from", 0),
        (int) FakeServer.number(context, "max", DEFAULT_PAGE_RECORDS),
        Duration.ofMillis(FakeServer.number(context, "wait", 0)));
  }

  /**
   * Returns the address at which the server listens.
   *
   * @return host and port
   */
  public String address() {
    return server.address();
  }

  /**
   * Returns the log behind the server.
   *
   * @return the log
   */
  public FakeLog log() {
    return log;
  }

  @Override
  public void close() {
    server.close();
  }
}
