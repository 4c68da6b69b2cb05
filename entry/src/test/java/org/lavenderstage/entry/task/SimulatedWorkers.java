package org.lavenderstage.entry.task;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.clients.WorkerClient;
import org.lavenderstage.core.record.WorkerRegistered;
import org.lavenderstage.core.task.CommandResult;
import org.lavenderstage.core.task.ListedWorker;
import org.lavenderstage.core.task.OwnerAction;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.standin.worker.FakeWorker;
import org.lavenderstage.standin.worker.TaskLedger;
import org.lavenderstage.wire.platform.RenewTask;
import org.lavenderstage.wire.platform.StartTask;
import org.lavenderstage.wire.platform.TaskCommand;
import org.lavenderstage.wire.platform.TaskStatus;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;
import org.lavenderstage.wire.platform.WorkerReport;

/** Fake workers in virtual time, each with its own clock error, behind a simulated network. */
final class SimulatedWorkers implements WorkerClient {
  static final int CPU_MILLIS = 4000;
  private static final int COUNT = 3;
  private static final int MEMORY_MB = 8000;

  private final LongSupplier clockMillis;
  private final FaultSwitch faults = new FaultSwitch();
  private final Map<String, FakeWorker> workers = new HashMap<>();
  private final Map<String, Long> partitionedUntilMillis = new HashMap<>();
  private final Set<String> unlisted = new HashSet<>();
  private final WorkerCalls calls = new WorkerCalls(this, "entry");

  SimulatedWorkers(LongSupplier clockMillis, TaskLedger ledger) {
    this.clockMillis = clockMillis;
    for (int i = 0; i < COUNT; i++) {
      long errorMillis = (i - 1) * TaskSimulation.SKEW_MILLIS / 2;
      workers.put(
          name(i),
          new FakeWorker(vm(name(i)), () -> clockMillis.getAsLong() + errorMillis, ledger, faults));
    }
  }

  static String name(int index) {
    return "worker-" + index;
  }

  private static VmEntry vm(String id) {
    return new VmEntry(
        id, id, TaskSimulation.CELL, "rack", VmRole.WORKER, false, CPU_MILLIS, MEMORY_MB, 0, "");
  }

  List<ListedWorker> listed() {
    return IntStream.range(0, COUNT)
        .mapToObj(SimulatedWorkers::name)
        .filter(id -> !unlisted.contains(id))
        .map(
            id ->
                new ListedWorker(
                    new WorkerRegistered(
                        id, id, TaskSimulation.CELL, "rack", CPU_MILLIS, MEMORY_MB, 0),
                    false))
        .toList();
  }

  /** Makes every task on every worker fail from now on. */
  void failAll() {
    faults.set(FaultSwitch.Kind.FAIL_ALL, 1);
  }

  void advance() {
    workers.values().forEach(FakeWorker::advance);
  }

  void partition(String worker, long untilMillis) {
    partitionedUntilMillis.merge(worker, untilMillis, Math::max);
  }

  /**
   * Crashes a worker permanently, unless one has crashed already. Returns whether the worker
   * crashed.
   */
  boolean crashPermanently(String worker) {
    if (partitionedUntilMillis.containsValue(Long.MAX_VALUE)) {
      return false;
    }
    workers.get(worker).crash();
    partitionedUntilMillis.put(worker, Long.MAX_VALUE);
    return true;
  }

  void unlist(String worker) {
    unlisted.add(worker);
  }

  /** Sends a command to its worker. Returns the status, or empty if the worker is unreachable. */
  Optional<CommandResult.Status> call(OwnerAction.Command command) {
    return calls.call(command).status();
  }

  private FakeWorker reachable(String address) throws PlatformUnavailableException {
    if (partitionedUntilMillis.getOrDefault(address, 0L) > clockMillis.getAsLong()) {
      throw new PlatformUnavailableException(address + " is unreachable", null);
    }
    return workers.get(address);
  }

  @Override
  public TaskStatus start(String address, StartTask start) throws PlatformUnavailableException {
    return reachable(address).start(start);
  }

  @Override
  public TaskStatus renew(String address, RenewTask renew) throws PlatformUnavailableException {
    return reachable(address).renew(renew);
  }

  @Override
  public TaskStatus command(String address, TaskCommand command)
      throws PlatformUnavailableException {
    return reachable(address).command(command);
  }

  @Override
  public WorkerReport report(String address) throws PlatformUnavailableException {
    return reachable(address).report();
  }
}
