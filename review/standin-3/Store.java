import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's store, as far as keyed topics are used: a log with conditional appends. */
final class Store {
  private static final int PAGE = 500;
  private static final long APPEND_MILLIS = 3;

  private final HttpServer server;
  private final Map<String, Topic> topics = new HashMap<>();

  private static final class Topic {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Integer> newest = new TreeMap<>();
  }

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
    server.createContext("/", this::handle);
    server.start();
  }

  static Thread daemon(Runnable task) {
    return Thread.ofPlatform().daemon().unstarted(task);
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Appends a record as the operator or an executor does. An empty value drops the key. */
  synchronized void put(String topicName, String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] record = new byte[1 + name.length + value.length];
    record[0] = (byte) name.length;
    System.arraycopy(name, 0, record, 1, name.length);
    System.arraycopy(value, 0, record, 1 + name.length, value.length);
    add(topic(topicName), record);
    notifyAll();
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  private static void add(Topic topic, byte[] record) {
    int keyLength = record[0] & 0xff;
    String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
    topic.records.add(record);
    if (record.length == 1 + keyLength) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, topic.records.size() - 1);
    }
  }

  private static Map<String, String> query(HttpExchange call) {
    Map<String, String> query = new HashMap<>();
    String raw = call.getRequestURI().getRawQuery();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int equals = part.indexOf('=');
      query.put(
          part.substring(0, equals),
          URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private void handle(HttpExchange call) {
    try (call) {
      byte[] body = call.getRequestBody().readAllBytes();
      Map<String, String> query = query(call);
      switch (call.getRequestURI().getPath()) {
        case "/log-append" -> append(call, query, body);
        case "/log-read" -> read(call, query);
        case "/log-newest" -> newest(call, query);
        default -> answer(call, 400, new byte[0]);
      }
    } catch (IOException e) {
      // the caller has left
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void answer(HttpExchange call, int status, byte[] body) throws IOException {
    call.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    call.getResponseBody().write(body);
  }

  private static void answer(HttpExchange call, int status, Map<String, Object> body)
      throws IOException {
    answer(call, status, Json.write(body).getBytes(StandardCharsets.UTF_8));
  }

  private void append(HttpExchange call, Map<String, String> query, byte[] body)
      throws IOException, InterruptedException {
    Map<String, Object> answer = new LinkedHashMap<>();
    int status = 200;
    Thread.sleep(APPEND_MILLIS);
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      int end = topic.records.size();
      if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
        status = 412;
        answer.put("end", (long) end);
      } else {
        ByteBuffer in = ByteBuffer.wrap(body);
        while (in.remaining() >= 4) {
          byte[] record = new byte[in.getInt()];
          in.get(record);
          add(topic, record);
        }
        answer.put("offset", (long) end);
        answer.put("end", (long) topic.records.size());
        notifyAll();
      }
    }
    answer(call, status, answer);
  }

  private void read(HttpExchange call, Map<String, String> query)
      throws IOException, InterruptedException {
    int from = Integer.parseInt(query.get("from"));
    long until =
        System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      long left = until - System.nanoTime() / 1_000_000;
      while (topic.records.size() <= from && left > 0) {
        wait(left);
        left = until - System.nanoTime() / 1_000_000;
      }
      out.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
      for (int i = from; i < topic.records.size() && out.size() < 1_024 * 1_024; i++) {
        byte[] record = topic.records.get(i);
        out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
        out.writeBytes(record);
      }
    }
    answer(call, 200, out.toByteArray());
  }

  private void newest(HttpExchange call, Map<String, String> query) throws IOException {
    Map<String, Object> answer = new LinkedHashMap<>();
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      String after = query.get("depends_on");
      List<Object> items = new ArrayList<>();
      long bytes = 0;
      boolean more = false;
      for (var entry : (after == null ? topic.newest : topic.newest.tailMap(after, false)).entrySet()) {
        if (items.size() >= PAGE || bytes > 700_000) {
          more = true;
          break;
        }
        byte[] record = topic.records.get(entry.getValue());
        int start = 1 + (record[0] & 0xff);
        byte[] value = java.util.Arrays.copyOfRange(record, start, record.length);
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", entry.getKey());
        item.put("value", Base64.getEncoder().encodeToString(value));
        item.put("offset", (long) entry.getValue());
        items.add(item);
        bytes += record.length;
      }
      answer.put("items", items);
      answer.put("has_more", more);
      answer.put("end", (long) topic.records.size());
    }
    answer(call, 200, answer);
  }
}
