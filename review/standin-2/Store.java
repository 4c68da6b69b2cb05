package review2;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in of the platform's metadata store, as PROTOCOL.md describes it: a log with keyed topics. It answers
 * appends, reads and lists of the newest records, in memory, and keeps to the limits of its settings.
 */
final class Store implements AutoCloseable {
  static final int RECORD_BYTES = 262_144;
  static final int CALL_BYTES = 2_097_152;
  private static final int READ_BYTES = 1_024 * 1_024;
  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1_000_000;
  private static final int MAX_WAIT_MILLIS = 30_000;
  private static final int SILENT_LISTING_MILLIS = 4_500;

  private record Item(String key, byte[] value, long offset) {}

  private static final class Topic {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Item> newest = new TreeMap<>();
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private final Map<String, Long> listingMillis = new HashMap<>();
  private final Record record;
  private final Http server;
  private final int answerMillis;
  private final Thread expiry;

  Store(Record record, int answerMillis) throws IOException {
    this.record = record;
    this.answerMillis = answerMillis;
    server = new Http(0, this::handle);
    expiry = Thread.ofPlatform().daemon().start(this::expireListings);
  }

  String address() {
    return server.address();
  }

  /** Writes a record of the operator or of an executor. A value of null deletes the key. */
  synchronized void put(String topic, String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    int valueBytes = value == null ? 0 : value.length;
    ByteBuffer content = ByteBuffer.allocate(1 + name.length + valueBytes);
    content.put((byte) name.length).put(name);
    if (value != null) {
      content.put(value);
    }
    add(topic, content.array());
    notifyAll();
  }

  private void add(String name, byte[] content) {
    Topic topic = topic(name);
    long offset = topic.records.size();
    topic.records.add(content);
    int keyBytes = content[0] & 0xff;
    String key = new String(content, 1, keyBytes, StandardCharsets.UTF_8);
    if (content.length == 1 + keyBytes) {
      topic.newest.remove(key);
    } else {
      byte[] value = new byte[content.length - 1 - keyBytes];
      System.arraycopy(content, 1 + keyBytes, value, 0, value.length);
      topic.newest.put(key, new Item(key, value, offset));
    }
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, key -> new Topic());
  }

  private void handle(HttpExchange call) throws IOException {
    Map<String, String> query = Http.query(call);
    byte[] body = call.getRequestBody().readAllBytes();
    Http.sleep(answerMillis);
    switch (call.getRequestURI().getPath()) {
      case "/log-append" -> append(call, query, body);
      case "/log-read" -> read(call, query);
      case "/log-newest" -> newest(call, query);
      // Not part of the protocol of entries: the executors' own way to the store.
      case "/list-executor" -> list(call, query, body);
      default -> Http.answer(call, 404, new byte[0]);
    }
  }

  private void append(HttpExchange call, Map<String, String> query, byte[] body) throws IOException {
    String name = query.get("topic");
    List<byte[]> records = new ArrayList<>();
    ByteBuffer in = ByteBuffer.wrap(body);
    int largest = 0;
    while (in.remaining() >= 4) {
      byte[] content = new byte[in.getInt()];
      in.get(content);
      largest = Math.max(largest, content.length);
      records.add(content);
    }
    if (name.equals("keyed.op") || name.equals("keyed.servers")) {
      Http.answer(call, 403, Http.json().createObjectNode());
      return;
    }
    if (largest > RECORD_BYTES || body.length > CALL_BYTES) {
      record.line("store", "append refused, largest record " + largest + " bytes, call " + body.length + " bytes");
      Http.answer(call, 400, Http.json().createObjectNode().put("reason", "size"));
      return;
    }
    ObjectNode answer = Http.json().createObjectNode();
    int status = 200;
    synchronized (this) {
      Topic topic = topic(name);
      long end = topic.records.size();
      if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
        status = 412;
      } else {
        answer.put("offset", end);
        records.forEach(content -> add(name, content));
        notifyAll();
      }
      answer.put("end", topic.records.size());
    }
    Http.answer(call, status, answer);
  }

  private void read(HttpExchange call, Map<String, String> query) throws IOException {
    long from = Long.parseLong(query.get("from"));
    long waitMillis = Math.min(MAX_WAIT_MILLIS, Long.parseLong(query.getOrDefault("wait_ms", "0")));
    long until = System.nanoTime() + waitMillis * 1_000_000;
    List<byte[]> found = new ArrayList<>();
    long end;
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      long left;
      while (topic.records.size() <= from && (left = (until - System.nanoTime()) / 1_000_000) > 0) {
        try {
          wait(left);
        } catch (InterruptedException e) {
          return;
        }
      }
      end = topic.records.size();
      int bytes = 0;
      for (long i = from; i < end && bytes < READ_BYTES; i++) {
        byte[] content = topic.records.get((int) i);
        bytes += 4 + content.length;
        found.add(content);
      }
    }
    ByteBuffer out = ByteBuffer.allocate(16 + found.stream().mapToInt(content -> 4 + content.length).sum());
    out.putLong(end).putLong(0);
    found.forEach(content -> out.putInt(content.length).put(content));
    Http.answer(call, 200, out.array());
  }

  private void newest(HttpExchange call, Map<String, String> query) throws IOException {
    ObjectNode answer = Http.json().createObjectNode();
    ArrayNode items = answer.putArray("items");
    synchronized (this) {
      Topic topic = topic(query.get("topic"));
      String after = query.get("depends_on");
      int bytes = 0;
      boolean more = false;
      for (Item item : (after == null ? topic.newest : topic.newest.tailMap(after, false)).values()) {
        if (items.size() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
          more = true;
          break;
        }
        bytes += item.value().length;
        items
            .addObject()
            .put("key", item.key())
            .put("value", Base64.getEncoder().encodeToString(item.value()))
            .put("offset", item.offset());
      }
      answer.put("has_more", more).put("end", topic.records.size());
    }
    Http.answer(call, 200, answer);
  }

  private void list(HttpExchange call, Map<String, String> query, byte[] body) throws IOException {
    String id = query.get("id");
    boolean left = body.length == 0;
    synchronized (this) {
      if (left) {
        listingMillis.remove(id);
      } else {
        listingMillis.put(id, System.currentTimeMillis());
      }
    }
    put("keyed.servers", id, left ? null : body);
    Http.answer(call, 200, new byte[0]);
  }

  /** Removes the entries of executors that have not written for three heartbeats. */
  private void expireListings() {
    while (true) {
      Http.sleep(100);
      List<String> silent = new ArrayList<>();
      synchronized (this) {
        long now = System.currentTimeMillis();
        listingMillis.forEach(
            (id, millis) -> {
              if (now - millis > SILENT_LISTING_MILLIS) {
                silent.add(id);
              }
            });
        silent.forEach(listingMillis::remove);
      }
      silent.forEach(id -> put("keyed.servers", id, null));
    }
  }

  @Override
  public void close() {
    server.close();
  }
}
