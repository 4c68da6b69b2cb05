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
 * Decides what one entry does about one cell. It claims the cell if it has no owner and, while this
 * entry is the owner according to the log, places jobs and supervises their attempts. Proposals
 * take effect only if the ledger accepts them, and an attempt is started only after its placement
 * has been read from the log. This class is not thread-safe.
 */
public final class CellOwnerLogic {
  private static final long CLAIM_INTERVAL_MILLIS = 500;
  private static final long PROPOSAL_INTERVAL_MILLIS = 500;
  private static final long PLAN_INTERVAL_MILLIS = 100;
  private static final long PENDING_TIMEOUT_MILLIS = 1000;

  /** The time during which no job is placed on a worker that has not answered a command. */
  private static final long SUSPICION_MILLIS = 10_000;

  private static final long RENEWALS_PER_LEASE = 3;

  /** A placement that was proposed and has not been read from the log yet. */
  private record PendingPlacement(int attempt, long proposedAtMillis) {}

  private final OwnerSettings settings;
  private final CellPlanner planner;
  private final RateLimiter claimLimiter = new RateLimiter(CLAIM_INTERVAL_MILLIS);
  private final RateLimiter renewalLimiter;
  private final RateLimiter registrationLimiter = new RateLimiter(PROPOSAL_INTERVAL_MILLIS);
  private final RateLimiter refusalLimiter = new RateLimiter(PROPOSAL_INTERVAL_MILLIS);
  private final RateLimiter releaseLimiter = new RateLimiter(PROPOSAL_INTERVAL_MILLIS);
  private final RateLimiter planLimiter = new RateLimiter(PLAN_INTERVAL_MILLIS);
  private final Map<String, PendingPlacement> pendingPlacements = new HashMap<>();
  private final Map<String, Long> suspectUntilMillis = new HashMap<>();
  private Optional<AttemptSupervisor> supervisor = Optional.empty();

  /**
   * Creates the logic of an entry that does not own the cell.
   *
   * @param settings the names, leases and time limits
   * @param planner the planner that decides which job runs on which worker
   */
  public CellOwnerLogic(OwnerSettings settings, CellPlanner planner) {
    this.settings = settings;
    this.planner = planner;
    this.renewalLimiter = new RateLimiter(settings.cellLeaseMillis() / RENEWALS_PER_LEASE);
  }

  /**
   * Returns the epoch of this entry's ownership of the cell.
   *
   * @return the epoch, or empty while the cell has another owner or none
   */
  public Optional<Long> ownedEpoch() {
    return supervisor.map(AttemptSupervisor::epoch);
  }

  /**
   * Decides the next actions. The caller must pass the result of every returned command to {@link
   * #handleResult}.
   *
   * @param input the current input
   * @return the actions, in the order in which they must be executed
   */
  public List<OwnerAction> step(OwnerInput input) {
    CellOwnership ownership = input.ledger().ownership();
    List<OwnerAction> actions = new ArrayList<>();
    if (!ownership.owner().equals(Optional.of(settings.entry()))) {
      clearOwnership();
      claimIfFree(input, ownership, actions);
      return actions;
    }
    AttemptSupervisor activeSupervisor = supervisorFor(ownership);
    boolean mayPropose = input.logAvailable() && input.nowMillis() <= ownership.leaseUntilMillis();
    renewOrReleaseCell(input, ownership, actions);
    if (mayPropose && !input.draining()) {
      registerWorkers(input, actions);
      refuseJobs(input, actions);
      plan(input, activeSupervisor, actions);
    }
    evictFromLeavingWorkers(input, activeSupervisor);
    actions.addAll(activeSupervisor.step(input, mayPropose));
    return actions;
  }

  private void clearOwnership() {
    supervisor = Optional.empty();
    pendingPlacements.clear();
  }

  private AttemptSupervisor supervisorFor(CellOwnership ownership) {
    if (supervisor.isEmpty() || supervisor.get().epoch() != ownership.epoch()) {
      clearOwnership();
      renewalLimiter.reset();
      supervisor = Optional.of(new AttemptSupervisor(settings, ownership.epoch()));
    }
    return supervisor.get();
  }

  private void claimIfFree(OwnerInput input, CellOwnership ownership, List<OwnerAction> actions) {
    boolean free = ownership.isFree(input.nowMillis());
    if (free
        && input.logAvailable()
        && !input.draining()
        && claimLimiter.tryAcquire(input.nowMillis())) {
      long epoch = ownership.epoch() + 1;
      propose(
          actions,
          new CellClaimed(settings.cell(), settings.entry(), epoch, settings.cellLeaseMillis()));
    }
  }

  private void renewOrReleaseCell(
      OwnerInput input, CellOwnership ownership, List<OwnerAction> actions) {
    long nowMillis = input.nowMillis();
    long epoch = ownership.epoch();
    if (!input.logAvailable()) {
      return;
    }
    if (input.draining()) {
      if (releaseLimiter.tryAcquire(nowMillis)) {
        propose(actions, new CellReleased(settings.cell(), settings.entry(), epoch));
      }
    } else if (renewalLimiter.tryAcquire(nowMillis)) {
      propose(
          actions,
          new CellRenewed(settings.cell(), settings.entry(), epoch, settings.cellLeaseMillis()));
    }
  }

  private void registerWorkers(OwnerInput input, List<OwnerAction> actions) {
    if (!registrationLimiter.tryAcquire(input.nowMillis())) {
      return;
    }
    for (ListedWorker worker : input.listedWorkers()) {
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

  /** Refuses jobs that no worker can run, once every listed worker is registered in the ledger. */
  private void refuseJobs(OwnerInput input, List<OwnerAction> actions) {
    CellLedger ledger = input.ledger();
    boolean allRegistered =
        !input.listedWorkers().isEmpty()
            && input.listedWorkers().stream().allMatch(worker -> isRegistered(ledger, worker));
    if (!allRegistered || !refusalLimiter.tryAcquire(input.nowMillis())) {
      return;
    }
    for (JobState job : ledger.waitingJobs()) {
      if (!ledger.isRunnable(job)) {
        long epoch = ledger.ownership().epoch();
        propose(actions, new JobRefused(job.accepted().job(), settings.cell(), epoch));
      }
    }
  }

  private void plan(
      OwnerInput input, AttemptSupervisor activeSupervisor, List<OwnerAction> actions) {
    dropPendingPlacements(input);
    if (!planLimiter.tryAcquire(input.nowMillis())) {
      return;
    }
    boolean mayPlace = pendingPlacements.isEmpty();
    PlacementCapacity capacity =
        new PlacementCapacity(input.ledger(), availableWorkers(input)::contains);
    for (PlannedAction action : planner.plan(input.ledger(), input.nowMillis())) {
      Optional<SupervisedAttempt> attempt = activeSupervisor.attempt(action.job());
      switch (action) {
        case PlannedAction.Place place -> {
          if (mayPlace) {
            place(input, place, capacity, actions);
          }
        }
        case PlannedAction.Throttle throttle -> attempt.ifPresent(a -> a.requestThrottle(true));
        case PlannedAction.Unthrottle unthrottle ->
            attempt.ifPresent(a -> a.requestThrottle(false));
        case PlannedAction.Evict evict -> attempt.ifPresent(SupervisedAttempt::requestEviction);
      }
    }
  }

  private void dropPendingPlacements(OwnerInput input) {
    pendingPlacements
        .entrySet()
        .removeIf(
            entry ->
                input.nowMillis() - entry.getValue().proposedAtMillis() > PENDING_TIMEOUT_MILLIS
                    || input
                        .ledger()
                        .job(entry.getKey())
                        .filter(job -> job.attempt() < entry.getValue().attempt())
                        .isEmpty());
  }

  private Set<String> availableWorkers(OwnerInput input) {
    Set<String> workers = new HashSet<>();
    for (ListedWorker worker : input.listedWorkers()) {
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
      PlacementCapacity capacity,
      List<OwnerAction> actions) {
    Optional<JobState> job =
        input.ledger().job(place.job()).filter(state -> state.phase() == JobPhase.ACCEPTED);
    Optional<String> worker = job.flatMap(state -> capacity.allocate(state, place.worker()));
    if (worker.isEmpty()) {
      return;
    }
    int attempt = job.get().attempt() + 1;
    long nowMillis = input.nowMillis();
    pendingPlacements.put(place.job(), new PendingPlacement(attempt, nowMillis));
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

  private static void evictFromLeavingWorkers(
      OwnerInput input, AttemptSupervisor activeSupervisor) {
    Set<String> leaving = new HashSet<>();
    for (ListedWorker worker : input.listedWorkers()) {
      if (worker.leaving()) {
        leaving.add(worker.registration().worker());
      }
    }
    if (leaving.isEmpty()) {
      return;
    }
    for (JobState job : input.ledger().placedJobs()) {
      if (leaving.contains(job.worker())) {
        activeSupervisor
            .attempt(job.accepted().job())
            .ifPresent(SupervisedAttempt::requestEviction);
      }
    }
  }

  private static void propose(List<OwnerAction> actions, LedgerRecord record) {
    actions.add(new OwnerAction.Propose(record));
  }

  /**
   * Processes the result of a command.
   *
   * @param result the status returned by the worker, or the lack of an answer
   * @param formerLeaseUntilMillis the latest end of any cell lease under an earlier epoch, in
   *     milliseconds of the log's time
   * @param nowMillis this entry's estimate of the log's time in milliseconds since 1970
   */
  public void handleResult(CommandResult result, long formerLeaseUntilMillis, long nowMillis) {
    String worker = result.command().job().worker();
    if (result.status().isEmpty()) {
      suspectUntilMillis.put(worker, nowMillis + SUSPICION_MILLIS);
    } else {
      suspectUntilMillis.remove(worker);
    }
    supervisor.ifPresent(
        activeSupervisor ->
            activeSupervisor.handleResult(result, formerLeaseUntilMillis, nowMillis));
  }
}
