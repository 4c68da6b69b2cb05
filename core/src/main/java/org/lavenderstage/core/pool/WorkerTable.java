package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.core.job.WorkerRecord;

/**
 * The workers: their listings, their leases and their reports. A worker is stored before its first
 * run, so that a later owner knows whom it has to ask; and it is forgotten only when no run on it
 * can have a lease any more.
 */
final class WorkerTable {
  /** How long a worker may hold back its report while nothing ends, in milliseconds. */
  private static final int REPORT_WAIT_MILLIS = 1_000;

  /** The same while it is not known whether a run is there; the longest time of a stop. */
  private static final int UNSETTLED_WAIT_MILLIS = 200;

  /** The same while a serving task is over its target; the time that a report's figures cover. */
  private static final int OVER_TARGET_WAIT_MILLIS =
      (int) BestEffortInterference.REPORT_WINDOW_MILLIS;

  /** Pause before a worker that gave no report is asked again, in milliseconds. */
  private static final long RETRY_MILLIS = 250;

  /** Time between reports while ends wait for the store, in milliseconds. */
  private static final long UNSTORED_PAUSE_MILLIS = 500;

  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Set<Worker> unstored = new LinkedHashSet<>();
  private final List<StoredChange> removals = new ArrayList<>();
  private final PoolTiming timing;
  private final RunTracker runs;
  private final DecisionLog log;
  private long formerOrdersOverMillis = Long.MAX_VALUE;

  WorkerTable(PoolTiming timing, RunTracker runs, DecisionLog log) {
    this.timing = timing;
    this.runs = runs;
    this.log = log;
  }

  Collection<Worker> all() {
    return workers.values();
  }

  Optional<Worker> find(String id) {
    return Optional.ofNullable(workers.get(id));
  }

  /** Takes a worker that a former owner used; its runs may go on until their lease is over. */
  void load(WorkerRecord record, long nowMillis) {
    Worker worker = new Worker(record.worker(), record.address());
    worker.bornAt(Long.parseLong(record.incarnation()));
    worker.register(worker.startedAtMillis());
    worker.noted(record.notedUpTo());
    formerOrdersOverMillis = nowMillis + timing.previousOwnerRenewalMillis();
    worker.leaseMayLastUntil(formerOrdersOverMillis + timing.longestLeaseMillis());
    workers.put(worker.id(), worker);
  }

  void listed(WorkerListing listing) {
    Worker worker = workers.computeIfAbsent(listing.id(), id -> new Worker(id, listing.address()));
    boolean changed = !worker.listing().equals(Optional.of(listing));
    long bornBefore = worker.listing().map(WorkerListing::startedAtMillis).orElse(0L);
    worker.list(Optional.of(listing));
    if (worker.startedAtMillis() == 0) {
      worker.bornAt(listing.startedAtMillis());
    } else if (namesAnotherLife(listing, bornBefore, worker)) {
      worker.doubtLife();
    }
    if (worker.isRetired() && !listing.draining()) {
      worker.retire(false);
    }
    if (!worker.isRegistered() && !worker.isRetired()) {
      unstored.add(worker);
    }
    if (changed) {
      log.record(
          Decision.WORKER_LISTED,
          "worker",
          listing.id(),
          "address",
          listing.address(),
          "service",
          listing.service(),
          "rack",
          listing.rack(),
          "draining",
          listing.draining(),
          "born",
          listing.startedAtMillis(),
          "known-born",
          worker.startedAtMillis());
    }
  }

  /**
   * Tells whether a listing is the first to name another life than the known one. A later one that
   * still does is older than the report that told.
   */
  private static boolean namesAnotherLife(WorkerListing next, long bornBefore, Worker worker) {
    long born = next.startedAtMillis();
    return born != 0 && born != bornBefore && born != worker.startedAtMillis();
  }

  void unlisted(String id) {
    Worker worker = workers.get(id);
    if (worker != null && worker.listing().isPresent()) {
      worker.list(Optional.empty());
      log.record(Decision.WORKER_UNLISTED, "worker", id, "runs", worker.runs().size());
    }
  }

  /** Orders the reports that are due, and gives up workers whose leases are over. */
  void step(long nowMillis, List<Order> orders) {
    Iterator<Worker> all = workers.values().iterator();
    while (all.hasNext()) {
      Worker worker = all.next();
      boolean leaseOver = nowMillis > worker.leaseOverMillis();
      if (worker.listing().map(WorkerListing::draining).orElse(false)) {
        runs.evacuate(worker, nowMillis);
        retireIfEmpty(worker, nowMillis);
      }
      if (leaseOver && worker.isSilent() && !worker.isIdle()) {
        loseAll(worker, "lease over");
      }
      if ((leaseOver || isEmpty(worker, nowMillis))
          && worker.isSilent()
          && worker.listing().isEmpty()) {
        log.record(Decision.WORKER_GONE, "worker", worker.id());
        forget(worker);
        all.remove();
      } else if (worker.isHoldDue(nowMillis)) {
        orders.add(hold(worker, nowMillis));
      }
    }
  }

  /**
   * Drops the record of a worker that leaves and has nothing left to run or to tell, so that a
   * later owner does not wait for it once it is gone.
   */
  private void retireIfEmpty(Worker worker, long nowMillis) {
    boolean told = worker.isLifeStored() && worker.hasForgottenAllEnds();
    if (told && isEmpty(worker, nowMillis) && !worker.isSilent() && !unstored.contains(worker)) {
      worker.retire(true);
      removals.add(StoredChange.deleteWorker(worker.id()));
    }
  }

  /** Tells whether nothing runs on a worker, nor can start by an order that is still open. */
  private static boolean isEmpty(Worker worker, long nowMillis) {
    return worker.hasReported()
        && worker.isIdle()
        && worker.openOrders().starts(nowMillis).isEmpty();
  }

  private void forget(Worker worker) {
    unstored.remove(worker);
    if (worker.mayHaveRecord()) {
      removals.add(StoredChange.deleteWorker(worker.id()));
    }
  }

  /**
   * Asks for a report, and extends the lease with it. That of a silent worker is left to run out,
   * or its tasks would never be known to be over.
   */
  private Order hold(Worker worker, long nowMillis) {
    worker.holdSent();
    long lease = 0;
    if (worker.isClockKnown() && worker.hasReported() && !worker.isSilent()) {
      lease = leaseOn(worker, nowMillis);
    }
    boolean settled = worker.hasReported() && !worker.isLifeInDoubt();
    boolean wait = settled && worker.seenUpTo() == worker.notedUpTo();
    int longestWait = wait ? longestReportWait(worker) : 0;
    return new Order.Poll(worker, lease, worker.endsToForget(), longestWait, nowMillis);
  }

  private static int longestReportWait(Worker worker) {
    if (worker.hasUnsettledRuns()) {
      return UNSETTLED_WAIT_MILLIS;
    }
    boolean over =
        worker.fillingCount() > 0
            && worker.isServing()
            && worker.runs().stream().anyMatch(InterferenceController::exceedsTarget);
    return over ? OVER_TARGET_WAIT_MILLIS : REPORT_WAIT_MILLIS;
  }

  /** Returns the end of a new lease on the worker's clock. */
  long leaseOn(Worker worker, long nowMillis) {
    worker.leaseMayLastUntil(nowMillis + timing.longestLeaseMillis());
    return worker.clockAt(nowMillis) + timing.leaseMillis();
  }

  /** Takes the answer to an order to report. */
  void holdEnded(
      Order.Poll order, OrderResult result, long nowMillis, long wallMillis, List<Order> orders) {
    Worker worker = order.worker();
    if (workers.get(worker.id()) != worker) {
      return;
    }
    boolean wasSilent = worker.isSilent();
    switch (result) {
      case OrderResult.Reported reported -> {
        worker.holdEnded(true, nowMillis);
        if (wasSilent) {
          log.record(Decision.WORKER_BACK, "worker", worker.id());
        }
        reported(order, reported.report(), nowMillis, wallMillis, orders);
      }
      case OrderResult.Rejected rejected -> holdRejected(worker, rejected.reason(), nowMillis);
      case OrderResult.Unanswered unanswered -> {
        // A single report that is lost says little of its worker; the next one is asked for at
        // once.
        worker.holdEnded(false, wasSilent ? nowMillis + RETRY_MILLIS : nowMillis);
        if (order.acknowledgedUpTo() > 0) {
          worker.openOrders().forgettingLeftOpen(nowMillis);
        }
        if (!wasSilent) {
          log.record(
              Decision.WORKER_SILENT,
              "worker",
              worker.id(),
              "cause",
              unanswered.cause(),
              "runs",
              worker.runs().size());
        }
      }
      case OrderResult.Accepted accepted -> throw new IllegalArgumentException("no report");
    }
  }

  private void holdRejected(Worker worker, Rejection reason, long nowMillis) {
    worker.holdEnded(false, nowMillis + RETRY_MILLIS);
    log.record(Decision.ORDER_REJECTED, "order", "hold", "worker", worker.id(), "reason", reason);
    if (reason == Rejection.FENCED) {
      runs.fenced();
    } else if (reason == Rejection.OTHER_INCARNATION && worker.isHeldWhereListed()) {
      loseAll(worker, "another worker has its address");
      worker.list(Optional.empty());
      worker.leaseIsOver(nowMillis);
    }
  }

  private void reported(
      Order.Poll order, WorkerReport report, long nowMillis, long wallMillis, List<Order> orders) {
    Worker worker = order.worker();
    if (report.startedAtMillis() != 0 && report.startedAtMillis() != worker.startedAtMillis()) {
      reborn(worker, report, order.sentAtMillis(), nowMillis, orders);
    } else {
      worker.lifeReported();
      worker.forgot(order.acknowledgedUpTo());
    }
    worker.sampleClock(report.clockMillis(), nowMillis);
    if (report.isComplete()) {
      worker.reportedAllEnds();
    }
    if (!worker.hasReported()) {
      worker.greet(true);
      log.record(
          Decision.WORKER_GREETED,
          "worker",
          worker.id(),
          "running",
          report.running().size(),
          "ended",
          report.ended().size());
    }
    long seenBefore = worker.seenUpTo();
    runs.reported(worker, report, order.sentAtMillis(), nowMillis, wallMillis, orders);
    if (order.sentAtMillis() > formerOrdersOverMillis) {
      // A former owner starts a task again only once it takes its run for over.
      runs.settle(worker, report);
    }
    if (worker.seenUpTo() > seenBefore) {
      worker.retire(false);
      unstored.add(worker);
    }
    if (worker.seenUpTo() > worker.notedUpTo()) {
      worker.holdEnded(true, nowMillis + UNSTORED_PAUSE_MILLIS);
    }
  }

  /** What a new life in place confirms is that all runs of the former life are gone. */
  private void reborn(
      Worker worker, WorkerReport report, long sentAt, long nowMillis, List<Order> orders) {
    boolean known = worker.startedAtMillis() != 0;
    long former = worker.startedAtMillis();
    worker.rebirth(report.startedAtMillis());
    worker.retire(false);
    unstored.add(worker);
    if (!known) {
      return;
    }
    log.record(
        Decision.WORKER_REBORN,
        "worker",
        worker.id(),
        "born",
        report.startedAtMillis(),
        "former",
        former,
        "lease-over-in",
        worker.leaseOverMillis() - nowMillis,
        "paused-ms",
        Math.max(0, worker.openOrders().forgettingUntil() - nowMillis));
    runs.reborn(worker, report, sentAt, nowMillis, orders);
  }

  private void loseAll(Worker worker, String why) {
    worker.runs().forEach(run -> runs.lost(worker, run, why));
    worker.greet(false);
  }

  /** Tells whether a worker of a former owner may still run something that is not known. */
  boolean hasUnseenRuns(long nowMillis) {
    return unreportedWorkerCount(nowMillis) > 0;
  }

  /** Counts the workers of a former owner that may still run something that is not known. */
  int unreportedWorkerCount(long nowMillis) {
    return (int)
        workers.values().stream()
            .filter(
                w ->
                    w.isRegistered() && !w.hasReportedAllEnds() && nowMillis <= w.leaseOverMillis())
            .count();
  }

  boolean hasChanges() {
    return !unstored.isEmpty() || !removals.isEmpty();
  }

  /** Takes the changes that wait to be stored; a worker that came back was removed before that. */
  List<JournalBatch.StoredEnds> drain(List<StoredChange> changes) {
    changes.addAll(removals);
    List<JournalBatch.StoredEnds> noted = new ArrayList<>(unstored.size());
    for (Worker worker : unstored) {
      worker.recordSent();
      changes.add(
          StoredChange.put(
              new WorkerRecord(
                  worker.id(),
                  Long.toString(worker.startedAtMillis()),
                  worker.address(),
                  worker.seenUpTo())));
      noted.add(new JournalBatch.StoredEnds(worker, worker.startedAtMillis(), worker.seenUpTo()));
    }
    unstored.clear();
    removals.clear();
    return noted;
  }

  void stored(JournalBatch.StoredEnds noted, long nowMillis) {
    Worker worker = noted.worker();
    if (!worker.isRetired()) {
      worker.register(noted.workerStartedAtMillis());
    }
    if (worker.startedAtMillis() == noted.workerStartedAtMillis()
        && noted.upTo() > worker.notedUpTo()) {
      worker.noted(noted.upTo());
      worker.holdSoon(nowMillis);
    }
  }
}
