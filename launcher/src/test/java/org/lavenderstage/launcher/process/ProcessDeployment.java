package org.lavenderstage.launcher.process;

import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.clients.http.HttpLog;
import org.lavenderstage.ctl.SheetPublisher;
import org.lavenderstage.standin.executor.FakeExecutorServer;
import org.lavenderstage.standin.executor.RunLedger;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.standin.log.FakeLogServer;
import org.lavenderstage.standin.vmlist.FakeVmListServer;
import org.lavenderstage.standin.worker.FakeWorkerServer;
import org.lavenderstage.standin.worker.TaskLedger;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

/** Runs each entry in a process of its own, and the fakes of their platform in this process. */
final class ProcessDeployment implements AutoCloseable {
  static final String TOKEN = "builders-example-token";
  static final String WORKSPACE = "builders";
  static final int CELL_LEASE_MILLIS = 2000;
  static final int WORKER_LEASE_MILLIS = 3000;
  private static final String CELL = "arusha-a";
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(40);

  final FaultSwitch logFaults = new FaultSwitch();
  final FaultSwitch executorFaults = new FaultSwitch();
  final RunLedger runs = new RunLedger();
  final TaskLedger tasks = new TaskLedger();
  private final HttpClient http = HttpClient.newHttpClient();
  private final FakeLogServer log = new FakeLogServer(0, 3_600_000, logFaults, 1);
  private final FakeVmListServer vmList = new FakeVmListServer(0, new FaultSwitch());
  private final List<FakeExecutorServer> executors = new ArrayList<>();
  private final List<FakeWorkerServer> workers = new ArrayList<>();
  private final Map<String, EntryProcess> entries = new LinkedHashMap<>();
  private final Path outputDirectory = Files.createTempDirectory("lavenderstage-entries");

  /**
   * One entry's process.
   *
   * @param process the process
   * @param http host and port for callers
   * @param admin host and port for operators
   */
  record EntryProcess(Process process, String http, String admin) {}

  ProcessDeployment(int entryCount) throws Exception {
    for (String service : List.of("jack-voicing", "cut-layouts")) {
      FakeExecutorServer executor = new FakeExecutorServer(0, 8, 20, runs, executorFaults, 1);
      executors.add(executor);
      vmList.put(vm("executor-" + service, executor.address(), VmRole.EXECUTOR, service));
    }
    for (int i = 0; i < 2; i++) {
      String id = "worker-" + i;
      VmEntry size = vm(id, "", VmRole.WORKER, "");
      FakeWorkerServer worker = new FakeWorkerServer(0, size, tasks, new FaultSwitch(), 1);
      workers.add(worker);
      vmList.put(vm(id, worker.address(), VmRole.WORKER, ""));
    }
    for (int i = 0; i < entryCount; i++) {
      startEntry("entry-" + i);
    }
    publishSheet();
    for (String name : entries.keySet()) {
      await(READY_TIMEOUT, () -> isReady(name) && state(name).contains("\"sheetVersion\":1"));
    }
  }

  private void publishSheet() throws Exception {
    Path sheet =
        Path.of(System.getProperty("repository.root"), "docs", "examples", "kilimanjaro.csv");
    new SheetPublisher(new HttpLog(log.address(), READY_TIMEOUT))
        .publish(Files.readString(sheet), 0, "test")
        .getOrElseThrow(reasons -> new AssertionError(reasons.toString()));
  }

  private static VmEntry vm(String id, String address, VmRole role, String service) {
    return new VmEntry(id, address, CELL, "rack", role, false, 32_000, 128_000, 0, service);
  }

  EntryProcess startEntry(String name) throws IOException, InterruptedException {
    File output = outputDirectory.resolve(name + ".out").toFile();
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx256m",
                "-cp",
                System.getProperty("java.class.path"),
                "org.lavenderstage.launcher.Lavenderstage",
                "entry",
                "--vm",
                name,
                "--domain",
                CELL,
                "--http-port",
                "0",
                "--admin-port",
                "0",
                "--peer-port",
                "0",
                "--log-address",
                log.address(),
                "--vm-list-address",
                vmList.address(),
                "--cells",
                CELL,
                "--cell-lease-millis",
                Integer.toString(CELL_LEASE_MILLIS),
                "--worker-lease-millis",
                Integer.toString(WORKER_LEASE_MILLIS),
                "--longest-request-millis",
                "2000",
                "--slot-handover-millis",
                "6000")
            .redirectErrorStream(true)
            .redirectOutput(output)
            .start();
    await(
        READY_TIMEOUT,
        () -> !process.isAlive() || Files.readString(output.toPath()).contains("EntryAddresses["));
    if (!process.isAlive()) {
      throw new AssertionError("the entry process exited: " + Files.readString(output.toPath()));
    }
    String text = Files.readString(output.toPath());
    EntryProcess entry = new EntryProcess(process, address(text, "http="), address(text, "admin="));
    entries.put(name, entry);
    vmList.put(vm(name, address(text, "peer="), VmRole.ENTRY, ""));
    return entry;
  }

  private static String address(String text, String label) {
    String line = text.substring(text.indexOf("EntryAddresses["));
    String rest = line.substring(line.indexOf(label) + label.length());
    return rest.split("[,\\]]", 2)[0];
  }

  /** Returns the name of the live entry that owns the cell, according to the state dumps. */
  String owner() throws Exception {
    for (String name : entries.keySet()) {
      String state = state(name);
      for (String candidate : entries.keySet()) {
        if (state.contains("\"owner\":\"" + candidate + "-")) {
          return candidate;
        }
      }
    }
    throw new IllegalStateException("no entry owns the cell");
  }

  EntryProcess entry(String name) {
    return entries.get(name);
  }

  List<String> names() {
    return List.copyOf(entries.keySet());
  }

  /** Kills a process, as a crash would, and removes its VM from the VM list. */
  void kill(String name) throws InterruptedException {
    entries.remove(name).process().destroyForcibly().waitFor();
    vmList.remove(name);
  }

  void signal(String name, String signal) throws IOException, InterruptedException {
    long pid = entries.get(name).process().pid();
    new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
  }

  String state(String name) throws IOException, InterruptedException {
    return send(get(entries.get(name).admin(), "/state")).body();
  }

  boolean isReady(String name) throws IOException, InterruptedException {
    return send(get(entries.get(name).admin(), "/readyz")).statusCode() == 200;
  }

  HttpResponse<String> request(String name, String service, String key, String body)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(
                URI.create(
                    "http://"
                        + entries.get(name).http()
                        + "/v1/workspaces/"
                        + WORKSPACE
                        + "/services/"
                        + service
                        + "/requests"))
            .header("authorization", "Bearer " + TOKEN)
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (!key.isEmpty()) {
      request.header("idempotency-key", key);
    }
    return send(request.build());
  }

  HttpResponse<String> submitJob(String name, int millis) throws IOException, InterruptedException {
    String body =
        "{\"batchClass\":\"kit-plans\",\"cpuMillis\":1000,\"memoryMb\":1000,\"accelerators\":0,"
            + "\"expectedMillis\":"
            + millis
            + ",\"watcher\":false,\"payload\":\"work\"}";
    return send(
        HttpRequest.newBuilder(
                URI.create("http://" + entries.get(name).http() + "/v1/workspaces/builders/jobs"))
            .header("authorization", "Bearer " + TOKEN)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  private static HttpRequest get(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .timeout(Duration.ofSeconds(5))
        .build();
  }

  private HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
    return http.send(request, HttpResponse.BodyHandlers.ofString());
  }

  /** Waits until a condition holds; an exception counts as false. */
  static void await(Duration maxWait, Callable<Boolean> condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + maxWait.toNanos();
    while (!holds(condition)) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new AssertionError("the condition did not hold within " + maxWait);
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  private static boolean holds(Callable<Boolean> condition) {
    try {
      return condition.call();
    } catch (Exception e) {
      return false;
    }
  }

  @Override
  public void close() {
    entries.values().forEach(entry -> entry.process().destroyForcibly());
    workers.forEach(FakeWorkerServer::close);
    executors.forEach(FakeExecutorServer::close);
    vmList.close();
    log.close();
  }
}
