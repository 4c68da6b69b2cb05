package org.lavenderstage.core.ledger.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lavenderstage.core.ledger.Fold;
import org.lavenderstage.core.ledger.FoldState;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.placement.Resources;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.AttemptExtended;
import org.lavenderstage.core.record.CellClaimed;
import org.lavenderstage.core.record.CellReleased;
import org.lavenderstage.core.record.CellRenewed;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.JobCancelled;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.TaskPlaced;
import org.lavenderstage.core.record.WorkerRegistered;

/**
 * The fold of one cell's stream: its owner, its workers and its jobs. It refuses every placement
 * that would overcommit a worker or run a job twice, whoever proposes it, so that two owners at
 * once, a paused owner and a late record do no harm.
 */
public final class CellLedger implements Fold {
  /** Count of distinct workers on which a job fails before it ends. */
  public static final int MAX_FAILED_WORKERS = 3;

  private final Map<String, WorkerState> workers = new TreeMap<>();
  private final Map<String, JobState> jobs = new TreeMap<>();
  private final long clockSkewMillis;
  private CellOwnership ownership = CellOwnership.NONE;

  /**
   * Starts an empty cell.
   *
   * @param clockSkewMillis largest difference between two clocks in milliseconds
   */
  public CellLedger(long clockSkewMillis) {
    this.clockSkewMillis = clockSkewMillis;
  }

  @Override
  public boolean apply(RecordPosition at, LedgerRecord record) {
    return switch (record) {
      case CellClaimed claimed -> claim(at, claimed);
      case CellRenewed renewed -> renew(at, renewed);
      case CellReleased released -> release(released);
      case WorkerRegistered registered -> register(registered);
      case JobAccepted accepted -> accept(at, accepted);
      case JobCancelled cancelled -> cancel(cancelled);
      case TaskPlaced placed -> place(at, placed);
      case AttemptExtended extended -> extend(at, extended);
      case AttemptEnded ended -> end(at, ended);
      default -> false;
    };
  }

  private boolean claim(RecordPosition at, CellClaimed claimed) {
    if (!ownership.isFree(at.appendTimeMillis()) || claimed.epoch() != ownership.epoch() + 1) {
      return false;
    }
    ownership =
        new CellOwnership(
            Optional.of(claimed.entry()),
            claimed.epoch(),
            at.appendTimeMillis() + claimed.leaseMillis());
    return true;
  }

  private boolean renew(RecordPosition at, CellRenewed renewed) {
    if (!isOwner(renewed.entry(), renewed.epoch())) {
      return false;
    }
    ownership =
        new CellOwnership(
            ownership.owner(), ownership.epoch(), at.appendTimeMillis() + renewed.leaseMillis());
    return true;
  }

  private boolean release(CellReleased released) {
    if (!isOwner(released.entry(), released.epoch())) {
      return false;
    }
    ownership = new CellOwnership(Optional.empty(), ownership.epoch(), 0);
    return true;
  }

  private boolean isOwner(String entry, long epoch) {
    return epoch == ownership.epoch() && ownership.owner().equals(Optional.of(entry));
  }

  private boolean register(WorkerRegistered registered) {
    WorkerState known = workers.get(registered.worker());
    Resources used = known == null ? Resources.NONE : known.used();
    WorkerState next = new WorkerState(registered, used);
    if (next.equals(known) || !next.total().isValid() || !used.fitsIn(next.total())) {
      return false;
    }
    workers.put(registered.worker(), next);
    return true;
  }

  private boolean accept(RecordPosition at, JobAccepted accepted) {
    JobState next = JobState.of(accepted, at.appendTimeMillis());
    if (jobs.containsKey(accepted.job()) || !next.demand().isValid()) {
      return false;
    }
    jobs.put(accepted.job(), next);
    return true;
  }

  private boolean cancel(JobCancelled cancelled) {
    JobState job = jobs.get(cancelled.job());
    if (job == null
        || job.phase().isFinal()
        || job.cancelRequested()
        || !job.accepted().workspace().equals(cancelled.workspace())) {
      return false;
    }
    jobs.put(cancelled.job(), job.cancelled());
    return true;
  }

  private boolean place(RecordPosition at, TaskPlaced placed) {
    JobState job = jobs.get(placed.job());
    WorkerState worker = workers.get(placed.worker());
    if (!ownership.allows(placed.epoch(), at.appendTimeMillis())
        || job == null
        || worker == null
        || job.phase() != JobPhase.ACCEPTED
        || placed.attempt() != job.attempt() + 1
        || placed.untilMillis() <= at.appendTimeMillis()
        || !job.demand().fitsIn(worker.free())) {
      return false;
    }
    workers.put(placed.worker(), worker.holding(job.demand()));
    jobs.put(
        placed.job(),
        job.placed(placed.attempt(), placed.worker(), placed.epoch(), placed.untilMillis()));
    return true;
  }

  private boolean extend(RecordPosition at, AttemptExtended extended) {
    JobState job = jobs.get(extended.job());
    if (!ownership.allows(extended.epoch(), at.appendTimeMillis())
        || !isRunning(job, extended.attempt())
        || extended.untilMillis() < job.untilMillis()) {
      return false;
    }
    jobs.put(
        extended.job(),
        job.placed(job.attempt(), job.worker(), extended.epoch(), extended.untilMillis()));
    return true;
  }

  private boolean end(RecordPosition at, AttemptEnded ended) {
    JobState job = jobs.get(ended.job());
    if (!ownership.allows(ended.epoch(), at.appendTimeMillis())
        || !isRunning(job, ended.attempt())
        || !mayEnd(at, job, ended)) {
      return false;
    }
    WorkerState worker = workers.get(job.worker());
    workers.put(job.worker(), worker.releasing(job.demand()));
    jobs.put(ended.job(), afterEnd(job, ended));
    return true;
  }

  /** An owner that did not renew the attempt itself cannot know when the worker lease lapses. */
  private boolean mayEnd(RecordPosition at, JobState job, AttemptEnded ended) {
    return switch (ended.reason()) {
      case LEASE_LAPSED -> job.epoch() == ended.epoch();
      case HORIZON_PASSED -> at.appendTimeMillis() > job.untilMillis() + clockSkewMillis;
      case DONE, FAILED, CHECKPOINTED, STOPPED, CANCELLED -> true;
    };
  }

  private static JobState afterEnd(JobState job, AttemptEnded ended) {
    List<String> failures = failuresAfter(job, ended.reason());
    JobPhase next = phaseAfter(job, ended.reason(), failures.size());
    String resumeFrom = ended.checkpoint().isEmpty() ? job.checkpoint() : ended.checkpoint();
    return job.ended(next, resumeFrom, failures);
  }

  private static JobPhase phaseAfter(JobState job, EndReason reason, int failedWorkers) {
    if (reason == EndReason.DONE) {
      return JobPhase.DONE;
    }
    if (job.cancelRequested() || reason == EndReason.CANCELLED) {
      return JobPhase.CANCELLED;
    }
    return failedWorkers >= MAX_FAILED_WORKERS ? JobPhase.FAILED : JobPhase.ACCEPTED;
  }

  private static List<String> failuresAfter(JobState job, EndReason reason) {
    if (reason != EndReason.FAILED || job.failedOn().contains(job.worker())) {
      return job.failedOn();
    }
    List<String> failures = new ArrayList<>(job.failedOn());
    failures.add(job.worker());
    return failures;
  }

  private static boolean isRunning(JobState job, int attempt) {
    return job != null && job.phase() == JobPhase.PLACED && job.attempt() == attempt;
  }

  /**
   * Returns who may propose placements.
   *
   * @return the ownership after the last record
   */
  public CellOwnership ownership() {
    return ownership;
  }

  /**
   * Finds a job.
   *
   * @param job identifier of the job
   * @return its state, empty where the log holds no such job
   */
  public Optional<JobState> job(String job) {
    return Optional.ofNullable(jobs.get(job));
  }

  /**
   * Lists every job.
   *
   * @return the jobs by identifier
   */
  public Collection<JobState> jobs() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  /**
   * Lists every worker.
   *
   * @return the workers by identifier
   */
  public Collection<WorkerState> workers() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /**
   * Finds a worker.
   *
   * @param worker identifier of the worker
   * @return its state, empty where the log holds no such worker
   */
  public Optional<WorkerState> worker(String worker) {
    return Optional.ofNullable(workers.get(worker));
  }

  @Override
  public String digest() {
    return new StateDigest().add(ownership).add(workers).add(jobs).hex();
  }

  @Override
  public CellState snapshot() {
    return new CellState(ownership, List.copyOf(workers.values()), List.copyOf(jobs.values()));
  }

  @Override
  public void restore(FoldState state) {
    if (!(state instanceof CellState cell)) {
      throw new IllegalArgumentException("no state of a cell: " + state.getClass());
    }
    ownership = cell.ownership();
    workers.clear();
    cell.workers().forEach(worker -> workers.put(worker.registered().worker(), worker));
    jobs.clear();
    cell.jobs().forEach(job -> jobs.put(job.accepted().job(), job));
  }
}
