package org.lavenderstage.entry.task;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.CellOwnership;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.placement.BestFitPlanner;
import org.lavenderstage.core.placement.CellPlanner;
import org.lavenderstage.core.placement.PlannedAction;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.CellClaimed;
import org.lavenderstage.core.record.CellReleased;
import org.lavenderstage.core.record.CellRenewed;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.TaskPlaced;
import org.lavenderstage.core.record.WorkerRegistered;
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.entry.vm.VmDirectory;
import org.lavenderstage.platform.PlatformUnavailableException;
import org.lavenderstage.platform.WorkerClient;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.platform.RenewTask;
import org.lavenderstage.wire.platform.StartTask;
import org.lavenderstage.wire.platform.TaskCommand;
import org.lavenderstage.wire.platform.TaskStatus;
import org.lavenderstage.wire.platform.TaskVerb;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;
import org.lavenderstage.wire.settings.EntrySettings;

/**
 * Claims one cell where it is free and, while this entry owns it, places its jobs and renews their
 * worker leases. Every decision goes to the log first and acts only once it is read back.
 */
public final class CellOwner implements AutoCloseable {
  private static final long STEP_MILLIS = 25;
  private static final long PROPOSAL_MILLIS = 100;
  private static final int MAX_PLACEMENTS = 100;

  private final String entry;
  private final EntrySettings settings;
  private final Cell cell;
  private final VmDirectory directory;
  private final WorkerClient workers;
  private final Map<String, RunningAttempt> attempts = new HashMap<>();
  private final CellPlanner planner = new BestFitPlanner(MAX_PLACEMENTS);
  private final Pacer claims;
  private final Pacer renewals;
  private final Pacer registrations = new Pacer(PROPOSAL_MILLIS);
  private final Pacer placements = new Pacer(PROPOSAL_MILLIS);
  private long ownedEpoch;
  private volatile boolean draining;
  private Duty duty;

  /**
   * Makes an owner that does nothing yet.
   *
   * @param entry incarnation of this entry
   * @param settings leases and times
   * @param cell the cell
   * @param directory names the workers
   * @param workers commands the workers
   */
  public CellOwner(
      String entry,
      EntrySettings settings,
      Cell cell,
      VmDirectory directory,
      WorkerClient workers) {
    this.entry = entry;
    this.settings = settings;
    this.cell = cell;
    this.directory = directory;
    this.workers = workers;
    this.claims = new Pacer(settings.cellLeaseMillis());
    this.renewals = new Pacer(settings.cellLeaseMillis() / 3);
  }

  /** Starts to work. */
  public void start() {
    duty = new Duty("cell-" + cell.name(), this::step);
  }

  private void step() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
    if (!cell.replica().isCaughtUp()) {
      return;
    }
    CellOwnership ownership = cell.replica().read(stream -> stream.fold().ownership());
    if (!ownership.owner().equals(Optional.of(entry))) {
      attempts.clear();
      claimIfFree(ownership);
      return;
    }
    if (ownedEpoch != ownership.epoch()) {
      ownedEpoch = ownership.epoch();
      EventLog.info(LogEvent.CELL_CLAIMED, "cell", cell.name(), "epoch", ownedEpoch);
    }
    renewOwnership();
    registerWorkers();
    placeJobs();
    superviseAttempts();
  }

  private void claimIfFree(CellOwnership ownership) {
    boolean free = ownership.isFree(cell.replica().logNowMillis());
    if (draining || !free || !claims.isDue()) {
      return;
    }
    cell.appender()
        .offer(
            new CellClaimed(cell.name(), entry, ownership.epoch() + 1, settings.cellLeaseMillis()));
  }

  private void renewOwnership() {
    if (renewals.isDue()) {
      cell.appender()
          .offer(new CellRenewed(cell.name(), entry, ownedEpoch, settings.cellLeaseMillis()));
    }
  }

  private void registerWorkers() {
    if (!registrations.isDue()) {
      return;
    }
    for (VmEntry vm : directory.vms(VmRole.WORKER)) {
      boolean known = cell.replica().read(stream -> stream.fold().worker(vm.id()).isPresent());
      if (!known && vm.domain().equals(cell.name())) {
        cell.appender()
            .offer(
                new WorkerRegistered(
                    vm.id(),
                    vm.address(),
                    vm.domain(),
                    vm.rack(),
                    vm.cpuMillis(),
                    vm.memoryMb(),
                    vm.accelerators()));
      }
    }
  }

  private void placeJobs() {
    if (draining || !placements.isDue()) {
      return;
    }
    long untilMillis = cell.replica().logNowMillis() + settings.taskHorizonMillis();
    for (TaskPlaced placement :
        cell.replica().read(stream -> placements(stream.fold(), untilMillis))) {
      cell.appender().offer(placement);
    }
  }

  private List<TaskPlaced> placements(CellLedger ledger, long untilMillis) {
    return planner.plan(ledger, cell.replica().logNowMillis()).stream()
        .filter(PlannedAction.Place.class::isInstance)
        .map(PlannedAction.Place.class::cast)
        .map(place -> placement(place, ledger, untilMillis))
        .toList();
  }

  private TaskPlaced placement(PlannedAction.Place place, CellLedger ledger, long untilMillis) {
    int attempt = ledger.job(place.job()).map(JobState::attempt).orElse(0) + 1;
    return new TaskPlaced(
        place.job(), attempt, place.worker(), cell.name(), ownedEpoch, untilMillis);
  }

  private void superviseAttempts() {
    List<RunningAttempt> placed =
        cell.replica()
            .read(
                stream ->
                    stream.fold().jobs().stream()
                        .filter(job -> job.phase() == JobPhase.PLACED)
                        .map(job -> attempt(job, stream.fold()))
                        .toList());
    attempts.keySet().retainAll(placed.stream().map(a -> a.job().accepted().job()).toList());
    placed.forEach(this::supervise);
  }

  private RunningAttempt attempt(JobState job, CellLedger ledger) {
    RunningAttempt known = attempts.get(job.accepted().job());
    if (known != null && known.job().attempt() == job.attempt()) {
      return known;
    }
    String address =
        ledger.worker(job.worker()).map(worker -> worker.registered().address()).orElse("");
    RunningAttempt attempt = new RunningAttempt(job, address);
    attempts.put(job.accepted().job(), attempt);
    return attempt;
  }

  private void supervise(RunningAttempt attempt) {
    try {
      if (!attempt.isStarted()) {
        afterCommand(attempt, workers.start(attempt.address(), startCommand(attempt.job())));
      } else if (isCancelled(attempt)) {
        afterCommand(attempt, workers.command(attempt.address(), stopCommand(attempt.job())));
      } else if (attempt.isRenewalDue(System.nanoTime())) {
        afterCommand(attempt, workers.renew(attempt.address(), renewCommand(attempt.job())));
      }
    } catch (PlatformUnavailableException e) {
      EventLog.info(
          LogEvent.WORKER_FAILED,
          "worker",
          attempt.job().worker(),
          "cause",
          String.valueOf(e.getMessage()));
    }
  }

  private boolean isCancelled(RunningAttempt attempt) {
    return cell.replica()
        .read(stream -> stream.fold().job(attempt.job().accepted().job()))
        .map(JobState::cancelRequested)
        .orElse(false);
  }

  private void afterCommand(RunningAttempt attempt, TaskStatus status) {
    long leaseMillis = settings.workerLeaseMillis();
    long nextRenewal = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(leaseMillis / 3);
    switch (status.phase()) {
      case RUNNING -> attempt.started(nextRenewal, System.currentTimeMillis() + leaseMillis);
      case DONE -> end(EndReason.DONE, status);
      case FAILED -> end(EndReason.FAILED, status);
      case CHECKPOINTED -> end(EndReason.CHECKPOINTED, status);
      case STOPPED, LAPSED -> end(EndReason.STOPPED, status);
      case REFUSED, UNKNOWN -> {
        // the worker does not run it; it is asked again until its fate is known
      }
    }
  }

  private void end(EndReason reason, TaskStatus status) {
    cell.appender()
        .offer(
            new AttemptEnded(
                status.job(),
                status.attempt(),
                cell.name(),
                ownedEpoch,
                reason,
                status.checkpoint()));
    EventLog.info(
        LogEvent.TASK_ENDED, "job", status.job(), "attempt", status.attempt(), "reason", reason);
  }

  private StartTask startCommand(JobState job) {
    return new StartTask(
        job.accepted().job(),
        job.attempt(),
        entry,
        ownedEpoch,
        job.accepted().payload(),
        job.checkpoint(),
        job.accepted().cpuMillis(),
        job.accepted().memoryMb(),
        job.accepted().accelerators(),
        job.accepted().watcher() ? 0 : job.accepted().expectedMillis(),
        notAfterMillis(),
        settings.workerLeaseMillis());
  }

  private RenewTask renewCommand(JobState job) {
    return new RenewTask(
        job.accepted().job(),
        job.attempt(),
        ownedEpoch,
        notAfterMillis(),
        settings.workerLeaseMillis());
  }

  private TaskCommand stopCommand(JobState job) {
    return new TaskCommand(
        job.accepted().job(), job.attempt(), ownedEpoch, TaskVerb.STOP, notAfterMillis());
  }

  private long notAfterMillis() {
    return System.currentTimeMillis() + settings.cellLeaseMillis();
  }

  /** Places no more jobs and gives the cell up. */
  public void drain() {
    draining = true;
    CellOwnership ownership = cell.replica().read(stream -> stream.fold().ownership());
    if (ownership.owner().equals(Optional.of(entry))) {
      cell.appender().offer(new CellReleased(cell.name(), entry, ownership.epoch()));
      EventLog.info(LogEvent.CELL_RELEASED, "cell", cell.name(), "epoch", ownership.epoch());
    }
  }

  @Override
  public void close() {
    if (duty != null) {
      duty.close();
    }
  }
}
