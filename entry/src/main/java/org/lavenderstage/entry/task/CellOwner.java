package org.lavenderstage.entry.task;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.lavenderstage.clients.WorkerClient;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.placement.AdaptivePlanner;
import org.lavenderstage.core.placement.ProtectionPolicy;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.CellReleased;
import org.lavenderstage.core.record.JobRefused;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.WorkerRegistered;
import org.lavenderstage.core.task.CellOwnerLogic;
import org.lavenderstage.core.task.CommandResult;
import org.lavenderstage.core.task.ListedWorker;
import org.lavenderstage.core.task.OwnerAction;
import org.lavenderstage.core.task.OwnerInput;
import org.lavenderstage.core.task.OwnerSettings;
import org.lavenderstage.entry.config.Configuration;
import org.lavenderstage.entry.config.SheetInForce;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.entry.duty.BoundedRing;
import org.lavenderstage.entry.vm.VmDirectory;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;
import org.lavenderstage.wire.settings.EntrySettings;

/**
 * Runs the owner logic of one cell. Passes the ledger, the list of VMs and the results of commands
 * to the logic, and executes the actions that it decides.
 */
public final class CellOwner implements AutoCloseable {
  private static final long STEP_INTERVAL_MILLIS = 25;
  private static final long RELEASE_TIMEOUT_MILLIS = 1000;
  private static final long RING_FULL_RETRY_NANOS = 1_000_000;
  private static final int MAX_PLACEMENTS = 100;
  private static final long NO_VERSION = -1;
  private static final long NO_EPOCH = 0;

  private final Cell cell;
  private final VmDirectory directory;
  private final Configuration configuration;
  private final AdaptivePlanner planner =
      new AdaptivePlanner(ProtectionPolicy.GRADED, MAX_PLACEMENTS);
  private final CellOwnerLogic logic;
  private final WorkerCommands commands;
  private final BoundedRing<CommandResult> commandResults;
  private volatile boolean draining;
  private volatile long ownedEpoch = NO_EPOCH;
  private long plannerSheetVersion = NO_VERSION;
  private BackgroundThread thread;

  /**
   * Creates an owner, which does nothing before {@link #start}.
   *
   * @param entry the identifier of this incarnation of the entry
   * @param settings the lease lengths and time limits
   * @param cell the cell
   * @param directory the list of VMs, which contains the workers
   * @param configuration the configuration, which provides the sheet in force
   * @param workers the client for commands to workers
   */
  public CellOwner(
      String entry,
      EntrySettings settings,
      Cell cell,
      VmDirectory directory,
      Configuration configuration,
      WorkerClient workers) {
    this.cell = cell;
    this.directory = directory;
    this.configuration = configuration;
    this.logic =
        new CellOwnerLogic(
            new OwnerSettings(
                cell.name(),
                entry,
                settings.cellLeaseMillis(),
                settings.workerLeaseMillis(),
                settings.taskHorizonMillis(),
                settings.clockSkewMillis()),
            planner);
    this.commandResults = new BoundedRing<>(settings.ringSize());
    cell.replica().observe(this::onRecord);
    this.commands = new WorkerCommands(workers, entry, System::nanoTime, this::enqueueResult);
  }

  /** Starts the thread that makes decisions for the cell. */
  public void start() {
    thread = new BackgroundThread("cell-" + cell.name(), this::step);
  }

  /**
   * Passes the ends of attempts to the planner, including those of attempts of other owners. Called
   * with the replica's lock held.
   */
  private void onRecord(RecordPosition at, LedgerRecord record, boolean effective) {
    if (effective && record instanceof AttemptEnded ended) {
      cell.replica()
          .read(stream -> stream.stateMachine().job(ended.job()))
          .ifPresent(job -> planner.attemptEnded(ended.job(), job.worker(), ended.reason()));
    }
  }

  private void updatePlannerSheet() {
    SheetInForce inForce = configuration.inForce();
    if (inForce.version() != plannerSheetVersion) {
      plannerSheetVersion = inForce.version();
      planner.useSheet(inForce.sheet());
    }
  }

  private void enqueueResult(CommandResult result) {
    while (!commandResults.offer(result) && !Thread.currentThread().isInterrupted()) {
      LockSupport.parkNanos(RING_FULL_RETRY_NANOS);
    }
  }

  private void step() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(STEP_INTERVAL_MILLIS);
    if (!cell.replica().isCaughtUp()) {
      return;
    }
    handleResults();
    long decidedNanos = System.nanoTime();
    long nowMillis = cell.replica().logNowMillis();
    boolean logAvailable = cell.replica().isReachable() && !cell.appender().isFailing();
    List<ListedWorker> listed = listedWorkers();
    List<OwnerAction> actions =
        cell.replica()
            .read(
                stream -> {
                  updatePlannerSheet();
                  return logic.step(
                      new OwnerInput(
                          stream.stateMachine(), nowMillis, logAvailable, listed, draining));
                });
    updateOwnedEpoch();
    for (OwnerAction action : actions) {
      execute(action, decidedNanos);
    }
  }

  private void handleResults() {
    long formerLeaseUntilMillis =
        cell.replica().read(stream -> stream.stateMachine().ownership().formerLeaseUntilMillis());
    long nowMillis = cell.replica().logNowMillis();
    commandResults.drain(
        Integer.MAX_VALUE, result -> logic.handleResult(result, formerLeaseUntilMillis, nowMillis));
  }

  private List<ListedWorker> listedWorkers() {
    return directory.vms(VmRole.WORKER).stream()
        .filter(vm -> vm.domain().equals(cell.name()))
        .map(vm -> new ListedWorker(registration(vm), vm.leaving()))
        .toList();
  }

  private static WorkerRegistered registration(VmEntry vm) {
    return new WorkerRegistered(
        vm.id(),
        vm.address(),
        vm.domain(),
        vm.rack(),
        vm.cpuMillis(),
        vm.memoryMb(),
        vm.accelerators());
  }

  private void updateOwnedEpoch() {
    long epoch = logic.ownedEpoch().orElse(NO_EPOCH);
    if (epoch != ownedEpoch && epoch != NO_EPOCH) {
      EventLog.info(LogEvent.CELL_CLAIMED, "cell", cell.name(), "epoch", epoch);
    }
    ownedEpoch = epoch;
  }

  private void execute(OwnerAction action, long decidedNanos) {
    switch (action) {
      case OwnerAction.Propose propose -> propose(propose.record());
      case OwnerAction.Command command -> commands.send(command, decidedNanos);
    }
  }

  /** Queues a proposal for appending. If the queue is full, the logic proposes it again later. */
  private void propose(LedgerRecord record) {
    if (!cell.appender().offer(record)) {
      return;
    }
    switch (record) {
      case AttemptEnded ended ->
          EventLog.info(
              LogEvent.TASK_ENDED,
              "job",
              ended.job(),
              "attempt",
              ended.attempt(),
              "reason",
              ended.reason());
      case JobRefused refused -> EventLog.info(LogEvent.JOB_REFUSED, "job", refused.job());
      case CellReleased released ->
          EventLog.info(LogEvent.CELL_RELEASED, "cell", released.cell(), "epoch", released.epoch());
      default -> {
        // not logged; visible in the state of the cell
      }
    }
  }

  /** Stops placing jobs and releases the cell. */
  public void drain() {
    draining = true;
  }

  @Override
  public void close() {
    if (thread != null) {
      awaitRelease();
      thread.close();
    }
    commands.close();
  }

  private void awaitRelease() {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RELEASE_TIMEOUT_MILLIS);
    while (draining && ownedEpoch != NO_EPOCH && System.nanoTime() - deadlineNanos < 0) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STEP_INTERVAL_MILLIS));
    }
  }
}
