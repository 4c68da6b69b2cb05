package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** An HTTP server on a loopback port, and what the stand-ins share of HTTP and JSON. */
final class Http implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
  }

  /** Handles a call. */
  interface Handler {
    void handle(HttpExchange call) throws IOException;
  }

  private final HttpServer server;

  Http(int port, Handler handler) throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_024);
    server.setExecutor(Executors.newCachedThreadPool(task -> {
          Thread thread = new Thread(task);
          thread.setDaemon(true);
          return thread;
        }));
    server.createContext(
        "/",
        call -> {
          try {
            handler.handle(call);
          } finally {
            call.close();
          }
        });
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  static ObjectMapper json() {
    return JSON;
  }

  static Map<String, String> query(HttpExchange call) {
    Map<String, String> query = new HashMap<>();
    String text = call.getRequestURI().getRawQuery();
    if (text != null) {
      for (String pair : text.split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  static void answer(HttpExchange call, int status, byte[] body) throws IOException {
    call.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    if (body.length > 0) {
      call.getResponseBody().write(body);
    }
  }

  static void answer(HttpExchange call, int status, JsonNode body) throws IOException {
    call.getResponseHeaders().set("Content-Type", "application/json");
    answer(call, status, JSON.writeValueAsBytes(body));
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
