package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in of one executor, as PROTOCOL.md tells it under "Running tasks". */
final class Executor implements AutoCloseable {
  /** hold_max_ms of the settings. */
  private static final long MAX_LEASE_MILLIS = 6_000;

  private static final long STOP_MILLIS = 50;
  private static final long RESTORE_MILLIS = 250;
  private static final int MAX_ENDS = 500;

  final String id;
  private final Fleet fleet;
  private final String service;
  private final int cpu;
  private final int memoryMb;
  private final String rack;
  private final HttpServer server;
  private final long startMillis = Transcript.nowMillis();
  private final long born = System.currentTimeMillis();
  final Map<String, ActiveRun> running = new HashMap<>();
  private final Map<String, Integer> highestEnded = new HashMap<>();
  private final Deque<EndedRun> ended = new ArrayDeque<>();
  private long endedCount;
  private long highestToken;
  private long leaseUntil;
  private long sequence;
  private boolean draining;
  boolean up = true;

  /** A run that has not ended. */
  static final class ActiveRun {
    final Executor executor;
    final String task;
    final int attempt;
    final String checkpoint;
    final long arrivedAt;
    final int cpu;
    long work;
    long saveInterval;
    int gangSize;
    String gangKey = "";

    /** Progress at the start, and the time from which on it works; -1 while it waits for others. */
    long savedProgress;

    long worksFrom = -1;
    long stopAt = Long.MAX_VALUE;

    ActiveRun(Executor executor, String task, int attempt, String checkpoint, int cpu) {
      this.executor = executor;
      this.task = task;
      this.attempt = attempt;
      this.checkpoint = checkpoint;
      this.cpu = cpu;
      arrivedAt = Transcript.nowMillis();
    }

    long progress() {
      return worksFrom < 0
          ? savedProgress
          : savedProgress + Math.max(0, Transcript.nowMillis() - worksFrom);
    }

    /** Returns the newest value: one for each interval of work, and a new one at a stop. */
    String saved(boolean atStop) {
      if (saveInterval == 0) {
        return "";
      }
      long progress = progress();
      long saved = atStop ? progress : savedProgress + (progress - savedProgress) / saveInterval * saveInterval;
      return saved == 0 ? "" : String.format("%08x%s", saved, task.substring(4, 12));
    }
  }

  private record EndedRun(long number, String task, int attempt, String how, String saved) {}

  Executor(Fleet fleet, String id, String service, int cpu, int memoryMb, String rack)
      throws IOException {
    this.fleet = fleet;
    this.id = id;
    this.service = service;
    this.cpu = cpu;
    this.memoryMb = memoryMb;
    this.rack = rack;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/", this::handle);
    server.start();
  }

  private long clock() {
    return 100_000 + Transcript.nowMillis() - startMillis;
  }

  /** Writes the executor's entry to the store. */
  void publish() {
    ObjectNode entry = Json.object();
    entry.put("service", service).put("address", "127.0.0.1:" + server.getAddress().getPort());
    entry.put("zone", "zone-a").put("version", "v1").put("slots", 8);
    entry.put("state", draining ? "draining" : "ready").put("cold_left_ms", 0);
    entry.putObject("capacity").put("cpu", cpu).put("mem_mb", memoryMb).put("gpu", 0);
    entry.putArray("labels").add("a").add(rack);
    entry.put("clock_ms", clock()).put("sequence", ++sequence).put("born", born);
    if (draining) {
      entry.put("remaining_ms", 2_000);
    }
    fleet.store.put("keyed.servers", id, entry.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Reports draining; the executor goes on for a while and is taken away by {@link #leave}. */
  void drain() {
    synchronized (fleet.lock) {
      draining = true;
      publish();
      fleet.transcript.write(id, "reports draining");
    }
  }

  /** Ends the process after its drain, and removes its entry. */
  void leave() {
    synchronized (fleet.lock) {
      up = false;
      List.copyOf(running.values()).forEach(run -> end(run, "lapsed"));
      fleet.store.put("keyed.servers", id, new byte[0]);
      fleet.transcript.write(id, "has left");
    }
    server.stop(0);
  }

  private void handle(HttpExchange exchange) throws IOException {
    JsonNode body = Json.MAPPER.readTree(exchange.getRequestBody().readAllBytes());
    String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      Json.respond(exchange, 421, Json.object());
      return;
    }
    ObjectNode answer = Json.object();
    int status;
    String path = exchange.getRequestURI().getPath();
    synchronized (fleet.lock) {
      long token = body.path("fencing_token").asLong();
      if (token < highestToken) {
        status = 409;
        answer.put("reason", "fence");
        fleet.transcript.write(id, "409 fence for " + path + " " + body);
      } else {
        highestToken = token;
        status =
            switch (path) {
              case "/run-start" -> start(body, answer);
              case "/run-stop" -> stop(body);
              case "/hold" -> hold(body, answer);
              case "/pace" -> 200;
              default -> 404;
            };
      }
      answer.put("clock_ms", clock());
    }
    Json.respond(exchange, status, answer);
  }

  private void extendLease(JsonNode body) {
    long deadline = Math.min(body.path("deadline_ms").asLong(), clock() + MAX_LEASE_MILLIS);
    leaseUntil = Math.max(leaseUntil, deadline);
  }

  private int start(JsonNode body, ObjectNode answer) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    String reason = "";
    Map<String, String> spec = parse(body.path("spec").asText());
    int needed = Integer.parseInt(spec.getOrDefault("cpu", "0"));
    if (running.containsKey(task + "#" + attempt)) {
      extendLease(body);
      return 200;
    }
    if (highestEnded.getOrDefault(task, 0) >= attempt) {
      reason = "old";
      extendLease(body);
    } else if (body.path("deadline_ms").asLong() <= clock()) {
      reason = "late";
    } else if (running.values().stream().mapToInt(r -> r.cpu).sum() + needed > cpu) {
      reason = "room";
      extendLease(body);
    }
    String checkpoint = body.path("checkpoint").asText("");
    fleet.transcript.write(
        id,
        "start " + task + " attempt " + attempt + " checkpoint '" + checkpoint + "' -> "
            + (reason.isEmpty() ? "200" : "409 " + reason));
    if (!reason.isEmpty()) {
      answer.put("reason", reason);
      return 409;
    }
    extendLease(body);
    ActiveRun run = new ActiveRun(this, task, attempt, checkpoint, needed);
    run.work = Long.parseLong(spec.getOrDefault("work", "0"));
    run.saveInterval = Long.parseLong(spec.getOrDefault("saves", "0"));
    run.gangSize = Integer.parseInt(spec.getOrDefault("gang", "0"));
    run.savedProgress = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.substring(0, 8), 16);
    running.put(task + "#" + attempt, run);
    fleet.startedRuns++;
    if (run.gangSize > 0) {
      joinGang(run);
    } else {
      beginWork(run);
    }
    return 200;
  }

  private static void beginWork(ActiveRun run) {
    run.worksFrom = Transcript.nowMillis() + (run.checkpoint.isEmpty() ? 0 : RESTORE_MILLIS);
  }

  /** The members of a run work from when all are there; all of them carry the same value. */
  private void joinGang(ActiveRun run) {
    run.gangKey = run.task.substring(0, run.task.lastIndexOf('.')) + "#" + run.attempt;
    Fleet.Gang gang = fleet.gangs.computeIfAbsent(run.gangKey, key -> new Fleet.Gang(run.gangSize));
    List<ActiveRun> present =
        gang.waiting.computeIfAbsent(run.checkpoint, key -> new ArrayList<>());
    present.add(run);
    if (present.size() == gang.size) {
      gang.working = List.copyOf(present);
      gang.working.forEach(Executor::beginWork);
      fleet.transcript.write("gang", run.gangKey + " works from '" + run.checkpoint + "'");
    }
  }

  private static Map<String, String> parse(String spec) {
    Map<String, String> values = new HashMap<>();
    for (String part : spec.split(";")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        values.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return values;
  }

  private int stop(JsonNode body) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    highestEnded.merge(task, attempt, Math::max);
    ActiveRun run = running.get(task + "#" + attempt);
    if (run != null) {
      run.stopAt = Math.min(run.stopAt, Transcript.nowMillis() + STOP_MILLIS);
    }
    fleet.transcript.write(id, "stop " + task + " attempt " + attempt);
    return 200;
  }

  private int hold(JsonNode body, ObjectNode answer) {
    long lastSeen = body.path("last_seen").asLong();
    ended.removeIf(e -> e.number() <= lastSeen);
    if (body.has("deadline_ms")) {
      extendLease(body);
    }
    long waitUntil = Transcript.nowMillis() + body.path("wait_ms").asLong();
    try {
      while (ended.isEmpty() && Transcript.nowMillis() < waitUntil && up) {
        fleet.lock.wait(Math.max(1, waitUntil - Transcript.nowMillis()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    answer.put("born", born);
    ArrayNode runningRows = answer.putArray("running");
    for (ActiveRun run : running.values()) {
      long percent = run.work == 0 ? 100 : Math.min(99, 100 * run.progress() / run.work);
      runningRows.addArray().add(run.task).add(run.attempt).add(run.saved(false)).add(percent).add(run.cpu);
    }
    ArrayNode endedRows = answer.putArray("finished");
    ended.stream()
        .limit(MAX_ENDS)
        .forEach(
            e ->
                endedRows.addArray().add(e.number()).add(e.task()).add(e.attempt()).add(e.how()).add(e.saved()));
    return 200;
  }

  /** Ends the runs that are done, stopped, alone, or without a lease. Called with the lock held. */
  void endWhatIsOver() {
    boolean lapsed = clock() > leaseUntil;
    for (ActiveRun run : List.copyOf(running.values())) {
      if (!running.containsKey(run.task + "#" + run.attempt)) {
        continue;
      }
      long now = Transcript.nowMillis();
      if (lapsed) {
        end(run, "lapsed");
      } else if (now >= run.stopAt) {
        end(run, "stopped");
      } else if (run.worksFrom >= 0 && run.work > 0 && run.progress() >= run.work) {
        end(run, "done");
      } else if (run.worksFrom < 0 && now - run.arrivedAt >= Fleet.GANG_TIMEOUT_MILLIS) {
        end(run, "alone");
      }
    }
  }

  private void end(ActiveRun run, String how) {
    if (running.remove(run.task + "#" + run.attempt) == null) {
      return;
    }
    highestEnded.merge(run.task, run.attempt, Math::max);
    String saved = how.equals("done") ? "" : run.saved(how.equals("stopped"));
    if (saved.isEmpty() && !how.equals("done")) {
      saved = run.checkpoint;
    }
    ended.addLast(new EndedRun(++endedCount, run.task, run.attempt, how, saved));
    fleet.recordEnd(run.task, how);
    fleet.transcript.write(
        id, "end " + endedCount + " " + run.task + " attempt " + run.attempt + " " + how + " saved '" + saved + "'");
    fleet.lock.notifyAll();
    if (run.gangSize > 0) {
      Fleet.Gang gang = fleet.gangs.get(run.gangKey);
      gang.waiting.values().forEach(members -> members.remove(run));
      List<ActiveRun> others = gang.working;
      gang.working = List.of();
      // A gang ends done together, and is broken when a member that works ends otherwise.
      others.stream()
          .filter(other -> other != run)
          .forEach(other -> other.executor.end(other, how.equals("done") ? "done" : "broken"));
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
