package org.lavenderstage.clients.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import org.lavenderstage.clients.Headers;

/** Executor whose responses, including transport faults, are written byte by byte by a script. */
final class ScriptedExecutor implements AutoCloseable {
  /** Handles the requests of a {@link ScriptedExecutor}. */
  interface Script {
    /**
     * Responds to the call with the given number, from 1; returns whether to keep the connection.
     */
    boolean answer(int call, String id, OutputStream out) throws IOException, InterruptedException;
  }

  private final ServerSocket socket;
  private final Script script;
  private final List<String> ids = new CopyOnWriteArrayList<>();
  private final List<Socket> connections = new CopyOnWriteArrayList<>();

  ScriptedExecutor(Script script) throws IOException {
    this.script = script;
    this.socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::acceptAll);
  }

  private void acceptAll() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        connections.add(connection);
        Thread.ofVirtual().start(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection;
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII))) {
      boolean keepAlive = true;
      while (keepAlive) {
        String id = readRequest(in);
        ids.add(id);
        keepAlive = script.answer(ids.size(), id, connection.getOutputStream());
      }
    } catch (IOException e) {
      // the client closed the connection
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String readRequest(BufferedReader in) throws IOException {
    String id = "";
    int length = 0;
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith(Headers.REQUEST_ID + ":")) {
        id = line.substring(line.indexOf(':') + 1).strip();
      }
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
      }
      line = in.readLine();
    }
    if (line == null) {
      throw new IOException("closed");
    }
    for (int i = 0; i < length; i++) {
      in.read();
    }
    return id;
  }

  static void write(OutputStream out, String status, String id, int length, String body)
      throws IOException {
    String idHeader = id.isEmpty() ? "" : Headers.REQUEST_ID + ": " + id + "\r\n";
    String lengthHeader = length < 0 ? "" : "content-length: " + length + "\r\n";
    String head =
        "HTTP/1.1 "
            + status
            + "\r\ncontent-type: text/plain\r\n"
            + idHeader
            + lengthHeader
            + "\r\n";
    out.write((head + body).getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  List<String> ids() {
    return List.copyOf(ids);
  }

  int connections() {
    return connections.size();
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
