package org.lavenderstage.core.pool;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.job.WorkerRecord;

/**
 * Decides when the leases of an unresponsive worker are renewed no more, and converts that to and
 * from the worker's record, on which a later owner relies.
 */
final class RenewalPolicy {
  /**
   * Number of polls in a row without a report after which the renewal of leases is stopped; a
   * single report is lost often.
   */
  private static final int POLLS_BEFORE_STOP = 2;

  /** Bits of a stop's number below those of the term, so that numbers grow from term to term. */
  private static final int NUMBER_BITS = 32;

  /** Maximum number of tasks that are listed in a worker's record, which has a limited size. */
  private static final int MAX_LISTED_TASKS = 2_000;

  private final long term;
  private final PoolTiming timing;
  private final DecisionLog log;
  private long lastNumber;
  private long lastStoredNumber;

  RenewalPolicy(long term, PoolTiming timing, DecisionLog log) {
    this.term = term;
    this.timing = timing;
    this.log = log;
    lastNumber = term << NUMBER_BITS;
  }

  /** Returns the number up to which decisions to stop the renewal of leases are stored. */
  long lastStoredNumber() {
    return lastStoredNumber;
  }

  /**
   * Restores the stop of a renewal, if the previous owner has stored one. The lease is then counted
   * from the time at which this entry learned of that, and no previous owner renews it.
   *
   * <p>An owner of an earlier version does not know of stops. Therefore each owner stores those
   * that are in force under its own term.
   *
   * @return whether there is a stop
   */
  boolean restore(Worker worker, WorkerRecord record, RenewalStops renewalStops, long nowMillis) {
    if (record.renewalStopTerm() == 0 || record.renewalStopTerm() != term - 1) {
      return false;
    }
    RenewalStop stop =
        new RenewalStop(
            record.renewalStop(),
            record.sinceRenewalMillis(),
            Optional.ofNullable(record.mayRun()).map(Set::copyOf));
    worker.renewal().restore(stop);
    long knownSinceMillis = renewalStops.knownSinceMillis(stop.number()).orElse(nowMillis);
    worker
        .lease()
        .extend(knownSinceMillis - stop.sinceRenewalMillis() + timing.longestLeaseMillis());
    worker.lease().recordOrder(knownSinceMillis - Math.max(0, stop.sinceRenewalMillis()));
    lastStoredNumber = Math.max(lastStoredNumber, stop.number());
    return true;
  }

  /**
   * Stops the renewal of leases on a worker that has left several polls unanswered. A start in
   * flight may still extend its lease, which a stop that is stored could not count any more.
   *
   * @return whether the renewal was stopped now
   */
  boolean stopIfDue(Worker worker, long nowMillis) {
    if (worker.failedPolls() < POLLS_BEFORE_STOP
        || worker.renewal().stop().isPresent()
        || worker.unansweredOrders().isStartInFlight()
        || !worker.isRecordStored()) {
      return false;
    }
    long renewedMillis = worker.lease().expiryMillis() - timing.longestLeaseMillis();
    Set<String> tasks = tasksThatMayRun(worker, nowMillis);
    boolean listed = worker.isEachRunTracked() && tasks.size() <= MAX_LISTED_TASKS;
    RenewalStop stop =
        new RenewalStop(
            ++lastNumber,
            nowMillis - renewedMillis,
            listed ? Optional.of(Set.copyOf(tasks)) : Optional.empty());
    worker.renewal().stop(stop);
    log.record(
        Decision.RENEWAL_STOPPED,
        "worker",
        worker.id(),
        "number",
        stop.number(),
        "since-renewal-ms",
        stop.sinceRenewalMillis(),
        "tasks",
        listed ? tasks.size() : "unknown",
        "late",
        LateOrders.tasksToStore(worker).size());
    return true;
  }

  private static Set<String> tasksThatMayRun(Worker worker, long nowMillis) {
    Set<String> tasks = new HashSet<>();
    worker.runs().forEach(run -> tasks.add(run.task().id().toString()));
    worker
        .unansweredOrders()
        .starts(nowMillis)
        .keySet()
        .forEach(task -> tasks.add(task.toString()));
    return tasks;
  }

  WorkerRecord createRecord(Worker worker) {
    Optional<RenewalStop> stop = worker.renewal().stop();
    boolean restartPending = worker.fence().isRestartPending();
    List<String> mayStartLate =
        LateOrders.tasksToStore(worker).stream().map(TaskId::toString).toList();
    return new WorkerRecord(
        worker.id(),
        Long.toString(worker.startedAtMillis()),
        worker.address(),
        worker.ends().seenUpTo(),
        stop.isPresent() ? term : 0,
        stop.map(RenewalStop::number).orElse(0L),
        stop.map(RenewalStop::sinceRenewalMillis).orElse(0L),
        stop.flatMap(RenewalStop::mayRun).map(List::copyOf).orElse(null),
        restartPending,
        mayStartLate);
  }

  /**
   * Records that a worker's record is stored.
   *
   * @param stopNumber number of the stop in the record, 0 for none
   * @return whether leases may be granted again from now on
   */
  boolean recordStored(Worker worker, long stopNumber) {
    boolean wasAllowed = worker.renewal().isAllowed();
    worker.renewal().recordStored(stopNumber > 0);
    lastStoredNumber = Math.max(lastStoredNumber, stopNumber);
    return !wasAllowed && worker.renewal().isAllowed();
  }
}
