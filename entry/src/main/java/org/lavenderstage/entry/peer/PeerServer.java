package org.lavenderstage.entry.peer;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import org.lavenderstage.wire.codec.PeerCodec;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.PeerMessage;

/** Server of the peer links. A thread per connection reads messages and writes the replies. */
public final class PeerServer implements AutoCloseable {
  private static final int BACKLOG = 64;
  private static final long FAILURE_DELAY_NANOS = 100_000_000;

  private final ServerSocket socket;
  private final PeerHandler handler;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  /**
   * Creates a server and binds its port.
   *
   * @param host address to listen on
   * @param port port to listen on, 0 for any free port
   * @param handler handles the messages
   */
  public PeerServer(String host, int port, PeerHandler handler) {
    this.handler = handler;
    try {
      socket = new ServerSocket(port, BACKLOG, InetAddress.getByName(host));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot bind the peer port on " + host + ":" + port, e);
    }
  }

  /** Starts to accept connections. Those opened earlier wait in the backlog. */
  public void start() {
    Thread.ofPlatform().daemon().name("peer-accept").start(this::acceptAll);
  }

  private void acceptAll() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        connections.add(connection);
        Thread.ofPlatform().daemon().name("peer-serve").start(() -> serve(connection));
      } catch (IOException | RuntimeException | Error e) {
        if (!socket.isClosed()) {
          // A lack of descriptors or threads passes; the next connection may succeed.
          EventLog.warn(LogEvent.DUTY_FAILED, "duty", "peer-accept", "cause", e);
          LockSupport.parkNanos(FAILURE_DELAY_NANOS);
        }
      }
    }
  }

  private void serve(Socket connection) {
    try (connection;
        DataInputStream input =
            new DataInputStream(new BufferedInputStream(connection.getInputStream()));
        DataOutputStream output =
            new DataOutputStream(new BufferedOutputStream(connection.getOutputStream()))) {
      connection.setTcpNoDelay(true);
      while (true) {
        Optional<PeerMessage> reply = PeerCodec.read(input).flatMap(handler::handle);
        if (reply.isPresent()) {
          PeerCodec.write(output, reply.get());
        }
      }
    } catch (IOException e) {
      // the peer closed the connection or failed; it connects again when needed
    } catch (RuntimeException | Error e) {
      EventLog.warn(LogEvent.DUTY_FAILED, "duty", "peer-serve", "cause", e);
    } finally {
      connections.remove(connection);
    }
  }

  /**
   * Returns the port that the server listens on.
   *
   * @return the port
   */
  public int port() {
    return socket.getLocalPort();
  }

  @Override
  public void close() {
    try {
      socket.close();
      for (Socket connection : connections) {
        connection.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
