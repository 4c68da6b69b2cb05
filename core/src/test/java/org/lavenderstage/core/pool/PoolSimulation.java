package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.core.job.StoredRecord;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.job.WorkerRecord;

/**
 * Simulates an owner, workers and a store under a virtual clock. Orders may be lost, answered late
 * or carried out seconds later; workers crash, restart and are disconnected; owners are replaced.
 */
final class PoolSimulation {
  private static final long STEP_MILLIS = 10;
  private static final long NETWORK_MILLIS = 2;
  private static final int ORDER_DELAY_RANGE_MILLIS = 9_000;

  /** Time between two queries of the owner by the entry that succeeds it, in milliseconds. */
  private static final long OWNER_QUERY_MILLIS = 200;

  final TaskOracle oracle = new TaskOracle();
  final List<SimulatedWorker> workers = new ArrayList<>();
  final Map<String, StoredRecord> store = new HashMap<>();
  final Map<String, Job> submitted = new HashMap<>();
  final List<String> history = new ArrayList<>();
  final Random random;
  long now = 1_000_000;
  JobScheduler owner;
  double delayedOrderRate;
  double lostAnswerRate;
  double failingRunRate;

  /** Whether the runs of a task fail, wherever they are started. */
  Predicate<TaskId> failingTasks = task -> false;

  boolean storeDown;

  /** Failure domains that the operator wants evacuated, as the owner knows them. */
  Set<String> evacuatedDomains = Set.of();

  /** Whether a delayed order reaches the next incarnation of its worker. */
  boolean delayedOrdersReachOtherIncarnations;

  /** Whether an order is delayed at most until its owner gives up waiting for the answer. */
  boolean delaysWithinTimeout;

  /** Whether a worker carries out a delayed order though it has been disconnected meanwhile. */
  boolean delayedOrdersIgnoreDisconnection;

  /** Whether the owner receives a listing only when it changes, as entries send it. */
  boolean listingsSentOnChange;

  /** Delay until a changed listing reaches the owner, in milliseconds. */
  long listingDelayMillis;

  /** Whether a worker delays its report until a run ends, as long as the poll permits. */
  boolean longPolling;

  /** Listings of disconnected workers that have restarted since; they are listed as before. */
  private final Map<SimulatedWorker, WorkerListing> listingsBeforeUnseenRestart = new HashMap<>();

  /** Starts that workers have received and not carried out yet. */
  final DelayedStarts delayedStarts = new DelayedStarts(oracle);

  /** Workers that are not listed, though they may be up. */
  final Set<SimulatedWorker> unlisted = new HashSet<>();

  /** Workers that the owner cannot reach; the previous owner may reach them. */
  final Set<SimulatedWorker> unreachableByOwner = new HashSet<>();

  /** Workers that the previous owner cannot reach; the owner may reach them. */
  final Set<SimulatedWorker> unreachableByPreviousOwner = new HashSet<>();

  /** Determines the outcome of an order; it is random if empty. */
  Function<Order, Optional<OrderOutcome>> outcomes = order -> Optional.empty();

  /** For random decisions that only simulations with the faults above make. */
  final Random faultRandom;

  /** How long an owner waits for an answer, in milliseconds. */
  long timeoutMillis = 700;

  /** Whether an order to a worker that is down fails at once, as a refused connection does. */
  boolean refusesConnections;

  /** How long an append takes, in milliseconds. */
  long appendMillis = 5;

  /** Pacing of the owner; its steps take no time unless a test records durations. */
  final OwnerPacing pacing = new OwnerPacing();

  /** Largest number of orders that an owner sent in one step. */
  int maxOrdersPerStep;

  /** Number of appends that owners have started. */
  int appendCount;

  /** Longest additional delay of an answer, in milliseconds. */
  int maxAnswerDelayMillis;

  private final PoolTiming timing;
  private final Map<String, Optional<WorkerListing>> sentListings = new HashMap<>();
  private final IdentityHashMap<JobScheduler, List<Runnable>> heldEvents = new IdentityHashMap<>();
  private final IdentityHashMap<JobScheduler, Long> suspendedMillis = new IdentityHashMap<>();
  private RenewalStops renewalStops = new RenewalStops();
  private Optional<PreviousOwner> previousOwner = Optional.empty();
  private long term;

  /** Since when the entry that succeeds the owner knows of the owner's claim. */
  private long ownerKnownSinceMillis;

  private int nextJob;
  private long eventCount;
  private Optional<JournalBatch> appending = Optional.empty();
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));

  /**
   * The outcome of an order.
   *
   * @param delayMillis how long the worker delays the order, which it then leaves unanswered, in
   *     milliseconds; 0 for no delay
   * @param answerLost whether the answer is lost
   */
  record OrderOutcome(long delayMillis, boolean answerLost) {
    static Optional<OrderOutcome> delayed(long millis) {
      return Optional.of(new OrderOutcome(millis, true));
    }

    static Optional<OrderOutcome> unanswered() {
      return Optional.of(new OrderOutcome(0, true));
    }

    static Optional<OrderOutcome> answered() {
      return Optional.of(new OrderOutcome(0, false));
    }
  }

  /** A replaced owner that cannot reach the store and gives orders until a given time. */
  private record PreviousOwner(JobScheduler scheduler, long untilMillis) {}

  /** An action scheduled for a given time. */
  private record Event(long atMillis, long number, Runnable action) {}

  PoolSimulation(long seed, int workerCount) {
    this(seed, workerCount, SimulatedWorker.LEASE_MILLIS);
  }

  /** Creates a simulation whose workers grant leases of up to a given duration. */
  PoolSimulation(long seed, int workerCount, int maxLeaseMillis) {
    timing = new PoolTiming(SimulatedWorker.LEASE_MILLIS, maxLeaseMillis, 300, 2_500);
    random = new Random(seed);
    faultRandom = new Random(~seed);
    for (int i = 0; i < workerCount; i++) {
      workers.add(new SimulatedWorker(i, now - 100_000 + i, oracle));
      workers.get(i).longestLeaseMillis = maxLeaseMillis;
    }
    replaceOwner();
  }

  /**
   * Starts a new owner from the stored records. The previous owner cannot reach the store, does not
   * learn that it was replaced, and gives orders for a while.
   */
  void replaceOwnerKeepingPrevious(long millis) {
    previousOwner = Optional.of(new PreviousOwner(owner, now + millis));
    replaceOwner();
  }

  /** Starts a new owner from the stored records; the previous owner has ended. */
  void replaceOwner() {
    replaceOwner(timing);
  }

  /**
   * Starts a new owner from the stored records. It knows that the process with the preceding claim
   * has ended, and since when it knows of that claim.
   */
  void replaceOwnerKnownToHaveEnded() {
    replaceOwner(timing.afterEndOfPreviousOwner(now - ownerKnownSinceMillis));
  }

  private void replaceOwner(PoolTiming termTiming) {
    term++;
    delayedStarts.recordNewOwner(this::isRenewalStopInherited);
    ownerKnownSinceMillis = now + OWNER_QUERY_MILLIS;
    sentListings.clear();
    appending = Optional.empty();
    owner = new JobScheduler(term, termTiming, 120_000, decisionLog(term));
    owner.followEvacuations(() -> evacuatedDomains);
    owner.load(List.copyOf(store.values()), renewalStops, now, now);
    submitted.replaceAll((id, job) -> owner.find(id).orElse(job));
  }

  /** Returns whether the previous owner has stored that it does not renew a worker's lease. */
  private boolean isRenewalStopInherited(String worker) {
    return store.get("worker/" + worker) instanceof WorkerRecord record
        && record.renewalStop() > 0
        && record.renewalStopTerm() == term - 1;
  }

  /**
   * Lets the next owner be an entry that has just started, and knows nothing of the present one.
   */
  void restartSuccessor() {
    renewalStops = new RenewalStops();
    ownerKnownSinceMillis = now;
  }

  /** Returns a log that adds to the history; with two owners, each line contains the term. */
  private DecisionLog decisionLog(long decidingTerm) {
    return (decision, values) -> {
      String prefix = previousOwner.isPresent() ? "term " + decidingTerm + " " : "";
      history.add(now + " " + prefix + decision + " " + List.of(values));
    };
  }

  /** Delays listings and reports like the real platform. */
  void usePlatformDelays() {
    listingsSentOnChange = true;
    listingDelayMillis = 400;
    longPolling = true;
    timeoutMillis = 500;
  }

  Job submit(List<StepSpec> steps, int priority) {
    QueueRules rules = new QueueRules("queue" + priority, "service", priority, 3, 2.0, 1_000);
    String id = String.format("%016x", ++nextJob);
    JobRecord record = new JobRecord(id, rules, now, "payload", steps, 0, 0, 0);
    Job job = owner.submit(record, monotonicMillis(owner));
    submitted.put(id, job);
    return job;
  }

  /** Submits a job whose steps run several times, starting now. */
  Job submitRepeated(List<StepSpec> steps, int priority, int times, long intervalMillis) {
    QueueRules rules = new QueueRules("queue" + priority, "service", priority, 3, 2.0, 1_000);
    String id = String.format("%016x", ++nextJob);
    JobRecord record = new JobRecord(id, rules, now, "payload", steps, times, now, intervalMillis);
    Job job = owner.submit(record, monotonicMillis(owner));
    submitted.put(id, job);
    return job;
  }

  /**
   * Pauses the owner's process after it has made decisions and before it sends the orders. Events
   * for the owner are held meanwhile.
   *
   * @param suspended whether the owner's monotonic clock stops too
   */
  void pauseOwner(long millis, boolean suspended) {
    if (isPaused(owner)) {
      return;
    }
    JobScheduler scheduler = owner;
    List<Order> decided = step(owner);
    heldEvents.put(scheduler, new ArrayList<>());
    schedule(
        millis,
        () -> {
          suspendedMillis.merge(scheduler, suspended ? millis : 0, Long::sum);
          decided.forEach(order -> send(order, scheduler));
          heldEvents.remove(scheduler).forEach(Runnable::run);
        });
  }

  private List<Order> step(JobScheduler scheduler) {
    List<Order> orders = new ArrayList<>(scheduler.step(monotonicMillis(scheduler), now));
    orders.addAll(scheduler.placeTasks(monotonicMillis(scheduler), now));
    maxOrdersPerStep = Math.max(maxOrdersPerStep, orders.size());
    return orders;
  }

  private boolean isPaused(JobScheduler scheduler) {
    return heldEvents.containsKey(scheduler);
  }

  /** Returns the time on an owner's monotonic clock, which stops while the owner is suspended. */
  private long monotonicMillis(JobScheduler scheduler) {
    return now - suspendedMillis.getOrDefault(scheduler, 0L);
  }

  /** Delivers an event to an owner, after its pause if it is paused. */
  private void deliver(JobScheduler scheduler, Runnable event) {
    if (isPaused(scheduler)) {
      heldEvents.get(scheduler).add(event);
    } else {
      event.run();
    }
  }

  void cancel(Job job) {
    owner.cancel(job, monotonicMillis(owner), now);
  }

  void run(long millis) {
    long until = now + millis;
    while (now < until) {
      now += STEP_MILLIS;
      while (!queue.isEmpty() && queue.peek().atMillis() <= now) {
        queue.poll().action().run();
      }
      for (SimulatedWorker worker : workers) {
        worker.advance(now);
        publishListing(worker);
      }
      if (!isPaused(owner)) {
        for (Order order : step(owner)) {
          send(order, owner);
        }
      }
      previousOwner = previousOwner.filter(previous -> now < previous.untilMillis());
      previousOwner
          .filter(previous -> !isPaused(previous.scheduler()))
          .ifPresent(
              previous -> step(previous.scheduler()).forEach(o -> send(o, previous.scheduler())));
      append();
      delayedStarts.observe(owner);
      if (now % OWNER_QUERY_MILLIS == 0 && !isPaused(owner)) {
        renewalStops.recordStored(owner.lastStoredRenewalStop(), now);
      }
    }
  }

  /** Restarts a disconnected worker in place; it is listed anew once it is connected again. */
  void restartUnseen(SimulatedWorker worker) {
    listingsBeforeUnseenRestart.putIfAbsent(worker, worker.listing());
    worker.crash(now);
    worker.restart(now);
  }

  /** Returns whether the listing of a worker that is up names its present incarnation. */
  boolean isPresentListingPublished(SimulatedWorker worker) {
    return !unlisted.contains(worker) && !listingsBeforeUnseenRestart.containsKey(worker);
  }

  private void publishListing(SimulatedWorker worker) {
    boolean listed = worker.up && !unlisted.contains(worker);
    if (!worker.disconnected) {
      listingsBeforeUnseenRestart.remove(worker);
    }
    WorkerListing present = listingsBeforeUnseenRestart.getOrDefault(worker, worker.listing());
    if (listingsSentOnChange) {
      Optional<WorkerListing> listing = listed ? Optional.of(present) : Optional.empty();
      if (!listing.equals(sentListings.put(worker.id, listing))) {
        JobScheduler recipient = owner;
        schedule(listingDelayMillis, () -> deliverListing(recipient, worker.id, listing));
      }
    } else if (listed && !isPaused(owner)) {
      owner.workerListed(present);
    }
  }

  private void deliverListing(
      JobScheduler recipient, String worker, Optional<WorkerListing> listing) {
    deliver(
        recipient,
        () -> {
          if (recipient == owner) {
            listing.ifPresentOrElse(
                recipient::workerListed, () -> recipient.workerUnlisted(worker));
          }
        });
  }

  private void append() {
    if (appending.isPresent() || storeDown || isPaused(owner)) {
      return;
    }
    appending = owner.drainChanges(monotonicMillis(owner), pacing.batchIntervalMillis());
    appendCount += appending.isPresent() ? 1 : 0;
    JobScheduler writer = owner;
    appending.ifPresent(
        batch -> schedule(appendMillis, () -> deliver(writer, () -> handleStored(writer, batch))));
  }

  private void handleStored(JobScheduler writer, JournalBatch batch) {
    if (writer != owner) {
      return;
    }
    for (StoredChange change : batch.changes()) {
      change
          .record()
          .ifPresentOrElse(
              record -> store.put(change.key(), record), () -> store.remove(change.key()));
    }
    appending = Optional.empty();
    owner.batchStored(batch, monotonicMillis(owner));
    batch
        .phases()
        .forEach(
            (job, phase) -> {
              if (phase == JobPhase.CANCELLED) {
                oracle.cancelled(job.id(), now);
              }
            });
  }

  private void send(Order order, JobScheduler sender) {
    boolean randomlyFails = random.nextDouble() < failingRunRate;
    boolean fails =
        randomlyFails
            || (order instanceof Order.Start start && failingTasks.test(start.run().task().id()));
    delayedStarts.recordSent(order, now);
    Optional<OrderOutcome> outcome = outcomes.apply(order);
    boolean delayed =
        outcome.map(given -> given.delayMillis() > 0).orElseGet(() -> occurs(delayedOrderRate));
    if (delayed) {
      long millis = outcome.map(OrderOutcome::delayMillis).orElseGet(this::randomDelayMillis);
      sendDelayed(order, sender, fails, millis);
      return;
    }
    String address = order.worker().address();
    boolean loseAnswer =
        outcome.map(OrderOutcome::answerLost).orElseGet(() -> occurs(lostAnswerRate));
    schedule(
        NETWORK_MILLIS,
        () -> {
          Optional<OrderResult> result =
              receiver(address)
                  .filter(worker -> isReachable(worker, sender))
                  .map(worker -> carryOut(worker, order, fails));
          if (result.isPresent()
              && !loseAnswer
              && longPolling
              && order instanceof Order.Poll waitingPoll) {
            reportWhenDue(waitingPoll, sender, result.get(), now + waitingPoll.waitMillis());
          } else if (result.isPresent() && !loseAnswer) {
            long reportWaitMillis =
                order instanceof Order.Poll pollOrder ? Math.min(50, pollOrder.waitMillis()) : 0;
            long answerDelayMillis =
                maxAnswerDelayMillis > 0 ? faultRandom.nextInt(maxAnswerDelayMillis) : 0;
            schedule(
                NETWORK_MILLIS + reportWaitMillis + answerDelayMillis,
                () -> deliverResult(sender, order, result.get()));
          } else {
            schedule(
                result.isEmpty() && refusesConnections && isDown(address)
                    ? NETWORK_MILLIS
                    : timeoutMillis,
                () -> deliverResult(sender, order, new OrderResult.Unanswered("lost")));
          }
        });
  }

  /** Answers with a report once it contains an ended run or the waiting time is over. */
  private void reportWhenDue(
      Order.Poll pollOrder, JobScheduler sender, OrderResult firstResult, long untilMillis) {
    boolean endListed =
        !(firstResult instanceof OrderResult.Reported reported)
            || !reported.report().ended().isEmpty();
    if (endListed || now >= untilMillis) {
      long answerDelayMillis =
          maxAnswerDelayMillis > 0 ? faultRandom.nextInt(maxAnswerDelayMillis) : 0;
      schedule(
          NETWORK_MILLIS + answerDelayMillis, () -> deliverResult(sender, pollOrder, firstResult));
      return;
    }
    String address = pollOrder.worker().address();
    long incarnation = ((OrderResult.Reported) firstResult).report().startedAtMillis();
    schedule(
        STEP_MILLIS,
        () -> {
          Optional<SimulatedWorker> worker =
              receiver(address).filter(w -> w.startMillis == incarnation && isReachable(w, sender));
          worker.ifPresentOrElse(
              w -> {
                w.advance(now);
                reportWhenDue(pollOrder, sender, w.reportNow(now), untilMillis);
              },
              () ->
                  schedule(
                      refusesConnections && isDown(address) ? NETWORK_MILLIS : timeoutMillis,
                      () -> deliverResult(sender, pollOrder, new OrderResult.Unanswered("lost"))));
        });
  }

  private long randomDelayMillis() {
    return delaysWithinTimeout
        ? 1L + random.nextInt((int) timeoutMillis)
        : 2_000L + random.nextInt(ORDER_DELAY_RANGE_MILLIS);
  }

  private boolean occurs(double probability) {
    return random.nextDouble() < probability;
  }

  /** Lets a worker delay an order that it has received, and leave it unanswered. */
  private void sendDelayed(Order order, JobScheduler sender, boolean fails, long millis) {
    Optional<SimulatedWorker> receiver = receiver(order.worker().address());
    boolean received =
        !delayedOrdersIgnoreDisconnection
            || receiver.filter(w -> isReachable(w, sender)).isPresent();
    if (receiver.isPresent() && received) {
      SimulatedWorker worker = receiver.get();
      long incarnation = worker.startMillis;
      Optional<DelayedStarts.DelayedStart> delayedStart = delayedStarts.add(worker, order, now);
      schedule(
          millis,
          () -> {
            delayedStart.ifPresent(delayedStarts::remove);
            boolean reachesIncarnation =
                delayedOrdersReachOtherIncarnations || worker.startMillis == incarnation;
            if (reachesIncarnation
                && (delayedOrdersIgnoreDisconnection ? worker.up : isReachable(worker, sender))) {
              carryOut(worker, order, fails);
            }
          });
    }
    schedule(timeoutMillis, () -> deliverResult(sender, order, new OrderResult.Unanswered("late")));
  }

  /** Returns the worker at an address, preferably one that is up. */
  private Optional<SimulatedWorker> receiver(String address) {
    return workers.stream()
        .filter(w -> w.address.equals(address))
        .min(Comparator.comparing(w -> !w.up));
  }

  /** Returns whether the worker at an address is down, so that nothing listens there. */
  private boolean isDown(String address) {
    return receiver(address).filter(worker -> worker.up).isEmpty();
  }

  private boolean isReachable(SimulatedWorker worker, JobScheduler sender) {
    Set<SimulatedWorker> unreachable =
        sender == owner ? unreachableByOwner : unreachableByPreviousOwner;
    return worker.up && !worker.disconnected && !unreachable.contains(worker);
  }

  private OrderResult carryOut(SimulatedWorker worker, Order order, boolean fails) {
    worker.advance(now);
    return worker.id.equals(order.worker().id())
        ? worker.carryOut(order, now, fails)
        : new OrderResult.Rejected(Rejection.OTHER_INCARNATION);
  }

  private void deliverResult(JobScheduler sender, Order order, OrderResult result) {
    deliver(
        sender,
        () -> {
          if (sender == owner
              || previousOwner.filter(previous -> previous.scheduler() == sender).isPresent()) {
            sender.orderCompleted(order, result, monotonicMillis(sender), now);
            delayedStarts.recordResult(order, result);
          }
        });
  }

  private void schedule(long millis, Runnable action) {
    queue.add(new Event(now + millis, eventCount++, action));
  }

  /** Returns the violations, with the decisions about the first one's task and all workers. */
  String describeViolations() {
    if (oracle.violations.isEmpty()) {
      return "";
    }
    String task = oracle.violations.get(0).split(" ", 3)[1];
    return String.join("\n", oracle.violations)
        + "\n"
        + history.stream()
            .filter(line -> line.contains(task) || line.contains(" WORKER_"))
            .collect(Collectors.joining("\n"));
  }
}
