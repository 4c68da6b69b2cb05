package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.Task;

/**
 * Applies the operator's requests to evacuate failure domains: workers there get no new runs, and
 * no start is sent to them again. After a request is withdrawn, they return to use one after the
 * other.
 */
final class Evacuations {
  /**
   * Time over which the workers of a failure domain return to use, in milliseconds. Users accept
   * that a job has no run beside free capacity for 3 s.
   */
  static final long RETURN_MILLIS = 2_000;

  /**
   * Time after which a responsive worker has listed a run whose start it has carried out, in
   * milliseconds: the wait of a report and some round trips.
   */
  private static final long REPORT_MILLIS = 1_500;

  private final WorkerTable workers;
  private final RunTracker runs;
  private final DecisionLog log;
  private Supplier<Set<String>> requests = Set::of;
  private Set<String> domains = Set.of();

  Evacuations(WorkerTable workers, RunTracker runs, DecisionLog log) {
    this.workers = workers;
    this.runs = runs;
    this.log = log;
  }

  /** Uses a source of the failure domains that are to be evacuated. */
  void follow(Supplier<Set<String>> newRequests) {
    requests = newRequests;
  }

  /** Returns whether a failure domain is to be evacuated. */
  boolean isRequested(String domain) {
    return domains.contains(domain);
  }

  /**
   * Applies the newest requests.
   *
   * @return whether they have changed
   */
  boolean refresh(long nowMillis) {
    Set<String> next = requests.get();
    boolean changed = !next.equals(domains);
    if (!changed && next.isEmpty()) {
      return false;
    }
    Set<String> previous = domains;
    domains = next;
    workers.all().forEach(worker -> worker.evacuation.update(this));
    if (changed) {
      next.stream()
          .filter(domain -> !previous.contains(domain))
          .forEach(domain -> logDomain(Decision.DOMAIN_EVACUATED, domain));
      previous.stream()
          .filter(domain -> !next.contains(domain))
          .forEach(domain -> scheduleReturn(domain, nowMillis));
    }
    endStarts(nowMillis);
    return changed;
  }

  private void logDomain(Decision decision, String domain) {
    List<Worker> concerned = workersOf(domain);
    log.record(
        decision,
        "domain",
        domain,
        "workers",
        concerned.size(),
        "runs",
        concerned.stream().mapToInt(worker -> worker.runs().size()).sum());
  }

  private List<Worker> workersOf(String domain) {
    return workers.all().stream()
        .filter(worker -> worker.evacuation.domain().equals(domain))
        .toList();
  }

  /**
   * Spreads the return of the workers over time, so that the tasks that wait do not all start on
   * workers that have been unused. Those that say that they are still slow return last.
   */
  private void scheduleReturn(String domain, long nowMillis) {
    List<Worker> returning = new ArrayList<>(workersOf(domain));
    returning.sort(Comparator.comparing(Evacuations::isCold));
    for (int i = 0; i < returning.size(); i++) {
      returning.get(i).evacuation.returnAt(nowMillis + RETURN_MILLIS * i / returning.size());
    }
    logDomain(Decision.DOMAIN_RETURNED, domain);
  }

  private static boolean isCold(Worker worker) {
    return worker.listing().filter(WorkerListing::cold).isPresent();
  }

  /**
   * Ends the runs whose next order would be a start there: those without a start so far are
   * released, and those whose start was not answered are stopped unless a report lists them in
   * time.
   */
  private void endStarts(long nowMillis) {
    for (Run run : runs.awaitingOrder.starts()) {
      Worker worker = workers.find(run.worker()).orElseThrow();
      boolean reportDue = run.isStartSent() && nowMillis - run.stateSinceMillis() < REPORT_MILLIS;
      boolean ends =
          worker.evacuation.isEvacuated()
              && run.state() == Run.State.STARTING
              && run.isOrderDue(nowMillis)
              && !reportDue;
      if (!ends) {
        continue;
      }
      if (run.isStartSent()) {
        runs.stop(run, "its failure domain is evacuated", nowMillis);
      } else {
        runs.markLost(worker, run, "its start was never sent");
      }
      stopIncompleteGang(run, nowMillis);
    }
  }

  /** Stops the other members of a gang, which would wait for a member in vain. */
  private void stopIncompleteGang(Run member, long nowMillis) {
    if (!member.task().step().spec().gang()) {
      return;
    }
    for (Task task : member.task().step().tasks()) {
      for (Run run : new ArrayList<>(task.runs())) {
        runs.stop(run, "a member of its gang cannot start", nowMillis);
      }
    }
  }
}
