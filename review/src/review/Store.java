package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's metadata store: keyed topics with one partition, as PROTOCOL.md tells
 * them. It is never down, slow or short of room; it keeps the whole history of the case.
 */
final class Store implements AutoCloseable {
  /** Limits that the settings name: record_bytes, call_bytes, append_ms and part_mb_per_s. */
  static final int RECORD_BYTES = 262_144;

  static final int CALL_BYTES = 2_097_152;
  private static final int APPEND_MILLIS = 3;
  private static final int PARTITION_BYTES_PER_MILLI = 20_000;

  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1_000_000;
  private static final int DEFAULT_READ_KB = 1_024;
  private static final int CONTENT_TOO_LARGE = 413;

  private final HttpServer server;
  private final Transcript transcript;
  private final Map<String, Topic> topics = new HashMap<>();

  /** The records of a topic, and the newest one of each key. */
  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, Integer> newest = new TreeMap<>();
  }

  Store(Transcript transcript) throws IOException {
    this.transcript = transcript;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private synchronized Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  private void handle(HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    Map<String, String> query = Json.query(exchange);
    try {
      switch (exchange.getRequestURI().getPath()) {
        case "/log-append" -> append(exchange, query, body);
        case "/log-read" -> read(exchange, query);
        case "/log-newest" -> newest(exchange, query);
        default -> Json.respond(exchange, 404, Json.object());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void append(HttpExchange exchange, Map<String, String> query, byte[] body)
      throws IOException, InterruptedException {
    String name = query.get("topic");
    List<byte[]> records = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(body);
    int largest = 0;
    while (in.remaining() >= 4) {
      byte[] record = new byte[in.getInt()];
      in.get(record);
      records.add(record);
      largest = Math.max(largest, record.length);
    }
    if (largest > RECORD_BYTES || body.length > CALL_BYTES) {
      transcript.write(
          "store",
          "413 for an append to " + name + ": " + body.length + " bytes, largest record " + largest);
      Json.respond(exchange, CONTENT_TOO_LARGE, Json.object().put("reason", "size"));
      return;
    }
    Topic topic = topic(name);
    ObjectNode answer = Json.object();
    int status = 200;
    synchronized (topic) {
      String at = query.get("at");
      if (at != null && Long.parseLong(at) != topic.records.size()) {
        status = 412;
        answer.put("end", topic.records.size());
      } else {
        Thread.sleep(APPEND_MILLIS + body.length / PARTITION_BYTES_PER_MILLI);
        answer.put("offset", topic.records.size());
        records.forEach(record -> add(topic, record));
        answer.put("end", topic.records.size());
        topic.notifyAll();
      }
    }
    Json.respond(exchange, status, answer);
  }

  private static void add(Topic topic, byte[] record) {
    int keyLength = record[0] & 0xff;
    String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
    if (record.length == 1 + keyLength) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, topic.records.size());
    }
    topic.records.add(record);
  }

  /** Writes a record as the operator or an executor; without a value the key is dropped. */
  void put(String name, String key, byte[] value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + keyBytes.length + value.length);
    record.put((byte) keyBytes.length).put(keyBytes).put(value);
    Topic topic = topic(name);
    synchronized (topic) {
      add(topic, record.array());
      topic.notifyAll();
    }
  }

  private void read(HttpExchange exchange, Map<String, String> query)
      throws IOException, InterruptedException {
    Topic topic = topic(query.get("topic"));
    int from = Integer.parseInt(query.get("from"));
    long waitUntil =
        Transcript.nowMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    int maxBytes =
        1_024 * Integer.parseInt(query.getOrDefault("max_kb", Integer.toString(DEFAULT_READ_KB)));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (topic) {
      long left = waitUntil - Transcript.nowMillis();
      while (from >= topic.records.size() && left > 0) {
        topic.wait(left);
        left = waitUntil - Transcript.nowMillis();
      }
      out.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
      for (int i = from; i < topic.records.size(); i++) {
        byte[] record = topic.records.get(i);
        if (i > from && out.size() + record.length > maxBytes) {
          break;
        }
        out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
        out.writeBytes(record);
      }
    }
    Json.respond(exchange, 200, "application/octet-stream", out.toByteArray());
  }

  private void newest(HttpExchange exchange, Map<String, String> query) throws IOException {
    Topic topic = topic(query.get("topic"));
    String after = query.get("depends_on");
    ObjectNode answer = Json.object();
    ArrayNode items = answer.putArray("items");
    synchronized (topic) {
      int bytes = 0;
      boolean more = false;
      Map<String, Integer> rest = after == null ? topic.newest : topic.newest.tailMap(after, false);
      for (Map.Entry<String, Integer> entry : rest.entrySet()) {
        byte[] record = topic.records.get(entry.getValue());
        if (items.size() == PAGE_ITEMS || (items.size() > 0 && bytes + record.length > PAGE_BYTES)) {
          more = true;
          break;
        }
        bytes += record.length;
        int start = 1 + (record[0] & 0xff);
        byte[] value = java.util.Arrays.copyOfRange(record, start, record.length);
        items
            .addObject()
            .put("key", entry.getKey())
            .put("value", Base64.getEncoder().encodeToString(value))
            .put("offset", entry.getValue());
      }
      answer.put("has_more", more).put("end", topic.records.size());
    }
    Json.respond(exchange, 200, answer);
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
