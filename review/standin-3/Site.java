import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small deployment: the store, executors and entries of one case. */
final class Site implements AutoCloseable {
  final Notes notes;
  final Store store;
  final Entries entries;
  final List<Executor> executors = new ArrayList<>();
  private final long holdMaxMillis;
  private final boolean guards;

  Site(long holdMaxMillis, int statusSeconds, boolean guards) throws IOException {
    this.holdMaxMillis = holdMaxMillis;
    this.guards = guards;
    notes = new Notes(Path.of(System.getenv("CASE")).resolve("record.txt"));
    store = new Store();
    entries =
        new Entries(Path.of(System.getenv("ROOT")), store, notes, holdMaxMillis, statusSeconds);
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  Executor addExecutor(long cpu, Executor.Verdict verdict) throws IOException {
    Executor executor =
        new Executor(
            "w" + (executors.size() + 1), "desk", cpu, guards, holdMaxMillis, store, notes, verdict);
    executors.add(executor);
    return executor;
  }

  /** Writes a manifest with two queues, of which the second has a lower priority; starts the entries. */
  void start(int count, int maxAttempts) throws IOException {
    Map<String, Object> manifest = new LinkedHashMap<>();
    manifest.put("version", 1L);
    List<Object> routes = new ArrayList<>();
    for (String name : List.of("orders", "watch")) {
      Map<String, Object> route = new LinkedHashMap<>();
      route.put("name", name);
      route.put("host", "q.example");
      route.put("path_prefix", "/" + name + "/");
      route.put("kind", "non_idempotent");
      route.put("timeout_ms", 3_000L);
      route.put("target_duration_ms", 1_000L);
      route.put("priority", name.equals("orders") ? 0L : 2L);
      route.put("service", "desk");
      route.put("max_attempts", (long) maxAttempts);
      route.put("slack_factor", 2.0);
      routes.add(route);
    }
    manifest.put("routes", routes);
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("name", "desk");
    service.put("health_path", "/healthz");
    service.put("max_conns", 64L);
    service.put("enforces_capacity", guards);
    manifest.put("services", List.of(service));
    manifest.put("limits", Map.of("max_body_bytes", 262_144L));
    store.put("keyed.op", "config", Json.write(manifest).getBytes(StandardCharsets.UTF_8));
    for (int node = 0; node < count; node++) {
      entries.start(node);
    }
    entries.awaitReady(30_000);
  }

  /** Returns the body of a submission of one step. */
  static String job(String spec, long count, long cpu, Map<String, Object> more) {
    Map<String, Object> step = new LinkedHashMap<>();
    step.put("count", count);
    step.put("cpu", cpu);
    step.put("mem_mb", 64L);
    step.put("estimate_ms", 500L);
    step.putAll(more);
    Map<String, Object> job = new LinkedHashMap<>();
    job.put("spec", spec);
    job.put("steps", List.of(step));
    return Json.write(job);
  }

  String state(int node, String path) {
    Entries.Answer answer = entries.callUntilAnswered(node, "GET", path, "", 10_000);
    return answer.status() == 200
        ? Json.string(Json.object(answer.body()), "state")
        : String.valueOf(answer.status());
  }

  @Override
  public void close() {
    entries.close();
  }

  /** Ends a case with its exit code. */
  static void end(Site site, boolean broken) {
    site.close();
    System.exit(broken ? 1 : 0);
  }
}
