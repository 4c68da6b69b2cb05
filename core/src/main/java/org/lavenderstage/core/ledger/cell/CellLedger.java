package org.lavenderstage.core.ledger.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import org.lavenderstage.core.ledger.FoldState;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.ledger.StateMachine;
import org.lavenderstage.core.placement.Resources;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.AttemptExtended;
import org.lavenderstage.core.record.CellClaimed;
import org.lavenderstage.core.record.CellReleased;
import org.lavenderstage.core.record.CellRenewed;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.JobCancelled;
import org.lavenderstage.core.record.JobRefused;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.TaskPlaced;
import org.lavenderstage.core.record.WorkerRegistered;

/**
 * The replicated state of one cell: its owner, its workers and its jobs. It rejects every placement
 * that would overcommit a worker or run a job twice, whichever entry proposes it, so that it stays
 * consistent when there are two owners at once, a paused owner or a delayed record.
 */
public final class CellLedger implements StateMachine {
  /** Number of distinct workers on which a job has to fail before it ends as failed. */
  public static final int MAX_FAILED_WORKERS = 3;

  /** Default time for which ended jobs are kept, in milliseconds of append time. */
  public static final long DEFAULT_RETENTION_MILLIS = 3_600_000;

  private final Map<String, WorkerState> workers = new TreeMap<>();
  private final Map<String, JobState> jobs = new HashMap<>();
  private final Map<String, JobState> waiting = new LinkedHashMap<>();
  private final Map<String, JobState> running = new LinkedHashMap<>();
  private final Queue<JobState> endedJobs = new ArrayDeque<>();
  private final long clockSkewMillis;
  private final long retentionMillis;
  private CellOwnership ownership = CellOwnership.NONE;

  /**
   * Creates an empty cell.
   *
   * @param clockSkewMillis largest difference between any two clocks in milliseconds
   */
  public CellLedger(long clockSkewMillis) {
    this(clockSkewMillis, DEFAULT_RETENTION_MILLIS);
  }

  /**
   * Creates an empty cell.
   *
   * @param clockSkewMillis largest difference between any two clocks in milliseconds
   * @param retentionMillis time for which an ended job is kept, in milliseconds of append time
   */
  public CellLedger(long clockSkewMillis, long retentionMillis) {
    this.clockSkewMillis = clockSkewMillis;
    this.retentionMillis = retentionMillis;
  }

  @Override
  public boolean apply(RecordPosition at, LedgerRecord record) {
    removeEndedJobs(at.appendTimeMillis() - retentionMillis);
    return switch (record) {
      case CellClaimed claimed -> claim(at, claimed);
      case CellRenewed renewed -> renew(at, renewed);
      case CellReleased released -> release(released);
      case WorkerRegistered registered -> register(registered);
      case JobAccepted accepted -> accept(at, accepted);
      case JobCancelled cancelled -> cancel(at, cancelled);
      case JobRefused refused -> refuse(at, refused);
      case TaskPlaced placed -> place(at, placed);
      case AttemptExtended extended -> extend(at, extended);
      case AttemptEnded ended -> end(at, ended);
      default -> false;
    };
  }

  private void removeEndedJobs(long beforeMillis) {
    while (!endedJobs.isEmpty() && endedJobs.peek().endedAtMillis() < beforeMillis) {
      jobs.remove(endedJobs.remove().accepted().job());
    }
  }

  /** Stores a job's state and updates the indexes by phase. */
  private void put(JobState job) {
    String id = job.accepted().job();
    jobs.put(id, job);
    switch (job.phase()) {
      case ACCEPTED -> {
        running.remove(id);
        waiting.put(id, job);
      }
      case PLACED -> {
        waiting.remove(id);
        running.put(id, job);
      }
      case DONE, FAILED, CANCELLED -> {
        waiting.remove(id);
        running.remove(id);
        endedJobs.add(job);
      }
    }
  }

  private boolean claim(RecordPosition at, CellClaimed claimed) {
    if (!ownership.isFree(at.appendTimeMillis()) || claimed.epoch() != ownership.epoch() + 1) {
      return false;
    }
    long untilMillis = at.appendTimeMillis() + claimed.leaseMillis();
    ownership = ownership.claimed(claimed.entry(), claimed.epoch(), untilMillis);
    return true;
  }

  private boolean renew(RecordPosition at, CellRenewed renewed) {
    if (!isOwner(renewed.entry(), renewed.epoch())) {
      return false;
    }
    ownership = ownership.renewed(at.appendTimeMillis() + renewed.leaseMillis());
    return true;
  }

  private boolean release(CellReleased released) {
    if (!isOwner(released.entry(), released.epoch())) {
      return false;
    }
    ownership = ownership.released();
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
    put(next);
    return true;
  }

  private boolean cancel(RecordPosition at, JobCancelled cancelled) {
    JobState job = jobs.get(cancelled.job());
    if (job == null
        || job.phase().isFinal()
        || job.cancelRequested()
        || !job.accepted().workspace().equals(cancelled.workspace())) {
      return false;
    }
    put(job.cancelled(at.appendTimeMillis()));
    return true;
  }

  private boolean refuse(RecordPosition at, JobRefused refused) {
    JobState job = waiting.get(refused.job());
    if (!ownership.allows(refused.epoch(), at.appendTimeMillis())
        || job == null
        || workers.isEmpty()
        || isRunnable(job)) {
      return false;
    }
    put(job.refused(at.appendTimeMillis()));
    return true;
  }

  /**
   * Returns whether some worker could run a job if it were idle.
   *
   * @param job the job
   * @return whether the job fits on a worker on which it has not failed
   */
  public boolean isRunnable(JobState job) {
    for (WorkerState worker : workers.values()) {
      if (job.demand().fitsIn(worker.total())
          && !job.failedOn().contains(worker.registered().worker())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether a demand fits the total size of some worker.
   *
   * @param demand the resources that are needed
   * @return whether a worker is large enough, or no worker is known yet
   */
  public boolean mayFit(Resources demand) {
    return workers.isEmpty()
        || workers.values().stream().anyMatch(worker -> demand.fitsIn(worker.total()));
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
    workers.put(placed.worker(), worker.allocating(job.demand()));
    put(job.placed(placed.attempt(), placed.worker(), placed.epoch(), placed.untilMillis()));
    return true;
  }

  private boolean extend(RecordPosition at, AttemptExtended extended) {
    JobState job = jobs.get(extended.job());
    if (!ownership.allows(extended.epoch(), at.appendTimeMillis())
        || !isRunning(job, extended.attempt())
        || extended.untilMillis() < job.untilMillis()) {
      return false;
    }
    put(job.extended(extended.untilMillis()));
    return true;
  }

  private boolean end(RecordPosition at, AttemptEnded ended) {
    JobState job = jobs.get(ended.job());
    if (!ownership.allows(ended.epoch(), at.appendTimeMillis())
        || !isRunning(job, ended.attempt())
        || !isEndAllowed(at, job, ended)) {
      return false;
    }
    WorkerState worker = workers.get(job.worker());
    workers.put(job.worker(), worker.releasing(job.demand()));
    put(afterEnd(at, job, ended));
    return true;
  }

  /**
   * Returns whether an attempt may end for the given reason. LEASE_LAPSED is accepted only from the
   * owner that placed the attempt: as the only one to have renewed the worker lease, it knows when
   * that lease expired. NOT_FOUND from a worker proves nothing while a start command of a previous
   * owner may still arrive.
   */
  private boolean isEndAllowed(RecordPosition at, JobState job, AttemptEnded ended) {
    boolean placedByOwner = job.epoch() == ended.epoch();
    long nowMillis = at.appendTimeMillis();
    return switch (ended.reason()) {
      case LEASE_LAPSED -> placedByOwner;
      case HORIZON_PASSED -> nowMillis > job.untilMillis() + clockSkewMillis;
      case NOT_FOUND ->
          placedByOwner || nowMillis > ownership.formerLeaseUntilMillis() + clockSkewMillis;
      case CHECKPOINTED -> !ended.checkpoint().isEmpty();
      case CANCELLED -> job.cancelRequested();
      case DONE, FAILED, STOPPED -> true;
    };
  }

  private static JobState afterEnd(RecordPosition at, JobState job, AttemptEnded ended) {
    List<String> failures = failuresAfter(job, ended.reason());
    JobPhase next = phaseAfter(job, ended.reason(), failures.size());
    String resumeFrom = ended.checkpoint().isEmpty() ? job.checkpoint() : ended.checkpoint();
    return job.attemptEnded(next, resumeFrom, failures, at.appendTimeMillis());
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
   * Returns which entry may propose placements.
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
   * @return its state, empty if the ledger has no such job
   */
  public Optional<JobState> job(String job) {
    return Optional.ofNullable(jobs.get(job));
  }

  /**
   * Returns all jobs.
   *
   * @return an unmodifiable view of the jobs, in no particular order
   */
  public Collection<JobState> jobs() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  /**
   * Returns the jobs that wait for a worker.
   *
   * @return an unmodifiable view of the jobs, in the order in which they began to wait
   */
  public Collection<JobState> waitingJobs() {
    return Collections.unmodifiableCollection(waiting.values());
  }

  /**
   * Returns the jobs that have a live attempt.
   *
   * @return an unmodifiable view of the jobs, in the order of their placement
   */
  public Collection<JobState> placedJobs() {
    return Collections.unmodifiableCollection(running.values());
  }

  /**
   * Returns all workers.
   *
   * @return an unmodifiable view of the workers, ordered by identifier
   */
  public Collection<WorkerState> workers() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /**
   * Finds a worker.
   *
   * @param worker identifier of the worker
   * @return its state, empty if the ledger has no such worker
   */
  public Optional<WorkerState> worker(String worker) {
    return Optional.ofNullable(workers.get(worker));
  }

  @Override
  public String digest() {
    return new StateDigest().add(ownership).add(workers).add(new TreeMap<>(jobs)).hex();
  }

  @Override
  public CellState snapshot() {
    List<JobState> kept = new ArrayList<>(waiting.values());
    kept.addAll(running.values());
    kept.addAll(endedJobs);
    return new CellState(ownership, List.copyOf(workers.values()), kept);
  }

  @Override
  public void restore(FoldState state) {
    if (!(state instanceof CellState cell)) {
      throw new IllegalArgumentException("expected a CellState, found " + state.getClass());
    }
    ownership = cell.ownership();
    workers.clear();
    cell.workers().forEach(worker -> workers.put(worker.registered().worker(), worker));
    restoreJobs(cell.jobs());
  }

  private void restoreJobs(List<JobState> kept) {
    jobs.clear();
    waiting.clear();
    running.clear();
    endedJobs.clear();
    kept.forEach(this::put);
  }
}
