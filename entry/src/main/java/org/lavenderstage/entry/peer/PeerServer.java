package org.lavenderstage.entry.peer;

import java.io.BufferedOutputStream;
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
import org.lavenderstage.http.ClientBudget;
import org.lavenderstage.wire.codec.PeerCodec;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.PeerMessage;

/** Server of the peer links. A thread per connection reads messages and writes the replies. */
public final class PeerServer implements AutoCloseable {
  private static final int BACKLOG = 64;

  /** Number of connections where the caller sets none. */
  private static final int DEFAULT_MAX_CONNECTIONS = 1_024;

  private static final long FAILURE_DELAY_NANOS = 100_000_000;

  private final ServerSocket socket;
  private final PeerHandler handler;
  private final ClientBudget.Group group;
  private final Set<FrameReader> connections = ConcurrentHashMap.newKeySet();

  /**
   * Creates a server with a budget of its own and binds its port.
   *
   * @param host address to listen on
   * @param port port to listen on, 0 for any free port
   * @param handler handles the messages
   */
  public PeerServer(String host, int port, PeerHandler handler) {
    this(host, port, ClientBudget.ofProcess(counts -> {}).group(DEFAULT_MAX_CONNECTIONS), handler);
  }

  /**
   * Creates a server and binds its port.
   *
   * @param host address to listen on
   * @param port port to listen on, 0 for any free port
   * @param group bounds the connections and what they hold
   * @param handler handles the messages
   */
  public PeerServer(String host, int port, ClientBudget.Group group, PeerHandler handler) {
    this.handler = handler;
    this.group = group;
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
        open(socket.accept());
      } catch (IOException | RuntimeException | Error e) {
        if (!socket.isClosed()) {
          // A lack of descriptors or threads passes; the next connection may succeed.
          EventLog.warn(LogEvent.DUTY_FAILED, "duty", "peer-accept", "cause", e);
          LockSupport.parkNanos(FAILURE_DELAY_NANOS);
        }
      }
    }
  }

  /**
   * Opens a connection, and closes those whose peers have not sent a frame or read a reply in time.
   */
  private void open(Socket connection) {
    connections.stream().filter(FrameReader::isOverdue).forEach(FrameReader::close);
    Optional<ClientBudget.Account> account = group.open(() -> disconnect(connection));
    if (account.isEmpty()) {
      disconnect(connection);
      return;
    }
    try {
      Thread.ofPlatform().daemon().name("peer-serve").start(() -> serve(connection, account.get()));
    } catch (RuntimeException | Error e) {
      account.get().close();
      disconnect(connection);
      throw e;
    }
  }

  private static void disconnect(Socket connection) {
    try {
      connection.close();
    } catch (IOException e) {
      // the socket is discarded anyway
    }
  }

  private void serve(Socket connection, ClientBudget.Account account) {
    FrameReader reader = new FrameReader(connection, account);
    connections.add(reader);
    try (account;
        reader;
        DataOutputStream output =
            new DataOutputStream(new BufferedOutputStream(connection.getOutputStream()))) {
      reader.open();
      while (true) {
        Optional<PeerMessage> reply = handle(reader.read(), account);
        if (reply.isPresent()) {
          reader.startReply();
          PeerCodec.write(output, reply.get());
          reader.endReply();
        }
      }
    } catch (IOException e) {
      // the peer closed the connection or failed; it connects again when needed
    } catch (RuntimeException | Error e) {
      EventLog.warn(LogEvent.DUTY_FAILED, "duty", "peer-serve", "cause", e);
    } finally {
      connections.remove(reader);
    }
  }

  /** Handles a frame, and releases it: a peer that does not read its reply must not hold it. */
  private Optional<PeerMessage> handle(FrameReader.Frame frame, ClientBudget.Account account)
      throws IOException {
    try {
      return PeerCodec.decode(frame.content()).flatMap(handler::handle);
    } finally {
      account.release(frame.heldBytes());
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
      connections.forEach(FrameReader::close);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
