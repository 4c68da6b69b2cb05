package org.lavenderstage.launcher.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.clients.http.HttpLog;
import org.lavenderstage.ctl.SheetPublisher;
import org.lavenderstage.entry.Entry;
import org.lavenderstage.entry.PlatformClients;
import org.lavenderstage.entry.admin.StateDump;
import org.lavenderstage.standin.executor.FakeExecutorServer;
import org.lavenderstage.standin.executor.RunLedger;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.standin.log.FakeLogServer;
import org.lavenderstage.standin.vmlist.FakeVmListServer;
import org.lavenderstage.standin.worker.FakeWorkerServer;
import org.lavenderstage.standin.worker.TaskLedger;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;
import org.lavenderstage.wire.settings.EntrySettings;

/** One deployment within this process: three entries and the fakes of their platform. */
final class DemoDeployment implements AutoCloseable {
  private static final int WORKERS_PER_DOMAIN = 2;
  private static final int EXECUTORS_PER_DOMAIN = 2;
  private static final int SLOTS = 8;
  private static final int SERVICE_MILLIS = 5;
  private static final int CPU_MILLIS = 32_000;
  private static final int MEMORY_MB = 128_000;
  private static final long RETENTION_MILLIS = 3_600_000;
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
  private static final long POLL_MILLIS = 20;

  private final DemoSpec spec;
  private final FaultSwitch logFaults = new FaultSwitch();
  private final List<FaultSwitch> workerFaults = new ArrayList<>();
  private final RunLedger runs = new RunLedger();
  private final TaskLedger tasks = new TaskLedger();
  private final FakeLogServer log;
  private final FakeVmListServer vmList;
  private final List<FakeExecutorServer> executors = new ArrayList<>();
  private final List<FakeWorkerServer> workers = new ArrayList<>();
  private final List<Entry> entries = new CopyOnWriteArrayList<>();
  private final Map<Entry, PauseGate> pauseGates = new ConcurrentHashMap<>();

  DemoDeployment(DemoSpec spec, long seed) {
    this.spec = spec;
    log = new FakeLogServer(0, RETENTION_MILLIS, logFaults, seed);
    vmList = new FakeVmListServer(0, new FaultSwitch());
    for (String domain : spec.domains()) {
      startExecutors(domain, seed);
      startWorkers(domain, seed);
    }
    for (int i = 0; i < spec.domains().size(); i++) {
      startEntry(spec.name() + "-entry-" + i, spec.domains().get(i));
    }
  }

  private void startExecutors(String domain, long seed) {
    for (int i = 0; i < EXECUTORS_PER_DOMAIN; i++) {
      for (String service : List.of(spec.idempotentService(), spec.nonIdempotentService())) {
        FakeExecutorServer executor =
            new FakeExecutorServer(0, SLOTS, SERVICE_MILLIS, runs, new FaultSwitch(), seed);
        executors.add(executor);
        String id = "executor-" + service + "-" + domain + "-" + i;
        vmList.put(vm(id, executor.address(), domain, VmRole.EXECUTOR, service));
      }
    }
  }

  private void startWorkers(String domain, long seed) {
    for (int i = 0; i < WORKERS_PER_DOMAIN; i++) {
      String id = "worker-" + domain + "-" + i;
      FaultSwitch faults = new FaultSwitch();
      VmEntry size = vm(id, "", domain, VmRole.WORKER, "");
      FakeWorkerServer worker = new FakeWorkerServer(0, size, tasks, faults, seed);
      workerFaults.add(faults);
      workers.add(worker);
      vmList.put(vm(id, worker.address(), domain, VmRole.WORKER, ""));
    }
  }

  private static VmEntry vm(String id, String address, String domain, VmRole role, String service) {
    String rack = domain + "-rack";
    return new VmEntry(id, address, domain, rack, role, false, CPU_MILLIS, MEMORY_MB, 0, service);
  }

  private void startEntry(String vm, String domain) {
    EntrySettings settings = settings(vm, domain);
    PauseGate gate = new PauseGate();
    Entry entry = new Entry(settings, PausableClients.of(PlatformClients.http(settings), gate));
    pauseGates.put(entry, gate);
    entries.add(entry);
    vmList.put(vm(vm, entry.addresses().peer(), domain, VmRole.ENTRY, ""));
  }

  private EntrySettings settings(String vm, String domain) {
    return DemoSettings.of(
        vm, domain, log.address(), vmList.address(), String.join(",", spec.domains()));
  }

  /** Publishes the deployment's sheet and waits until every entry has it in force. */
  void publishSheet() throws IOException, PlatformUnavailableException, InterruptedException {
    String text;
    try (var in = DemoDeployment.class.getResourceAsStream("/examples/" + spec.sheet())) {
      text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
    var result =
        new SheetPublisher(new HttpLog(log.address(), READY_TIMEOUT)).publish(text, 0, "demo");
    if (result.isLeft()) {
      throw new IllegalStateException("the sheet was rejected: " + result.getLeft());
    }
    long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
    while (!entries.stream()
        .allMatch(entry -> entry.isReady() && entry.dump().sheetVersion() > 0)) {
      if (System.nanoTime() > deadlineNanos) {
        throw new IllegalStateException(
            "the entries were not ready with the sheet in force in time");
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }

  /** Stops the first entry without draining it, as a crash would, and starts a replacement. */
  void killEntry() {
    Entry killed = entries.remove(0);
    killed.kill();
    vmList.remove(spec.name() + "-entry-0");
    startEntry(spec.name() + "-entry-new", spec.domains().get(0));
  }

  /** Pauses the entry that owns the first cell. */
  void pauseOwner() {
    for (Entry entry : entries) {
      StateDump dump = entry.dump();
      if (dump.cells().get(0).owner().equals(dump.entry())) {
        pauseGates.get(entry).pause();
        return;
      }
    }
  }

  /** Resumes every paused entry. */
  void resumeAll() {
    pauseGates.values().forEach(PauseGate::resume);
  }

  DemoSpec spec() {
    return spec;
  }

  FaultSwitch logFaults() {
    return logFaults;
  }

  List<FaultSwitch> workerFaults() {
    return workerFaults;
  }

  RunLedger runs() {
    return runs;
  }

  TaskLedger tasks() {
    return tasks;
  }

  List<Entry> entries() {
    return List.copyOf(entries);
  }

  String logAddress() {
    return log.address();
  }

  String vmListAddress() {
    return vmList.address();
  }

  @Override
  public void close() {
    entries.parallelStream().forEach(Entry::close);
    executors.forEach(FakeExecutorServer::close);
    workers.forEach(FakeWorkerServer::close);
    log.close();
    vmList.close();
  }
}
