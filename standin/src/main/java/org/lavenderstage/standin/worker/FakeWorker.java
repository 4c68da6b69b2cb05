package org.lavenderstage.standin.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.wire.platform.RenewTask;
import org.lavenderstage.wire.platform.StartTask;
import org.lavenderstage.wire.platform.TaskCommand;
import org.lavenderstage.wire.platform.TaskPhase;
import org.lavenderstage.wire.platform.TaskStatus;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.WorkerReport;

/**
 * Worker that simulates tasks under leases. Tasks progress only in calls of {@link #advance}, by
 * the time that has elapsed on the given clock, so that tests can use virtual time.
 */
public final class FakeWorker {
  private final VmEntry vm;
  private final LongSupplier clockMillis;
  private final TaskLedger ledger;
  private final FaultSwitch faults;
  private final Map<String, RunningTask> tasks = new HashMap<>();
  private long lastAdvanceMillis;

  /**
   * Creates an idle worker.
   *
   * @param vm identifier, capacity and location of the worker
   * @param clockMillis clock, in milliseconds since 1970
   * @param ledger records which tasks run on which workers
   * @param faults faults to inject
   */
  public FakeWorker(VmEntry vm, LongSupplier clockMillis, TaskLedger ledger, FaultSwitch faults) {
    this.vm = vm;
    this.clockMillis = clockMillis;
    this.ledger = ledger;
    this.faults = faults;
    this.lastAdvanceMillis = clockMillis.getAsLong();
  }

  /** Advances every running task by the time that has elapsed since the last call. */
  public synchronized void advance() {
    long now = clockMillis.getAsLong();
    long elapsedMillis = now - lastAdvanceMillis;
    lastAdvanceMillis = now;
    for (RunningTask task : tasks.values()) {
      if (task.phase == TaskPhase.RUNNING) {
        advance(task, now, elapsedMillis);
      }
    }
  }

  private void advance(RunningTask task, long now, long elapsedMillis) {
    if (now > task.leaseUntilMillis) {
      finish(task, TaskPhase.LAPSED);
      return;
    }
    if (faults.isOn(FaultSwitch.Kind.FAIL_ALL)) {
      finish(task, TaskPhase.FAILED);
      return;
    }
    task.ranMillis += task.throttled ? elapsedMillis / 2 : elapsedMillis;
    if (task.start.runMillis() > 0 && task.ranMillis >= task.start.runMillis()) {
      finish(task, TaskPhase.DONE);
    }
  }

  private void finish(RunningTask task, TaskPhase phase) {
    task.phase = phase;
    ledger.stopped(task.start, vm.id(), phase, task.checkpoint);
  }

  /** Stops every task and discards all state, as a failure of the VM would. */
  public synchronized void crash() {
    for (RunningTask task : tasks.values()) {
      if (task.phase == TaskPhase.RUNNING) {
        finish(task, TaskPhase.STOPPED);
      }
    }
    tasks.clear();
  }

  /**
   * Starts an attempt. A repeated start of a known attempt returns its status.
   *
   * @param start the command
   * @return what the worker knows of the attempt afterwards
   */
  public synchronized TaskStatus start(StartTask start) {
    advance();
    RunningTask existing = tasks.get(start.job());
    if (existing != null && existing.start.attempt() >= start.attempt()) {
      return existing.start.attempt() == start.attempt()
          ? existing.status()
          : refused(start.job(), start.attempt());
    }
    if (clockMillis.getAsLong() > start.notAfterMillis()) {
      return refused(start.job(), start.attempt());
    }
    RunningTask task = new RunningTask(start, clockMillis.getAsLong() + start.leaseMillis());
    tasks.put(start.job(), task);
    ledger.started(start, vm.id(), isOvercommitted());
    return task.status();
  }

  private boolean isOvercommitted() {
    int cpu = 0;
    int memory = 0;
    int accelerators = 0;
    for (RunningTask task : tasks.values()) {
      if (task.phase == TaskPhase.RUNNING) {
        cpu += task.start.cpuMillis();
        memory += task.start.memoryMb();
        accelerators += task.start.accelerators();
      }
    }
    return cpu > vm.cpuMillis() || memory > vm.memoryMb() || accelerators > vm.accelerators();
  }

  /**
   * Renews the lease of an attempt.
   *
   * @param renew the command
   * @return what the worker knows of the attempt afterwards
   */
  public synchronized TaskStatus renew(RenewTask renew) {
    advance();
    RunningTask task = tasks.get(renew.job());
    if (task == null || task.start.attempt() != renew.attempt()) {
      return new TaskStatus(renew.job(), renew.attempt(), TaskPhase.UNKNOWN, "");
    }
    if (clockMillis.getAsLong() > renew.notAfterMillis()) {
      return refused(renew.job(), renew.attempt());
    }
    if (task.phase == TaskPhase.RUNNING) {
      task.leaseUntilMillis = clockMillis.getAsLong() + renew.leaseMillis();
    }
    return task.status();
  }

  /**
   * Stops, checkpoints or throttles an attempt.
   *
   * @param command the command
   * @return what the worker knows of the attempt afterwards
   */
  public synchronized TaskStatus command(TaskCommand command) {
    advance();
    RunningTask task = tasks.get(command.job());
    if (task == null || task.start.attempt() != command.attempt()) {
      return new TaskStatus(command.job(), command.attempt(), TaskPhase.UNKNOWN, "");
    }
    if (clockMillis.getAsLong() > command.notAfterMillis()) {
      return refused(command.job(), command.attempt());
    }
    if (task.phase == TaskPhase.RUNNING) {
      execute(task, command);
    }
    return task.status();
  }

  private void execute(RunningTask task, TaskCommand command) {
    switch (command.verb()) {
      case STOP -> finish(task, TaskPhase.STOPPED);
      case CHECKPOINT -> {
        task.checkpoint = command.job() + "-" + command.attempt() + "-" + task.ranMillis;
        finish(task, TaskPhase.CHECKPOINTED);
      }
      case THROTTLE -> task.throttled = true;
      case UNTHROTTLE -> task.throttled = false;
    }
  }

  /**
   * Reports the attempts and the resource usage since the last advance.
   *
   * @return the report
   */
  public synchronized WorkerReport report() {
    long from = lastAdvanceMillis;
    advance();
    List<TaskStatus> statuses = new ArrayList<>();
    int cpu = 0;
    int memory = 0;
    for (RunningTask task : tasks.values()) {
      statuses.add(task.status());
      if (task.phase == TaskPhase.RUNNING) {
        cpu += task.start.cpuMillis();
        memory += task.start.memoryMb();
      }
    }
    return new WorkerReport(vm.id(), from, lastAdvanceMillis, cpu, memory, 0, statuses);
  }

  private static TaskStatus refused(String job, int attempt) {
    return new TaskStatus(job, attempt, TaskPhase.REFUSED, "");
  }

  /** An attempt that the worker has started, including attempts that have ended. */
  private static final class RunningTask {
    private final StartTask start;
    private long leaseUntilMillis;
    private long ranMillis;
    private boolean throttled;
    private TaskPhase phase = TaskPhase.RUNNING;
    private String checkpoint;

    private RunningTask(StartTask start, long leaseUntilMillis) {
      this.start = start;
      this.leaseUntilMillis = leaseUntilMillis;
      this.checkpoint = start.checkpoint();
      this.ranMillis = ranMillisAt(start.checkpoint());
    }

    private static long ranMillisAt(String checkpoint) {
      return checkpoint.isEmpty()
          ? 0
          : Long.parseLong(checkpoint.substring(checkpoint.lastIndexOf('-') + 1));
    }

    private TaskStatus status() {
      return new TaskStatus(start.job(), start.attempt(), phase, checkpoint);
    }
  }
}
