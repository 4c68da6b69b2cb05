package org.lavenderstage.core.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.CellOwnership;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.placement.CellPlanner;
import org.lavenderstage.core.placement.PlannedAction;
import org.lavenderstage.core.record.CellClaimed;
import org.lavenderstage.core.record.CellReleased;
import org.lavenderstage.core.record.CellRenewed;
import org.lavenderstage.core.record.JobRefused;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.TaskPlaced;

/**
 * Decides for one entry and one cell: claims the cell where it is free and, while the log names
 * this entry as its owner, places jobs and supervises their attempts. It is called by one thread;
 * every proposal is judged by the fold, and nothing is started before its placement is read back.
 */
public final class CellOwnerLogic {
  private static final long CLAIM_MILLIS = 500;
  private static final long PROPOSAL_MILLIS = 500;
  private static final long PLAN_MILLIS = 100;
  private static final long PENDING_MILLIS = 1000;
  private static final long SUSPECT_MILLIS = 10_000;
  private static final long RENEWALS_PER_LEASE = 3;

  /** A placement that was proposed and not read back yet. */
  private record Pending(int attempt, long proposedAtMillis) {}

  private final OwnerSettings settings;
  private final CellPlanner planner;
  private final Interval claims = new Interval(CLAIM_MILLIS);
  private final Interval renewals;
  private final Interval registrations = new Interval(PROPOSAL_MILLIS);
  private final Interval refusals = new Interval(PROPOSAL_MILLIS);
  private final Interval releases = new Interval(PROPOSAL_MILLIS);
  private final Interval plans = new Interval(PLAN_MILLIS);
  private final Map<String, Pending> pending = new HashMap<>();
  private final Map<String, Long> suspectUntilMillis = new HashMap<>();
  private Optional<AttemptSupervisor> supervisor = Optional.empty();

  /**
   * Makes the logic of an entry that owns nothing yet.
   *
   * @param settings names, leases and times
   * @param planner decides which job goes where
   */
  public CellOwnerLogic(OwnerSettings settings, CellPlanner planner) {
    this.settings = settings;
    this.planner = planner;
    this.renewals = new Interval(settings.cellLeaseMillis() / RENEWALS_PER_LEASE);
  }

  /**
   * Returns the epoch under which this entry owns the cell.
   *
   * @return the epoch, empty while the log names another owner or none
   */
  public Optional<Long> ownedEpoch() {
    return supervisor.map(AttemptSupervisor::epoch);
  }

  /**
   * Decides what to do next. Every command that is returned must be answered by {@link #take}.
   *
   * @param input what this entry sees now
   * @return the actions, in order
   */
  public List<OwnerAction> step(OwnerInput input) {
    CellOwnership ownership = input.ledger().ownership();
    List<OwnerAction> actions = new ArrayList<>();
    if (!ownership.owner().equals(Optional.of(settings.entry()))) {
      forget();
      claimIfFree(input, ownership, actions);
      return actions;
    }
    AttemptSupervisor attempts = supervise(ownership);
    boolean mayPropose = input.logAnswers() && input.nowMillis() <= ownership.leaseUntilMillis();
    keepCell(input, ownership, actions);
    if (mayPropose && !input.draining()) {
      registerWorkers(input, actions);
      refuseJobs(input, actions);
      plan(input, attempts, actions);
    }
    evictFromLeavingWorkers(input, attempts);
    actions.addAll(attempts.step(input, mayPropose));
    return actions;
  }

  private void forget() {
    supervisor = Optional.empty();
    pending.clear();
  }

  private AttemptSupervisor supervise(CellOwnership ownership) {
    if (supervisor.isEmpty() || supervisor.get().epoch() != ownership.epoch()) {
      forget();
      renewals.reset();
      supervisor = Optional.of(new AttemptSupervisor(settings, ownership.epoch()));
    }
    return supervisor.get();
  }

  private void claimIfFree(OwnerInput input, CellOwnership ownership, List<OwnerAction> actions) {
    boolean free = ownership.isFree(input.nowMillis());
    if (free && input.logAnswers() && !input.draining() && claims.isDue(input.nowMillis())) {
      long epoch = ownership.epoch() + 1;
      propose(
          actions,
          new CellClaimed(settings.cell(), settings.entry(), epoch, settings.cellLeaseMillis()));
    }
  }

  private void keepCell(OwnerInput input, CellOwnership ownership, List<OwnerAction> actions) {
    long nowMillis = input.nowMillis();
    long epoch = ownership.epoch();
    if (!input.logAnswers()) {
      return;
    }
    if (input.draining()) {
      if (releases.isDue(nowMillis)) {
        propose(actions, new CellReleased(settings.cell(), settings.entry(), epoch));
      }
    } else if (renewals.isDue(nowMillis)) {
      propose(
          actions,
          new CellRenewed(settings.cell(), settings.entry(), epoch, settings.cellLeaseMillis()));
    }
  }

  private void registerWorkers(OwnerInput input, List<OwnerAction> actions) {
    if (!registrations.isDue(input.nowMillis())) {
      return;
    }
    for (ListedWorker worker : input.listed()) {
      if (!isRegistered(input.ledger(), worker)) {
        propose(actions, worker.registration());
      }
    }
  }

  private static boolean isRegistered(CellLedger ledger, ListedWorker worker) {
    return ledger
        .worker(worker.registration().worker())
        .filter(known -> known.registered().equals(worker.registration()))
        .isPresent();
  }

  /** Ends jobs that no worker can run, once the log knows every listed worker. */
  private void refuseJobs(OwnerInput input, List<OwnerAction> actions) {
    CellLedger ledger = input.ledger();
    boolean known =
        !input.listed().isEmpty()
            && input.listed().stream().allMatch(worker -> isRegistered(ledger, worker));
    if (!known || !refusals.isDue(input.nowMillis())) {
      return;
    }
    for (JobState job : ledger.waitingJobs()) {
      if (!ledger.isRunnable(job)) {
        long epoch = ledger.ownership().epoch();
        propose(actions, new JobRefused(job.accepted().job(), settings.cell(), epoch));
      }
    }
  }

  private void plan(OwnerInput input, AttemptSupervisor attempts, List<OwnerAction> actions) {
    forgetPending(input);
    if (!plans.isDue(input.nowMillis())) {
      return;
    }
    boolean mayPlace = pending.isEmpty();
    PlacementTally tally = new PlacementTally(input.ledger(), available(input)::contains);
    for (PlannedAction action : planner.plan(input.ledger(), input.nowMillis())) {
      Optional<SupervisedAttempt> attempt = attempts.attempt(action.job());
      switch (action) {
        case PlannedAction.Place place -> {
          if (mayPlace) {
            place(input, place, tally, actions);
          }
        }
        case PlannedAction.Throttle throttle -> attempt.ifPresent(a -> a.throttle(true));
        case PlannedAction.Unthrottle unthrottle -> attempt.ifPresent(a -> a.throttle(false));
        case PlannedAction.Evict evict -> attempt.ifPresent(SupervisedAttempt::evict);
      }
    }
  }

  private void forgetPending(OwnerInput input) {
    pending
        .entrySet()
        .removeIf(
            entry ->
                input.nowMillis() - entry.getValue().proposedAtMillis() > PENDING_MILLIS
                    || input
                        .ledger()
                        .job(entry.getKey())
                        .filter(job -> job.attempt() < entry.getValue().attempt())
                        .isEmpty());
  }

  private Set<String> available(OwnerInput input) {
    Set<String> workers = new HashSet<>();
    for (ListedWorker worker : input.listed()) {
      String id = worker.registration().worker();
      boolean suspect = suspectUntilMillis.getOrDefault(id, 0L) > input.nowMillis();
      if (!worker.leaving() && !suspect) {
        workers.add(id);
      }
    }
    return workers;
  }

  private void place(
      OwnerInput input,
      PlannedAction.Place place,
      PlacementTally tally,
      List<OwnerAction> actions) {
    Optional<JobState> job =
        input.ledger().job(place.job()).filter(state -> state.phase() == JobPhase.ACCEPTED);
    Optional<String> worker = job.flatMap(state -> tally.take(state, place.worker()));
    if (worker.isEmpty()) {
      return;
    }
    int attempt = job.get().attempt() + 1;
    long nowMillis = input.nowMillis();
    pending.put(place.job(), new Pending(attempt, nowMillis));
    propose(
        actions,
        new TaskPlaced(
            place.job(),
            attempt,
            worker.get(),
            settings.cell(),
            input.ledger().ownership().epoch(),
            nowMillis + settings.taskHorizonMillis()));
  }

  private static void evictFromLeavingWorkers(OwnerInput input, AttemptSupervisor attempts) {
    Set<String> leaving = new HashSet<>();
    for (ListedWorker worker : input.listed()) {
      if (worker.leaving()) {
        leaving.add(worker.registration().worker());
      }
    }
    if (leaving.isEmpty()) {
      return;
    }
    for (JobState job : input.ledger().placedJobs()) {
      if (leaving.contains(job.worker())) {
        attempts.attempt(job.accepted().job()).ifPresent(SupervisedAttempt::evict);
      }
    }
  }

  private static void propose(List<OwnerAction> actions, LedgerRecord record) {
    actions.add(new OwnerAction.Propose(record));
  }

  /**
   * Takes the fate of a command.
   *
   * @param answer what the worker said, or that nothing came
   * @param formerLeaseUntilMillis latest end of a cell lease under an earlier epoch, by the log
   * @param nowMillis this entry's estimate of the log's time in milliseconds since 1970
   */
  public void take(WorkerAnswer answer, long formerLeaseUntilMillis, long nowMillis) {
    String worker = answer.command().job().worker();
    if (answer.status().isEmpty()) {
      suspectUntilMillis.put(worker, nowMillis + SUSPECT_MILLIS);
    } else {
      suspectUntilMillis.remove(worker);
    }
    supervisor.ifPresent(attempts -> attempts.take(answer, formerLeaseUntilMillis, nowMillis));
  }
}
