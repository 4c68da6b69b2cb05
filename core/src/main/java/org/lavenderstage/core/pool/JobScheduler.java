package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.ProgressRecord;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.core.job.StoredRecord;
import org.lavenderstage.core.job.WorkerRecord;

/**
 * Decides for the owner of the jobs which task runs on which worker. It processes events from
 * callers, workers and the store together with the time, and returns orders for workers and changes
 * to store. Used by one thread.
 */
public final class JobScheduler {
  /** How long an ended job is kept beyond the guaranteed retention, in milliseconds. */
  private static final long RETENTION_SLACK_MILLIS = 60_000;

  /** Time between two searches for ended jobs to remove, in milliseconds. */
  private static final long REMOVAL_INTERVAL_MILLIS = 1_000;

  private static final OrderResult SUPERSEDED = new OrderResult.Rejected(Rejection.SUPERSEDED);

  private final JobTable jobs = new JobTable();
  private final JobRanking ranking;
  private final BestEffortInterference interference = new BestEffortInterference();
  private final RunTracker runs;
  private final Admission admission;
  private final WorkerTable workers;
  private final Evacuations evacuations;
  private final RunOrders runOrders;
  private final Placement placement;
  private final InterferenceController interferenceController;
  private final DecisionLog log;
  private final long retentionMillis;
  private final PlacementPacer pacer = new PlacementPacer();
  private final List<Order> readyOrders = new ArrayList<>();
  private boolean inheritanceSettled;
  private long lastBatchMillis = Long.MIN_VALUE / 2;
  private long placementRounds;
  private long nextRemovalMillis = Long.MIN_VALUE;

  /**
   * Creates a scheduler without jobs and workers.
   *
   * @param term fencing token of the owner
   * @param timing durations of leases and of their allowances
   * @param retentionMillis guaranteed retention of the state of an ended job, in milliseconds
   * @param log receives the decisions
   */
  public JobScheduler(long term, PoolTiming timing, long retentionMillis, DecisionLog log) {
    this.log = log;
    this.retentionMillis = retentionMillis + RETENTION_SLACK_MILLIS;
    ranking = new JobRanking(log);
    runs = new RunTracker(jobs, log);
    admission = new Admission(new AdmissionForecast(ranking, runs.runTimes), log);
    workers = new WorkerTable(term, timing, runs, log);
    evacuations = new Evacuations(workers, runs, log);
    runOrders = new RunOrders(workers, runs);
    interferenceController = new InterferenceController(interference, runs);
    placement = new Placement(jobs, workers, runs, ranking, interference, term, log);
  }

  /**
   * Sets where this scheduler learns which failure domains are to be evacuated; initially none are.
   * It asks before each decision to start a run.
   *
   * @param requests returns the names of the failure domains; called by the scheduler's thread
   */
  public void followEvacuations(Supplier<Set<String>> requests) {
    evacuations.follow(requests);
  }

  private void applyEvacuations(long nowMillis) {
    if (evacuations.refresh(nowMillis)) {
      pacer.recordChange();
    }
  }

  /**
   * Loads the stored jobs and workers.
   *
   * @param records the newest record of each key
   * @param renewalStops when this entry learned of the stored decisions of previous owners not to
   *     renew leases
   * @param nowMillis monotonic time in milliseconds
   * @param wallMillis wall-clock time in milliseconds since 1970
   */
  public void load(
      List<StoredRecord> records, RenewalStops renewalStops, long nowMillis, long wallMillis) {
    Map<String, ProgressRecord> progress = new HashMap<>();
    for (StoredRecord record : records) {
      if (record instanceof ProgressRecord p) {
        progress.put(p.job(), p);
      }
    }
    for (StoredRecord record : records) {
      if (record instanceof JobRecord job) {
        ranking.recordSubmission(job);
        long ageMillis = wallMillis - job.acceptedAtMillis();
        if (ageMillis >= 0) {
          // Where the clock is behind that of the previous owner, all jobs would count as new.
          admission.recordInherited(job, nowMillis - ageMillis, nowMillis);
        }
        jobs.load(job, Optional.ofNullable(progress.get(job.job())), nowMillis, wallMillis);
      } else if (record instanceof WorkerRecord worker) {
        workers.load(worker, renewalStops, nowMillis);
      }
    }
  }

  /**
   * Adds a submitted job. It counts as accepted once {@link Job#isStored} returns true.
   *
   * @param record the job
   * @param nowMillis monotonic time in milliseconds
   * @return the job; the existing one if the identifier is known
   */
  public Job submit(JobRecord record, long nowMillis) {
    Optional<Job> known = jobs.find(record.job());
    if (known.isPresent()) {
      return known.get();
    }
    SubmissionLog.record(record, log);
    ranking.recordSubmission(record);
    // The deadlines of a caller that was refused before count from its first attempt.
    JobRecord counted = admission.accept(record, nowMillis);
    long passedMillis = record.acceptedAtMillis() - counted.acceptedAtMillis();
    return jobs.submit(counted, nowMillis - passedMillis);
  }

  /**
   * Refuses a submission that is hopeless for lack of capacity, before anything is stored. A job
   * that is known is never refused.
   *
   * @param record the job
   * @param nowMillis monotonic time in milliseconds
   * @return the answer to its caller, empty if the job may be submitted
   */
  public Optional<JobAnswer.Refused> refuse(JobRecord record, long nowMillis) {
    return inheritanceSettled && jobs.find(record.job()).isEmpty()
        ? admission.refuse(record, nowMillis)
        : Optional.empty();
  }

  /**
   * Removes the submissions that are not part of a batch yet, so that they can be rejected.
   *
   * @return the removed jobs, which will not be stored
   */
  public List<Job> withdrawUnstored() {
    return jobs.withdrawUnstored();
  }

  /**
   * Cancels a job. It counts as cancelled once its stored phase is {@code CANCELLED}.
   *
   * @param job the job
   * @param nowMillis monotonic time in milliseconds
   * @param wallMillis wall-clock time in milliseconds since 1970
   */
  public void cancel(Job job, long nowMillis, long wallMillis) {
    if (job.end(JobPhase.CANCELLED, wallMillis)) {
      jobs.markProgressChanged(job);
      runs.stopIfEnded(job, nowMillis);
    }
  }

  /**
   * Finds a job.
   *
   * @param id identifier of the job
   * @return the job, empty if it is not known
   */
  public Optional<Job> find(String id) {
    return jobs.find(id);
  }

  /**
   * Counts the accepted jobs of a queue that have not started a task.
   *
   * @param queue name of the queue
   * @return the number of jobs
   */
  public long waitingCount(String queue) {
    return jobs.waitingCount(queue);
  }

  /**
   * Returns the known workers.
   *
   * @return a copy of the list
   */
  public List<Worker> workers() {
    return List.copyOf(workers.all());
  }

  /**
   * Handles the listing of a worker.
   *
   * @param listing the worker's entry in the list of workers
   */
  public void workerListed(WorkerListing listing) {
    workers.handleListing(listing);
  }

  /**
   * Handles that a worker is no longer listed.
   *
   * @param worker identifier of the worker
   */
  public void workerUnlisted(String worker) {
    workers.handleUnlisted(worker);
  }

  /**
   * Handles the result of an order.
   *
   * @param sent the order
   * @param answer the result of the order
   * @param nowMillis monotonic time in milliseconds
   * @param wallMillis wall-clock time in milliseconds since 1970
   */
  public void orderCompleted(Order sent, OrderResult answer, long nowMillis, long wallMillis) {
    OrderResult result = isSuperseded(sent, answer) ? SUPERSEDED : answer;
    if (!(result instanceof OrderResult.Accepted)) {
      pacer.recordChange();
    }
    switch (sent) {
      case Order.Start start -> {
        workers.handleStartResult(start, result, nowMillis);
        InterferenceController.initialSpeedLimit(start.worker(), start.run())
            .ifPresent(readyOrders::add);
      }
      case Order.Stop stop -> runs.handleStopResult(stop.worker(), stop.run(), result, nowMillis);
      case Order.Poll poll -> {
        workers.handlePollResult(poll, result, nowMillis, wallMillis, readyOrders);
        if (result instanceof OrderResult.Reported) {
          readyOrders.addAll(interferenceController.handleReport(poll.worker(), nowMillis));
        }
      }
      case Order.SetSpeedLimit setSpeedLimit -> handleSpeedLimitResult(setSpeedLimit, result);
      case Order.StopUntracked stopUntracked -> {
        // The next report lists the run again unless it has ended.
      }
    }
  }

  /** Returns whether a worker ignored an order because this owner has raised its token. */
  private static boolean isSuperseded(Order sent, OrderResult answer) {
    return answer instanceof OrderResult.Rejected rejected
        && rejected.reason() == Rejection.FENCED
        && sent.fencingToken() < sent.worker().fence().token();
  }

  private void handleSpeedLimitResult(Order.SetSpeedLimit order, OrderResult result) {
    runs.handleSpeedLimitResult(order.run(), result);
    log.record(
        Decision.RUN_PACED,
        "task",
        order.run().task().id(),
        "attempt",
        order.run().attempt(),
        "worker",
        order.worker().id(),
        "percent",
        order.percent(),
        "result",
        result.getClass().getSimpleName());
  }

  /**
   * Makes the decisions that are due, except the placement of tasks.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param wallMillis wall-clock time in milliseconds since 1970
   * @return orders to send now; none once a worker has seen a higher term
   */
  public List<Order> step(long nowMillis, long wallMillis) {
    if (isFenced()) {
      // Only a worker that lost the higher term in a restart would carry out these orders.
      return List.of();
    }
    applyEvacuations(nowMillis);
    runOrders.beginStep();
    List<Order> orders = new ArrayList<>(readyOrders);
    readyOrders.clear();
    jobs.openDueOccurrences(nowMillis, wallMillis);
    runOrders.dropUnsentStarts();
    workers.step(nowMillis, orders);
    if (!inheritanceSettled && !workers.unreportedRuns().isAnyTaskConcerned(nowMillis)) {
      inheritanceSettled = true;
      log.record(Decision.INHERITANCE_SETTLED, "jobs", jobs.size());
    }
    runOrders.addDue(nowMillis, orders);
    return orders;
  }

  /**
   * Returns when tasks are to be placed next.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the time until the next scheduling round is due, in milliseconds; 0 if it is due now
   */
  public long millisUntilPlacement(long nowMillis) {
    return pacer.millisUntilDue(nowMillis);
  }

  /**
   * Places the waiting tasks if a scheduling round is due. A round takes long if many jobs wait, so
   * the orders of {@link #step} are to be sent before.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param wallMillis wall-clock time in milliseconds since 1970
   * @return orders to send now
   */
  public List<Order> placeTasks(long nowMillis, long wallMillis) {
    if (isFenced() || pacer.millisUntilDue(nowMillis) > 0) {
      return List.of();
    }
    applyEvacuations(nowMillis);
    pacer.recordStart(nowMillis);
    placementRounds++;
    if (nowMillis >= nextRemovalMillis) {
      nextRemovalMillis = nowMillis + REMOVAL_INTERVAL_MILLIS;
      jobs.removeEndedBefore(wallMillis - retentionMillis);
    }
    admission.update(jobs, workers, nowMillis);
    // A restart that becomes known later concerns the inherited tasks that still wait.
    placement.placeWaitingTasks(workers.unreportedRuns().isAnyTaskConcerned(nowMillis), nowMillis);
    List<Order> orders = new ArrayList<>();
    runOrders.addDue(nowMillis, orders);
    return orders;
  }

  /**
   * Records the end of a scheduling round, whose duration determines the pause before the next one.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void recordPlacementEnd(long nowMillis) {
    pacer.recordEnd(nowMillis);
  }

  /** Returns the number of scheduling rounds so far. */
  long placementRounds() {
    return placementRounds;
  }

  /**
   * Returns the pending changes as a batch to be stored. Changes that neither a caller nor a worker
   * waits for are collected for a while, since the cost of an append hardly depends on their
   * number.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param minIntervalMillis time since the previous batch for which such changes are collected, in
   *     milliseconds
   * @return the batch, empty if no changes are due
   */
  public Optional<JournalBatch> drainChanges(long nowMillis, long minIntervalMillis) {
    boolean awaited = jobs.hasAwaitedChanges() || workers.records().hasAwaitedChanges();
    boolean intervalOver = nowMillis - lastBatchMillis >= minIntervalMillis;
    boolean due =
        awaited || (intervalOver && (jobs.hasChanges() || workers.records().hasChanges()));
    if (!due) {
      return Optional.empty();
    }
    lastBatchMillis = nowMillis;
    List<StoredChange> changes = new ArrayList<>();
    Map<Job, JobPhase> phases = jobs.drain(changes);
    List<JournalBatch.StoredEnds> workerEnds = workers.records().drain(changes);
    return Optional.of(new JournalBatch(changes, phases, workerEnds));
  }

  /**
   * Handles that a batch is stored.
   *
   * @param batch the stored batch
   * @param nowMillis monotonic time in milliseconds
   */
  public void batchStored(JournalBatch batch, long nowMillis) {
    pacer.recordChange();
    batch.phases().forEach(Job::markStored);
    jobs.handleStored(batch.changes());
    batch.storedEnds().forEach(ends -> workers.records().handleStoredEnds(ends, nowMillis));
  }

  /**
   * Returns up to which number decisions not to renew the leases of a worker are stored.
   *
   * @return the number of the last stored decision, 0 if there is none
   */
  public long lastStoredRenewalStop() {
    return workers.records().lastStoredRenewalStop();
  }

  /**
   * Returns whether a worker has seen a higher term.
   *
   * @return whether another entry probably owns the jobs
   */
  public boolean isFenced() {
    return runs.isFenced();
  }
}
