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
import org.lavenderstage.wire.codec.PeerCodec;
import org.lavenderstage.wire.peer.PeerMessage;

/** Serves the peer links: one thread for each connection, which reads frames and writes replies. */
public final class PeerServer implements AutoCloseable {
  private static final int BACKLOG = 64;

  private final ServerSocket socket;
  private final PeerHandler handler;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  /**
   * Binds the port.
   *
   * @param host address to listen on
   * @param port the port, 0 for a free one
   * @param handler takes the messages
   */
  public PeerServer(String host, int port, PeerHandler handler) {
    this.handler = handler;
    try {
      socket = new ServerSocket(port, BACKLOG, InetAddress.getByName(host));
    } catch (IOException e) {
      throw new UncheckedIOException("cannot listen on " + host + ":" + port, e);
    }
  }

  /** Starts to accept links; until then peers wait. */
  public void start() {
    Thread.ofPlatform().daemon().name("peer-accept").start(this::acceptAll);
  }

  private void acceptAll() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        connections.add(connection);
        Thread.ofPlatform().daemon().name("peer-serve").start(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection;
        DataInputStream in =
            new DataInputStream(new BufferedInputStream(connection.getInputStream()));
        DataOutputStream out =
            new DataOutputStream(new BufferedOutputStream(connection.getOutputStream()))) {
      connection.setTcpNoDelay(true);
      while (true) {
        Optional<PeerMessage> reply = PeerCodec.read(in).flatMap(handler::handle);
        if (reply.isPresent()) {
          PeerCodec.write(out, reply.get());
        }
      }
    } catch (IOException e) {
      // the peer closed the link or died; it opens a new one when it needs it
    } finally {
      connections.remove(connection);
    }
  }

  /**
   * Returns the port.
   *
   * @return the port that the server listens on
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
