import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * An executor. The spec of a task tells how it runs: "ms=N" ends done after N ms, "fail=N" ends
 * failed after N ms, "lasts" runs until it is stopped; {@link #verdict} may decide otherwise.
 */
final class Executor {
  /** Decides about a run when it starts: how it is to run, as in a spec. */
  interface Verdict {
    String of(Executor executor, String task, long attempt, String spec);
  }

  static final long STOP_MILLIS = 150;
  private static final long HEARTBEAT_MILLIS = 1_500;

  final String id;
  final String service;
  final long cpu;
  private final boolean guards;
  private final long holdMaxMillis;
  private final Store store;
  private final Notes notes;
  private final HttpServer server;
  private final Verdict verdict;
  private final long bornNanos = System.nanoTime();
  private final long born = System.currentTimeMillis();
  private final Map<String, Run> runs = new LinkedHashMap<>();
  private final Map<String, Long> highestEnded = new HashMap<>();
  private final List<List<Object>> finished = new ArrayList<>();
  private final List<String> overCapacity = new ArrayList<>();
  private long lastEnd;
  private long fence;
  private long lease;
  private long sequence;
  private volatile boolean cut;
  private volatile boolean dead;

  /** Called when a report with finished runs has been answered. */
  volatile Runnable afterReportOfEnds = () -> {};

  /** The processor demand of a task, from its spec: "cpu=N". */
  static long cpuOf(String spec) {
    return field(spec, "cpu", 100);
  }

  static long field(String spec, String name, long absent) {
    for (String word : spec.split(" ")) {
      if (word.startsWith(name + "=")) {
        return Long.parseLong(word.substring(name.length() + 1));
      }
    }
    return absent;
  }

  private static final class Run {
    String task;
    long attempt;
    String spec;
    long startedAt;
    long endsAt;
    String how;
    boolean stopping;
    long stopAt;
  }

  Executor(
      String id,
      String service,
      long cpu,
      boolean guards,
      long holdMaxMillis,
      Store store,
      Notes notes,
      Verdict verdict)
      throws IOException {
    this.id = id;
    this.service = service;
    this.cpu = cpu;
    this.guards = guards;
    this.holdMaxMillis = holdMaxMillis;
    this.store = store;
    this.notes = notes;
    this.verdict = verdict;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 128);
    server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
    server.createContext("/", this::handle);
    server.start();
    Store.daemon(this::tick).start();
    Store.daemon(this::beat).start();
  }

  private long clock() {
    return (System.nanoTime() - bornNanos) / 1_000_000;
  }

  /** Cuts the executor off from the entries and the store, or ends the cut. */
  void cut(boolean on) {
    notes.add(id + (on ? " is cut off" : " is reachable again"));
    cut = on;
  }

  /** Ends the executor as a crash does. */
  synchronized void crash() {
    notes.add(id + " crashes");
    dead = true;
    runs.clear();
    server.stop(0);
    notifyAll();
  }

  synchronized boolean isRunning(String task) {
    return !dead && runs.containsKey(task);
  }

  /** Returns the processors that the runs use, of those whose task begins with a text. */
  synchronized long used(String taskPrefix) {
    long used = 0;
    for (Run run : dead ? List.<Run>of() : List.copyOf(runs.values())) {
      used += run.task.startsWith(taskPrefix) ? cpuOf(run.spec) : 0;
    }
    return used;
  }

  /** Returns what has brought the executor over its capacity. */
  synchronized List<String> overCapacity() {
    return List.copyOf(overCapacity);
  }

  private void beat() {
    boolean listed = false;
    long lastBeat = System.nanoTime() / 1_000_000;
    while (true) {
      long now = System.nanoTime() / 1_000_000;
      if (!cut && !dead) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + server.getAddress().getPort());
        entry.put("zone", "z1");
        entry.put("version", "1");
        entry.put("slots", 8L);
        entry.put("state", "ready");
        entry.put("sequence", ++sequence);
        entry.put("capacity", Map.of("cpu", cpu, "mem_mb", 128_000L));
        entry.put("labels", List.of("a", "r1-" + id));
        entry.put("born", born);
        store.put("keyed.servers", id, Json.write(entry).getBytes(StandardCharsets.UTF_8));
        listed = true;
        lastBeat = now;
      } else if (listed && now - lastBeat > 3 * HEARTBEAT_MILLIS) {
        notes.add(id + " is removed from the list after three heartbeats of silence");
        store.put("keyed.servers", id, new byte[0]);
        listed = false;
      }
      sleep(cut || dead || !listed ? 50 : HEARTBEAT_MILLIS);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void tick() {
    while (!dead) {
      synchronized (this) {
        long now = clock();
        for (Run run : List.copyOf(runs.values())) {
          if (now > lease) {
            end(run, "lapsed");
          } else if (run.stopping && now >= run.stopAt) {
            end(run, "stopped");
          } else if (!run.stopping && run.endsAt > 0 && now >= run.endsAt) {
            end(run, run.how);
          }
        }
      }
      sleep(2);
    }
  }

  private void end(Run run, String how) {
    runs.remove(run.task);
    highestEnded.merge(run.task, run.attempt, Math::max);
    finished.add(List.of(++lastEnd, run.task, run.attempt, how, ""));
    notes.add(id + " end " + lastEnd + " " + run.task + " run " + run.attempt + " " + how);
    notifyAll();
  }

  private void handle(HttpExchange call) {
    try (call) {
      Map<String, Object> body =
          Json.object(new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
      if (cut) {
        sleep(60_000);
        return;
      }
      String path = call.getRequestURI().getPath();
      String instance = call.getRequestHeaders().getFirst("X-Expect-Instance");
      Map<String, Object> answer = new LinkedHashMap<>();
      int status =
          instance != null && !instance.equals(id)
              ? 421
              : switch (path) {
                case "/run-start" -> start(body, answer);
                case "/run-stop" -> stop(body, answer);
                case "/hold" -> hold(body, answer);
                case "/pace" -> 200;
                default -> 400;
              };
      if (cut || dead) {
        sleep(60_000);
        return;
      }
      answer.put("clock_ms", clock());
      answer.put("born", born);
      byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
      call.getResponseHeaders().set("Content-Type", "application/json");
      call.sendResponseHeaders(status, bytes.length);
      call.getResponseBody().write(bytes);
      call.getResponseBody().flush();
      if (answer.get("finished") instanceof List<?> ends && !ends.isEmpty()) {
        notes.add(id + " reported " + ends + " to last_seen " + body.get("last_seen"));
        afterReportOfEnds.run();
      }
    } catch (IOException e) {
      // the caller has left
    }
  }

  private boolean fenced(Map<String, Object> body, Map<String, Object> answer) {
    long token = Json.number(body, "fencing_token");
    if (token < fence) {
      answer.put("reason", "fence");
      return true;
    }
    fence = token;
    if (Json.number(body, "deadline_ms") > 0) {
      lease = Math.max(lease, Math.min(Json.number(body, "deadline_ms"), clock() + holdMaxMillis));
    }
    return false;
  }

  private synchronized int start(Map<String, Object> body, Map<String, Object> answer) {
    String task = Json.string(body, "task");
    long attempt = Json.number(body, "attempt");
    String spec = Json.string(body, "spec");
    int status = startResult(body, task, attempt, spec, answer);
    notes.add(
        id + " start " + task + " run " + attempt + " token " + body.get("fencing_token")
            + " -> " + status + " " + answer.getOrDefault("reason", "")
            + (status == 200 ? " spec " + Json.write(spec) : ""));
    return status;
  }

  private int startResult(
      Map<String, Object> body, String task, long attempt, String spec, Map<String, Object> answer) {
    if (fenced(body, answer)) {
      return 409;
    }
    Run known = runs.get(task);
    if (known != null && known.attempt == attempt) {
      return 200;
    }
    if (known != null || attempt <= highestEnded.getOrDefault(task, 0L)) {
      answer.put("reason", "old");
      return 409;
    }
    if (Json.number(body, "deadline_ms") <= clock()) {
      answer.put("reason", "late");
      return 409;
    }
    long used = cpuOf(spec);
    for (Run run : runs.values()) {
      used += cpuOf(run.spec);
    }
    if (used > cpu && guards) {
      answer.put("reason", "room");
      return 409;
    }
    if (used > cpu) {
      overCapacity.add(task + " run " + attempt + " brings " + id + " to " + used + " of " + cpu
          + " beside " + runs.keySet());
      notes.add("OVER " + overCapacity.get(overCapacity.size() - 1));
    }
    Run run = new Run();
    run.task = task;
    run.attempt = attempt;
    run.spec = spec;
    run.startedAt = clock();
    String how = verdict.of(this, task, attempt, spec);
    long failMillis = field(how, "fail", -1);
    long doneMillis = field(how, "ms", -1);
    run.how = failMillis >= 0 ? "failed" : "done";
    run.endsAt = failMillis >= 0 ? clock() + failMillis : doneMillis >= 0 ? clock() + doneMillis : 0;
    runs.put(task, run);
    return 200;
  }

  private synchronized int stop(Map<String, Object> body, Map<String, Object> answer) {
    String task = Json.string(body, "task");
    long attempt = Json.number(body, "attempt");
    int status = fenced(body, answer) ? 409 : 200;
    notes.add(id + " stop " + task + " run " + attempt + " -> " + status);
    if (status == 200) {
      Run run = runs.get(task);
      if (run != null && run.attempt == attempt) {
        if (!run.stopping) {
          run.stopping = true;
          run.stopAt = clock() + STOP_MILLIS;
        }
      } else {
        highestEnded.merge(task, attempt, Math::max);
      }
    }
    return status;
  }

  private synchronized int hold(Map<String, Object> body, Map<String, Object> answer) {
    if (fenced(body, answer)) {
      return 409;
    }
    long lastSeen = Json.number(body, "last_seen");
    finished.removeIf(row -> (long) row.get(0) <= lastSeen);
    long until = clock() + Json.number(body, "wait_ms");
    while (finished.isEmpty() && clock() < until && !dead && !cut) {
      try {
        wait(Math.max(1, Math.min(50, until - clock())));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return 503;
      }
    }
    List<Object> running = new ArrayList<>();
    for (Run run : runs.values()) {
      running.add(List.of(run.task, run.attempt, "", run.endsAt > 0 ? 50L : 100L, 100L));
    }
    answer.put("running", running);
    answer.put("finished", List.copyOf(finished.subList(0, Math.min(500, finished.size()))));
    return 200;
  }
}
