package org.lavenderstage.entry.peer;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Optional;
import org.lavenderstage.wire.codec.PeerCodec;
import org.lavenderstage.wire.peer.PeerMessage;

/** A link to one peer. A call connects first unless a connection is open. */
public final class PeerLink implements AutoCloseable {
  private final String address;
  private final int timeoutMillis;
  private Socket socket;
  private DataInputStream in;
  private DataOutputStream out;

  /**
   * Creates a link that is not connected yet.
   *
   * @param address host and port of the peer
   * @param timeoutMillis timeout of connecting and of reading a reply, in milliseconds each
   */
  public PeerLink(String address, int timeoutMillis) {
    this.address = address;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * Sends a message without waiting for a reply.
   *
   * @param message the message
   * @throws IOException if the connection fails; it is closed
   */
  public synchronized void send(PeerMessage message) throws IOException {
    try {
      connect();
      PeerCodec.write(out, message);
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  /**
   * Sends a message and waits for its reply.
   *
   * @param message the message
   * @return the reply, empty if its kind is unknown to this version
   * @throws IOException if the connection fails or the reply times out; the connection is closed
   */
  public synchronized Optional<PeerMessage> exchange(PeerMessage message) throws IOException {
    send(message);
    try {
      return PeerCodec.read(in);
    } catch (IOException e) {
      close();
      throw e;
    }
  }

  private void connect() throws IOException {
    if (socket != null) {
      return;
    }
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address.substring(colon + 1));
    socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    socket.connect(new InetSocketAddress(host, port), timeoutMillis);
    in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
  }

  @Override
  public synchronized void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // the socket is discarded anyway
      }
      socket = null;
    }
  }
}
