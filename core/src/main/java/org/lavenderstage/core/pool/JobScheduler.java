package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.ProgressRecord;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.core.job.StoredRecord;
import org.lavenderstage.core.job.WorkerRecord;

/**
 * Decides for the owner of the jobs which task runs where. It is given what callers, workers and
 * the store said, with the time, and returns orders to workers and changes to store. One thread
 * uses it.
 */
public final class JobScheduler {
  /** How long an ended job stays known beyond what is promised, in milliseconds. */
  private static final long RETENTION_SLACK_MILLIS = 60_000;

  /** Longest time between two rounds of placement while nothing changes, in milliseconds. */
  private static final long PLACEMENT_MILLIS = 50;

  private final JobTable jobs = new JobTable();
  private final JobRanking order = new JobRanking();
  private final BestEffortInterference pressure = new BestEffortInterference();
  private final RunTracker runs;
  private final WorkerTable workers;
  private final Placement placement;
  private final InterferenceController guard;
  private final DecisionLog log;
  private final long retentionMillis;
  private final List<Order> ready = new ArrayList<>();
  private boolean inheritanceOpen = true;
  private boolean changed = true;
  private long lastPlacementMillis;

  /**
   * Makes a scheduler that knows nothing.
   *
   * @param term fencing token of the owner
   * @param timing times of the pool
   * @param retentionMillis how long the state of an ended job is promised
   * @param log takes the decisions
   */
  public JobScheduler(long term, PoolTiming timing, long retentionMillis, DecisionLog log) {
    this.log = log;
    this.retentionMillis = retentionMillis + RETENTION_SLACK_MILLIS;
    runs = new RunTracker(jobs, log);
    workers = new WorkerTable(timing, runs, log);
    guard = new InterferenceController(pressure, runs);
    placement = new Placement(jobs, workers, runs, order, pressure, term, log);
  }

  /**
   * Takes what the store holds.
   *
   * @param records the newest record of each key
   * @param nowMillis steady time in milliseconds
   * @param wallMillis wall time in milliseconds since 1970
   */
  public void load(List<StoredRecord> records, long nowMillis, long wallMillis) {
    Map<String, ProgressRecord> progress = new HashMap<>();
    for (StoredRecord record : records) {
      if (record instanceof ProgressRecord p) {
        progress.put(p.job(), p);
      }
    }
    for (StoredRecord record : records) {
      if (record instanceof JobRecord job) {
        order.recordSubmission(job);
        jobs.load(job, Optional.ofNullable(progress.get(job.job())), nowMillis, wallMillis);
      } else if (record instanceof WorkerRecord worker) {
        workers.load(worker, nowMillis);
      }
    }
  }

  /**
   * Takes a submission. It counts as accepted once {@link Job#isStored} holds.
   *
   * @param record the job
   * @param nowMillis steady time in milliseconds
   * @return the job; the one that is there already where the identifier is known
   */
  public Job submit(JobRecord record, long nowMillis) {
    Optional<Job> known = jobs.find(record.job());
    if (known.isPresent()) {
      return known.get();
    }
    log.record(
        Decision.JOB_SUBMITTED,
        "job",
        record.job(),
        "queue",
        record.rules().queue(),
        "steps",
        summary(record));
    order.recordSubmission(record);
    return jobs.submit(record, nowMillis);
  }

  private static String summary(JobRecord record) {
    StringBuilder text = new StringBuilder();
    for (StepSpec step : record.steps()) {
      text.append(step.count()).append('x').append(step.cpuMillis()).append('m');
      text.append(step.filling() ? "-filling" : "").append(step.lasting() ? "-lasting" : "");
      text.append(step.checkpointing() ? "-saving" : "").append(step.gang() ? "-gang" : "");
      text.append(step.image().isEmpty() ? "" : "@" + step.image());
      text.append('/').append(step.estimateMillis()).append("ms ");
    }
    return text.toString().trim();
  }

  /**
   * Takes back the submissions that are in no batch yet, so that they can be rejected.
   *
   * @return the jobs, which are unknown from now on and will not be stored
   */
  public List<Job> withdrawUnstored() {
    return jobs.withdrawUnstored();
  }

  /**
   * Cancels a job. It counts as cancelled once its stored phase says so.
   *
   * @param job the job
   * @param nowMillis steady time in milliseconds
   * @param wallMillis wall time in milliseconds since 1970
   */
  public void cancel(Job job, long nowMillis, long wallMillis) {
    if (job.end(JobPhase.CANCELLED, wallMillis)) {
      jobs.changed(job);
      runs.endedJob(job, nowMillis);
    }
  }

  /**
   * Finds a job.
   *
   * @param id identifier of the job
   * @return the job, empty where it is not known
   */
  public Optional<Job> find(String id) {
    return jobs.find(id);
  }

  /**
   * Counts the accepted jobs of a queue of which no task has started.
   *
   * @param queue name of the queue
   * @return the count
   */
  public long waitingCount(String queue) {
    return jobs.waitingCount(queue);
  }

  /**
   * Returns the workers.
   *
   * @return a copy of the list
   */
  public List<Worker> workers() {
    return List.copyOf(workers.all());
  }

  /**
   * Takes a worker's listing.
   *
   * @param listing what the worker says of itself
   */
  public void workerListed(WorkerListing listing) {
    workers.listed(listing);
  }

  /**
   * Takes that a worker is not listed any more.
   *
   * @param worker identifier of the worker
   */
  public void workerUnlisted(String worker) {
    workers.unlisted(worker);
  }

  /**
   * Takes what became of an order.
   *
   * @param sent the order
   * @param result its result
   * @param nowMillis steady time in milliseconds
   * @param wallMillis wall time in milliseconds since 1970
   */
  public void orderCompleted(Order sent, OrderResult result, long nowMillis, long wallMillis) {
    changed |= !(result instanceof OrderResult.Accepted);
    switch (sent) {
      case Order.Start start -> runs.startEnded(start.worker(), start.run(), result, nowMillis);
      case Order.Stop stop -> runs.stopEnded(stop.worker(), stop.run(), result, nowMillis);
      case Order.Poll hold -> {
        workers.holdEnded(hold, result, nowMillis, wallMillis, ready);
        if (result instanceof OrderResult.Reported) {
          ready.addAll(guard.handleReport(hold.worker(), nowMillis));
        }
      }
      case Order.SetSpeedLimit pace -> paceEnded(pace, result);
      case Order.StopUntracked stray -> {
        // The next report shows whether a run that was there is gone; one that may yet come is not
        // in it.
        boolean mayCome = stray.worker().openOrders().starts(nowMillis).containsKey(stray.task());
        if (result instanceof OrderResult.Unanswered && mayCome) {
          ready.add(stray);
        }
      }
    }
  }

  private void paceEnded(Order.SetSpeedLimit pace, OrderResult result) {
    runs.paceEnded(pace.run(), result);
    log.record(
        Decision.RUN_PACED,
        "task",
        pace.run().task().id(),
        "attempt",
        pace.run().attempt(),
        "worker",
        pace.worker().id(),
        "percent",
        pace.percent(),
        "result",
        result.getClass().getSimpleName());
  }

  /**
   * Decides what is due.
   *
   * @param nowMillis steady time in milliseconds
   * @param wallMillis wall time in milliseconds since 1970
   * @return orders to send now; none once a worker has seen a higher term
   */
  public List<Order> step(long nowMillis, long wallMillis) {
    if (isFenced()) {
      // Only a worker that forgot the newer term in a restart would carry these out.
      return List.of();
    }
    List<Order> orders = new ArrayList<>(ready);
    ready.clear();
    jobs.active().forEach(job -> job.openDueOccurrences(wallMillis));
    workers.step(nowMillis, orders);
    if (inheritanceOpen && !workers.hasUnseenRuns(nowMillis)) {
      inheritanceOpen = false;
      log.record(Decision.INHERITANCE_SETTLED, "jobs", jobs.size());
    }
    if (changed || nowMillis - lastPlacementMillis >= PLACEMENT_MILLIS) {
      changed = false;
      lastPlacementMillis = nowMillis;
      jobs.dropEndedBefore(wallMillis - retentionMillis);
      placement.placeWaitingTasks(inheritanceOpen, nowMillis);
    }
    for (Worker worker : workers.all()) {
      addRunOrders(worker, nowMillis, orders);
    }
    return orders;
  }

  private void addRunOrders(Worker worker, long nowMillis, List<Order> orders) {
    for (Run run : worker.runs()) {
      if (!run.isOrderDue(nowMillis)) {
        continue;
      }
      boolean mayStart = worker.isLifeStored() && worker.isClockKnown() && !worker.isSilent();
      if (run.state() == Run.State.STARTING && mayStart) {
        long lease = workers.leaseOn(worker, nowMillis);
        run.recordStartSent(lease, worker.startedAtMillis());
        orders.add(new Order.Start(worker, run, lease));
      } else if (run.state() == Run.State.STOPPING) {
        run.recordOrderSent();
        orders.add(new Order.Stop(worker, run));
      }
    }
  }

  /**
   * Takes the changes that wait to be stored.
   *
   * @return the changes, empty where there are none
   */
  public Optional<JournalBatch> drainChanges() {
    if (!jobs.hasChanges() && !workers.hasChanges()) {
      return Optional.empty();
    }
    List<StoredChange> changes = new ArrayList<>();
    Map<Job, JobPhase> phases = jobs.drain(changes);
    List<JournalBatch.StoredEnds> noted = workers.drain(changes);
    return Optional.of(new JournalBatch(changes, phases, noted));
  }

  /**
   * Takes that a batch is stored.
   *
   * @param batch the batch
   * @param nowMillis steady time in milliseconds
   */
  public void batchStored(JournalBatch batch, long nowMillis) {
    changed = true;
    batch.phases().forEach(Job::markStored);
    batch.storedEnds().forEach(noted -> workers.stored(noted, nowMillis));
  }

  /**
   * Tells whether a worker has seen a higher term.
   *
   * @return whether another entry seems to own the jobs
   */
  public boolean isFenced() {
    return runs.isFenced();
  }
}
