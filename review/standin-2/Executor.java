package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in of an executor, a process of its own, as PROTOCOL.md describes it: it starts and stops tasks on orders,
 * holds them under a lease on its own clock, lists what runs and what has ended, guards its capacity, and writes its
 * entry to the store. The `spec` of a job says what its tasks need: `work=MS` or `lasts`, `cpu=N`, `mem=N`.
 */
final class Executor {
  private static final long HOLD_MAX_MILLIS = 6_000;
  private static final long STOP_MILLIS = 50;
  private static final long STARTUP_MILLIS = 200;
  private static final long CHECKPOINT_MILLIS = 2_000;
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final long DRAIN_MILLIS = 3_000;
  private static final int CPU = Integer.getInteger("cpu", 32_000);
  private static final boolean GUARDS = !Boolean.getBoolean("unguarded");
  private static final int MEMORY_MB = 192_000;
  private static final int MAX_LISTED_ENDS = 500;

  private static final class Run {
    String task;
    int attempt;
    Map<String, String> needs;
    long startedMillis;
    String checkpoint = "";
    long stopAtMillis = Long.MAX_VALUE;

    int need(String name) {
      return Integer.parseInt(needs.getOrDefault(name, "0"));
    }

    boolean lasts() {
      return needs.containsKey("lasts");
    }
  }

  private record End(long number, String task, int attempt, String how, String checkpoint) {}

  private final String id;
  private final String service;
  private final String rack;
  private final String store;
  private final String advertised;
  private final Record record;
  private final Http server;
  private final long born = System.currentTimeMillis();
  private final long bornNanos = System.nanoTime();
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final List<End> ends = new ArrayList<>();
  private final Map<String, Integer> endedAttempts = new HashMap<>();
  private long endCount;
  private long fence;
  private long leaseUntilMillis;
  private volatile boolean draining;
  private volatile long busyUntilMillis;
  private long sequence;

  private Executor(String[] args) throws IOException {
    id = args[0];
    service = args[1];
    rack = args[2];
    store = args[3];
    record = new Record(Path.of(args[4]));
    server = new Http(Integer.parseInt(args[5]), this::handle);
    // A proxy of the case may stand before the executor; the entry of the executor then names the proxy.
    advertised = args.length > 6 ? args[6] : server.address();
  }

  /** Arguments: id, service, rack, address of the store, record file, port, and the address to advertise. */
  public static void main(String[] args) throws Exception {
    Executor executor = new Executor(args);
    executor.record.line(executor.id, "up born " + executor.born + " cpu " + CPU);
    Runtime.getRuntime().addShutdownHook(new Thread(executor::leave));
    Thread.ofPlatform().daemon().start(executor::heartbeat);
    executor.tick();
  }

  private long clockMillis() {
    return 1_000 + (System.nanoTime() - bornNanos) / 1_000_000;
  }

  private void handle(HttpExchange call) throws IOException {
    byte[] body = call.getRequestBody().readAllBytes();
    String path = call.getRequestURI().getPath();
    if (path.equals("/healthz")) {
      Http.answer(call, 200, Http.json().createObjectNode());
      return;
    }
    if (path.equals("/control-busy")) {
      // Not part of the protocol: the case makes this executor refuse starts for a while.
      busyUntilMillis = clockMillis() + Long.parseLong(Http.query(call).get("ms"));
      record.line(id, "busy until " + busyUntilMillis);
      Http.answer(call, 200, new byte[0]);
      return;
    }
    if (path.equals("/run-start") && clockMillis() < busyUntilMillis) {
      record.line(id, "503 start " + Http.json().readTree(body).path("task").asText());
      Http.answer(call, 503, new byte[0]);
      return;
    }
    String expected = call.getRequestHeaders().getFirst("X-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      Http.answer(call, 421, new byte[0]);
      return;
    }
    JsonNode order = Http.json().readTree(body);
    ObjectNode answer = Http.json().createObjectNode();
    int status;
    synchronized (this) {
      status =
          switch (path) {
            case "/run-start" -> start(order, answer);
            case "/run-stop" -> stop(order, answer);
            case "/pace" -> pace(order, answer);
            case "/hold" -> hold(order, answer);
            default -> 404;
          };
      answer.put("clock_ms", clockMillis()).put("born", born);
    }
    Http.answer(call, status, answer);
  }

  /** Returns whether an order is of the highest epoch number seen. */
  private boolean passesFence(JsonNode order, ObjectNode answer) {
    long token = order.path("fencing_token").asLong();
    if (token < fence) {
      answer.put("reason", "fence");
      record.line(id, "refused fence " + order.path("task").asText() + " token " + token);
      return false;
    }
    fence = token;
    return true;
  }

  private void extendLease(JsonNode order) {
    if (order.has("deadline_ms")) {
      long until = Math.min(order.get("deadline_ms").asLong(), clockMillis() + HOLD_MAX_MILLIS);
      leaseUntilMillis = Math.max(leaseUntilMillis, until);
    }
  }

  private int start(JsonNode order, ObjectNode answer) {
    if (!passesFence(order, answer)) {
      return 409;
    }
    Run run = new Run();
    run.task = order.get("task").asText();
    run.attempt = order.get("attempt").asInt();
    run.needs = needs(order.get("spec").asText());
    run.checkpoint = order.path("checkpoint").asText("");
    Run present = running.get(run.task);
    if (present != null && present.attempt == run.attempt) {
      return 200;
    }
    if (order.get("deadline_ms").asLong() < clockMillis()) {
      answer.put("reason", "late");
      return 409;
    }
    extendLease(order);
    if (present != null || endedAttempts.getOrDefault(run.task, 0) >= run.attempt) {
      answer.put("reason", "old");
      return 409;
    }
    int cpu = run.need("cpu");
    int memory = run.need("mem");
    for (Run other : running.values()) {
      cpu += other.need("cpu");
      memory += other.need("mem");
    }
    if (cpu > CPU || memory > MEMORY_MB) {
      if (GUARDS) {
        answer.put("reason", "room");
        return 409;
      }
      record.line(id, "over " + run.task + " " + run.attempt + " cpu " + cpu + " of " + CPU);
    }
    run.startedMillis = clockMillis();
    running.put(run.task, run);
    record.line(id, "start " + run.task + " " + run.attempt + " token " + fence);
    return 200;
  }

  private static Map<String, String> needs(String spec) {
    Map<String, String> needs = new HashMap<>();
    for (String part : spec.split(" ")) {
      int equals = part.indexOf('=');
      needs.put(equals < 0 ? part : part.substring(0, equals), part.substring(equals + 1));
    }
    return needs;
  }

  private int stop(JsonNode order, ObjectNode answer) {
    if (!passesFence(order, answer)) {
      return 409;
    }
    String task = order.get("task").asText();
    int attempt = order.get("attempt").asInt();
    Run run = running.get(task);
    if (run != null && run.attempt == attempt) {
      run.stopAtMillis = Math.min(run.stopAtMillis, clockMillis() + STOP_MILLIS);
      record.line(id, "stop " + task + " " + attempt + " token " + fence + " percent " + percent(run));
    } else {
      endedAttempts.merge(task, attempt, Math::max);
    }
    return 200;
  }

  private int pace(JsonNode order, ObjectNode answer) {
    return passesFence(order, answer) ? 200 : 409;
  }

  private int hold(JsonNode order, ObjectNode answer) {
    if (!passesFence(order, answer)) {
      return 409;
    }
    extendLease(order);
    long seen = order.path("last_seen").asLong();
    ends.removeIf(end -> end.number() <= seen);
    long until = clockMillis() + Math.min(2_000, order.path("wait_ms").asLong());
    while (ends.isEmpty() && clockMillis() < until) {
      try {
        wait(Math.max(1, until - clockMillis()));
      } catch (InterruptedException e) {
        return 503;
      }
    }
    ArrayNode runningRows = answer.putArray("running");
    for (Run run : running.values()) {
      runningRows.addArray().add(run.task).add(run.attempt).add(run.checkpoint).add(percent(run)).add(load(run));
    }
    ArrayNode endRows = answer.putArray("finished");
    ends.stream()
        .limit(MAX_LISTED_ENDS)
        .forEach(
            end ->
                endRows
                    .addArray()
                    .add(end.number())
                    .add(end.task())
                    .add(end.attempt())
                    .add(end.how())
                    .add(end.checkpoint()));
    return 200;
  }

  private int percent(Run run) {
    long age = clockMillis() - run.startedMillis;
    if (run.lasts()) {
      return age >= STARTUP_MILLIS ? 100 : 0;
    }
    return (int) Math.min(99, 100 * age / Math.max(1, run.need("work")));
  }

  private static int load(Run run) {
    return run.lasts() ? 5 : run.need("cpu");
  }

  /** Ends what is done, was stopped or has lost its lease. */
  private void tick() {
    while (true) {
      Http.sleep(5);
      synchronized (this) {
        long now = clockMillis();
        boolean lapsed = now > leaseUntilMillis;
        for (Iterator<Run> all = running.values().iterator(); all.hasNext(); ) {
          Run run = all.next();
          if (run.needs.containsKey("saves") && (now - run.startedMillis) / CHECKPOINT_MILLIS > 0) {
            run.checkpoint = String.format("%016x", (now - run.startedMillis) / CHECKPOINT_MILLIS);
          }
          String how =
              lapsed
                  ? "lapsed"
                  : now >= run.stopAtMillis
                      ? "stopped"
                      : !run.lasts() && now - run.startedMillis >= run.need("work") ? "done" : "";
          if (!how.isEmpty()) {
            all.remove();
            endedAttempts.merge(run.task, run.attempt, Math::max);
            ends.add(new End(++endCount, run.task, run.attempt, how, how.equals("done") ? "" : run.checkpoint));
            record.line(id, "end " + run.task + " " + run.attempt + " " + how);
            notifyAll();
          }
        }
      }
    }
  }

  private void heartbeat() {
    while (true) {
      writeEntry();
      Http.sleep(HEARTBEAT_MILLIS);
    }
  }

  /** Leaves in order on SIGTERM: reports that it is draining, serves on for a while, and removes its entry. */
  private void leave() {
    draining = true;
    writeEntry();
    record.line(id, "draining");
    Http.sleep(DRAIN_MILLIS);
    send(new byte[0]);
    record.line(id, "left");
  }

  private synchronized void writeEntry() {
    ObjectNode entry = Http.json().createObjectNode();
    entry
        .put("service", service)
        .put("address", advertised)
        .put("zone", "zone-1")
        .put("version", "1")
        .put("slots", 8)
        .put("state", draining ? "draining" : "ready")
        .put("cold_left_ms", 0)
        .put("clock_ms", clockMillis())
        .put("sequence", ++sequence)
        .put("born", born);
    if (draining) {
      entry.put("remaining_ms", DRAIN_MILLIS);
    }
    entry.putObject("capacity").put("cpu", CPU).put("mem_mb", MEMORY_MB).put("gpu", 0);
    entry.putArray("labels").add("a").add(rack);
    try {
      send(Http.json().writeValueAsBytes(entry));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void send(byte[] entry) {
    try {
      HttpURLConnection call =
          (HttpURLConnection) URI.create("http://" + store + "/list-executor?id=" + id).toURL().openConnection();
      call.setDoOutput(true);
      call.setConnectTimeout(1_000);
      call.setReadTimeout(1_000);
      call.getOutputStream().write(entry);
      call.getResponseCode();
      call.getInputStream().close();
    } catch (IOException e) {
      // the next heartbeat follows
    }
  }
}
