package org.lavenderstage.core.pool;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.job.WorkerRecord;

/**
 * Keeps the workers with their listings, leases and reports. A worker's record is stored before its
 * first run, so that a later owner knows which workers to poll. The record is removed only when no
 * run on the worker can have a valid lease.
 */
final class WorkerTable {
  /** Pause before a worker that gave no report is polled again, in milliseconds. */
  private static final long POLL_RETRY_PAUSE_MILLIS = 250;

  /** Time between polls while ended runs wait to be stored, in milliseconds. */
  private static final long UNSTORED_POLL_PAUSE_MILLIS = 500;

  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final PoolTiming timing;
  private final RunTracker runs;
  private final RestartedRuns restartedRuns;
  private final WorkerLeases leases;
  private final DecisionLog log;
  private final RenewalPolicy renewals;
  private final WorkerRecords records;
  private final LateOrders lateOrders;
  private final UnreportedRuns unreportedRuns;

  /** First fencing token of the next worker; higher than those of the removed workers. */
  private long nextFirstToken;

  private long previousOwnerInactiveMillis = Long.MIN_VALUE;

  WorkerTable(long term, PoolTiming timing, RunTracker runs, DecisionLog log) {
    nextFirstToken = WorkerFence.lowestToken(term);
    this.timing = timing;
    this.runs = runs;
    restartedRuns = new RestartedRuns(runs);
    leases = new WorkerLeases(timing);
    lateOrders = new LateOrders(leases);
    unreportedRuns = new UnreportedRuns(workers.values(), lateOrders);
    this.log = log;
    renewals = new RenewalPolicy(term, timing, log);
    records = new WorkerRecords(renewals);
  }

  Collection<Worker> all() {
    return workers.values();
  }

  Optional<Worker> find(String id) {
    return Optional.ofNullable(workers.get(id));
  }

  /** Returns the stored records of the workers and their pending changes. */
  WorkerRecords records() {
    return records;
  }

  /** Returns the leases of the workers. */
  WorkerLeases leases() {
    return leases;
  }

  /** Returns which tasks may run on workers because of delayed orders. */
  LateOrders lateOrders() {
    return lateOrders;
  }

  /** Returns which tasks may have runs of previous owners that are not known. */
  UnreportedRuns unreportedRuns() {
    return unreportedRuns;
  }

  /** Adds a worker of a previous owner; its runs may continue until their lease expires. */
  void load(WorkerRecord record, RenewalStops renewalStops, long nowMillis) {
    Worker worker = new Worker(record.worker(), record.address(), nextFirstToken);
    worker.markInherited();
    worker.setStartedAtMillis(Long.parseLong(record.incarnation()));
    worker.markRecordStored(worker.startedAtMillis());
    worker.ends().recordStored(record.notedUpTo());
    previousOwnerInactiveMillis = nowMillis + timing.previousOwnerRenewalMillis();
    if (renewals.restore(worker, record, renewalStops, nowMillis)) {
      records.markChanged(worker);
    } else {
      // The previous owner's orders may have reached an incarnation with another clock.
      worker.lease().extend(previousOwnerInactiveMillis + timing.longestForeignLeaseMillis());
      worker.lease().recordOrder(previousOwnerInactiveMillis);
    }
    Optional.ofNullable(record.mayStartLate()).stream()
        .flatMap(List::stream)
        .map(TaskId::parse)
        .forEach(task -> worker.unansweredOrders().recordInherited(task, 0, true, nowMillis));
    if (record.restartPending()) {
      raiseToken(worker, "record");
    }
    workers.put(worker.id(), worker);
  }

  void handleListing(WorkerListing listing) {
    Worker worker =
        workers.computeIfAbsent(
            listing.id(), id -> new Worker(id, listing.address(), nextFirstToken));
    boolean changed = !worker.listing().equals(Optional.of(listing));
    long previouslyListedStart = worker.listing().map(WorkerListing::startedAtMillis).orElse(0L);
    worker.setListing(Optional.of(listing));
    boolean restarted =
        worker.startedAtMillis() != 0
            && indicatesNewIncarnation(listing, previouslyListedStart, worker);
    if (worker.startedAtMillis() == 0) {
      worker.setStartedAtMillis(listing.startedAtMillis());
    }
    if (worker.isRecordRemoved() && !listing.draining()) {
      worker.setRecordRemoved(false);
    }
    if (!worker.isRecordStored() && !worker.isRecordRemoved()) {
      records.markChanged(worker);
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
    if (restarted) {
      raiseToken(worker, "listing");
    }
  }

  private void raiseToken(Worker worker, String cause) {
    worker.fence().raise();
    if (worker.isInherited()) {
      worker.setReportedCompletely(false);
    }
    if (worker.mayHaveRecord()) {
      records.markChanged(worker);
    }
    log.record(
        Decision.TOKEN_RAISED,
        "worker",
        worker.id(),
        "cause",
        cause,
        "fencing-token",
        worker.fence().token(),
        "unanswered-starts",
        worker.unansweredOrders().tasks(start -> true).size());
  }

  /**
   * Returns whether a listing is the first to name another incarnation than the known one. If a
   * later listing still names it, that listing is older than the report that named the known one.
   */
  private static boolean indicatesNewIncarnation(
      WorkerListing next, long previouslyListedStart, Worker worker) {
    long listedStart = next.startedAtMillis();
    return listedStart != 0
        && listedStart != previouslyListedStart
        && listedStart != worker.startedAtMillis();
  }

  void handleUnlisted(String id) {
    Worker worker = workers.get(id);
    if (worker != null && worker.listing().isPresent()) {
      worker.setListing(Optional.empty());
      log.record(Decision.WORKER_UNLISTED, "worker", id, "runs", worker.runs().size());
    }
  }

  /**
   * Polls the workers that are due, and removes those that are neither listed nor responsive once
   * their leases have expired.
   *
   * @param orders receives the polls
   */
  void step(long nowMillis, List<Order> orders) {
    Iterator<Worker> all = workers.values().iterator();
    while (all.hasNext()) {
      Worker worker = all.next();
      boolean leaseExpired = nowMillis > worker.lease().expiryMillis();
      if (worker.listing().map(WorkerListing::draining).orElse(false)) {
        runs.evacuate(worker, nowMillis);
        removeRecordIfEmpty(worker, nowMillis);
      }
      if (leaseExpired && worker.isUnresponsive() && !worker.isIdle()) {
        markExpired(worker, nowMillis);
      }
      boolean noRuns =
          leaseExpired ? lateOrders.areRunsOver(worker, nowMillis) : worker.isEmpty(nowMillis);
      if (noRuns && worker.isUnresponsive() && worker.listing().isEmpty()) {
        log.record(Decision.WORKER_GONE, "worker", worker.id());
        records.discard(worker);
        nextFirstToken = Math.max(nextFirstToken, worker.fence().token() + 1);
        all.remove();
      } else if (worker.isPollDue(nowMillis)) {
        orders.add(poll(worker, nowMillis));
      }
    }
  }

  /**
   * Removes the record of a draining worker that has no runs and no unacknowledged ended runs, so
   * that a later owner does not wait for it once it has shut down.
   */
  private void removeRecordIfEmpty(Worker worker, long nowMillis) {
    boolean allAcknowledged = worker.isIncarnationStored() && worker.ends().isAllAcknowledged();
    if (allAcknowledged
        && worker.isEmpty(nowMillis)
        && !worker.isUnresponsive()
        && !records.isChanged(worker)) {
      worker.setRecordRemoved(true);
      records.remove(worker);
    }
  }

  /** Marks the runs as lost whose leases have expired, except those that may start late. */
  private void markExpired(Worker worker, long nowMillis) {
    Set<TaskId> lateTasks = lateOrders.tasksThatMayRun(worker, nowMillis);
    worker.runs().stream()
        .filter(run -> !lateTasks.contains(run.task().id()))
        .forEach(run -> runs.markLost(worker, run, "lease expired"));
    worker.setReported(false);
  }

  /**
   * Polls a worker and renews its lease. The lease of an unresponsive worker is left to expire, so
   * that its runs are known to have ended.
   */
  private Order poll(Worker worker, long nowMillis) {
    worker.recordPollSent();
    long leaseUntilMillis = 0;
    boolean reachable = worker.isClockKnown() && worker.hasReported() && !worker.isUnresponsive();
    if (reachable && worker.renewal().isAllowed()) {
      leaseUntilMillis = leases.grant(worker, nowMillis);
    }
    boolean incarnationKnown = worker.hasReported() && worker.fence().isConfirmed();
    boolean mayWait = incarnationKnown && worker.ends().seenUpTo() == worker.ends().storedUpTo();
    int maxWaitMillis = mayWait ? ReportWait.maxMillis(worker) : 0;
    return new Order.Poll(
        worker, leaseUntilMillis, worker.nextAcknowledgement(), maxWaitMillis, nowMillis);
  }

  /** Handles the result of a start. */
  void handleStartResult(Order.Start start, OrderResult result, long nowMillis) {
    Worker worker = start.worker();
    worker.unansweredOrders().recordStartEnded();
    if (!(result instanceof OrderResult.Unanswered)) {
      worker.unansweredOrders().recordAnswer(start.sentAtMillis());
    }
    boolean otherIncarnation = leases.isOnOtherClock(start, result);
    if (otherIncarnation && start.fencingToken() == worker.fence().token()) {
      raiseToken(worker, "clock");
    }
    if (otherIncarnation) {
      // Delayed renewals may prolong the lease that the other incarnation has granted.
      worker.unansweredOrders().recordStart(start, nowMillis);
    }
    if (otherIncarnation || result instanceof OrderResult.Unanswered) {
      leases.extendForeign(worker, nowMillis);
    }
    runs.handleStartResult(start, result, nowMillis);
  }

  /** Handles the result of a poll. */
  void handlePollResult(
      Order.Poll order, OrderResult result, long nowMillis, long wallMillis, List<Order> orders) {
    Worker worker = order.worker();
    if (workers.get(worker.id()) != worker) {
      return;
    }
    boolean wasUnresponsive = worker.isUnresponsive();
    switch (result) {
      case OrderResult.Reported reported -> {
        worker.recordPollEnded(true, nowMillis);
        if (wasUnresponsive) {
          log.record(Decision.WORKER_BACK, "worker", worker.id());
        }
        if (worker.renewal().stop().isPresent()) {
          worker.renewal().resume();
          records.markChanged(worker);
        }
        handleReport(order, reported.report(), nowMillis, wallMillis, orders);
      }
      case OrderResult.Rejected rejected ->
          handlePollRejection(worker, rejected.reason(), nowMillis);
      case OrderResult.Unanswered unanswered -> {
        // A single lost report says little about its worker, so the first poll after it is sent at
        // once.
        worker.recordPollEnded(
            false, wasUnresponsive ? nowMillis + POLL_RETRY_PAUSE_MILLIS : nowMillis);
        boolean mayStart = worker.unansweredOrders().isAnyPending(nowMillis);
        if (order.leaseUntilMillis() > 0 && mayStart) {
          leases.extendForeign(worker, nowMillis);
        }
        if (!wasUnresponsive) {
          log.record(
              Decision.WORKER_SILENT,
              "worker",
              worker.id(),
              "cause",
              unanswered.cause(),
              "runs",
              worker.runs().size(),
              "unanswered-starts",
              worker.unansweredOrders().starts(nowMillis).size(),
              "token-confirmed",
              worker.fence().isConfirmed(),
              "lease-over-in",
              worker.lease().expiryMillis() - nowMillis);
        }
        // A stop cannot be relied upon as long as a previous owner may still renew the leases.
        if (nowMillis >= previousOwnerInactiveMillis && renewals.stopIfDue(worker, nowMillis)) {
          records.markChanged(worker);
        }
      }
      case OrderResult.Accepted accepted ->
          throw new IllegalArgumentException("expected a report, found a result without one");
    }
  }

  private void handlePollRejection(Worker worker, Rejection reason, long nowMillis) {
    if (reason == Rejection.SUPERSEDED) {
      worker.recordPollEnded(true, nowMillis);
      return;
    }
    worker.recordPollEnded(false, nowMillis + POLL_RETRY_PAUSE_MILLIS);
    log.record(Decision.ORDER_REJECTED, "order", "hold", "worker", worker.id(), "reason", reason);
    if (reason == Rejection.FENCED) {
      runs.markFenced();
    } else if (reason == Rejection.OTHER_INCARNATION && worker.isPolledAtListedAddress()) {
      markAllLost(worker, "another worker has its address");
      worker.setListing(Optional.empty());
      worker.lease().expire(nowMillis);
    }
  }

  private void handleReport(
      Order.Poll order, WorkerReport report, long nowMillis, long wallMillis, List<Order> orders) {
    Worker worker = order.worker();
    boolean restarted =
        report.startedAtMillis() != 0 && report.startedAtMillis() != worker.startedAtMillis();
    if (restarted && worker.fence().isConfirmed()) {
      raiseToken(worker, "report");
    }
    boolean confirmed = worker.fence().recordReport(order.fencingToken());
    if (confirmed && worker.isRecordSentWithRestart()) {
      records.markChanged(worker);
    }
    if (restarted || (confirmed && worker.fence().isRaised())) {
      leases.extendForeign(worker, nowMillis);
    }
    if (restarted) {
      handleRestart(worker, report, order.sentAtMillis(), nowMillis);
    } else {
      worker.ends().recordAcknowledged(order.acknowledgedUpTo());
    }
    worker.sampleClock(report.clockMillis(), nowMillis);
    worker.unansweredOrders().recordAnswer(order.sentAtMillis());
    worker.unansweredOrders().recordReport(order.sentAtMillis());
    if (report.isComplete() && worker.fence().isConfirmed()) {
      worker.setReportedCompletely(true);
      if (leases.areDelayedOrdersOver(previousOwnerInactiveMillis, order.sentAtMillis())) {
        worker.clearInherited();
      }
    }
    if (!worker.hasReported()) {
      worker.setReported(true);
      log.record(
          Decision.WORKER_GREETED,
          "worker",
          worker.id(),
          "running",
          report.running().size(),
          "ended",
          report.ended().size());
    }
    long seenBefore = worker.ends().seenUpTo();
    runs.handleReport(worker, report, order.sentAtMillis(), nowMillis, wallMillis, orders);
    if (confirmed) {
      restartedRuns.handleConfirmation(worker, report);
    }
    if (order.sentAtMillis() > previousOwnerInactiveMillis) {
      // A previous owner starts a task again only after it considers its run ended.
      runs.clearInheritedMarks(worker, report);
    }
    if (worker.ends().seenUpTo() > seenBefore) {
      worker.setRecordRemoved(false);
      records.markChanged(worker);
    }
    if (worker.ends().seenUpTo() > worker.ends().storedUpTo()) {
      worker.recordPollEnded(true, nowMillis + UNSTORED_POLL_PAUSE_MILLIS);
    }
  }

  /**
   * Handles a report of a new incarnation. If the previous incarnation is known, all its runs have
   * ended.
   */
  private void handleRestart(
      Worker worker, WorkerReport report, long polledAtMillis, long nowMillis) {
    boolean known = worker.startedAtMillis() != 0;
    long previousStart = worker.startedAtMillis();
    worker.beginIncarnation(report.startedAtMillis());
    worker.setRecordRemoved(false);
    records.markChanged(worker);
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
        previousStart,
        "lease-over-in",
        worker.lease().expiryMillis() - nowMillis,
        "fencing-token",
        worker.fence().token());
    restartedRuns.handleRestart(worker, report, polledAtMillis, nowMillis);
  }

  private void markAllLost(Worker worker, String explanation) {
    worker.runs().forEach(run -> runs.markLost(worker, run, explanation));
    worker.setReported(false);
  }
}
