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
import java.util.stream.Collectors;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.core.job.StoredRecord;

/**
 * One owner at a time, workers and a store under a virtual clock. Orders may be lost, answered late
 * or carried out seconds later; workers crash, restart and are cut off; owners are replaced.
 */
final class PoolSimulation {
  private static final long STEP_MILLIS = 10;
  private static final long NETWORK_MILLIS = 2;
  private static final int LONGEST_LATE_MILLIS = 9_000;
  private static final PoolTiming TIMING = new PoolTiming(SimulatedWorker.LEASE_MILLIS, 300, 2_500);

  final TaskOracle oracle = new TaskOracle();
  final List<SimulatedWorker> workers = new ArrayList<>();
  final Map<String, StoredRecord> store = new HashMap<>();
  final Map<String, Job> submitted = new HashMap<>();
  final List<String> history = new ArrayList<>();
  final Random random;
  long now = 1_000_000;
  JobScheduler owner;
  double lateOrders;
  double lostAnswers;
  double failingRuns;
  boolean storeDown;

  /** Whether an order that a worker holds back outlives that worker's process. */
  boolean lateOrdersReachOtherLives;

  /** Whether a worker carries out an order that it held back though it is cut off by then. */
  boolean lateOrdersPassCuts;

  /** Whether the owner hears of a listing only where it changes, as entries tell it. */
  boolean listingsToldOnce;

  /** How long the change of a listing takes to reach the owner, in milliseconds. */
  long listingLagMillis;

  /** Whether a worker waits with its report for an end, as long as the order lets it. */
  boolean longPolling;

  /** Workers that are not listed though they may be up. */
  final Set<SimulatedWorker> unlisted = new HashSet<>();

  /** Workers that the owner does not reach, and the former owner may. */
  final Set<SimulatedWorker> beyondOwner = new HashSet<>();

  /** Workers that the former owner does not reach, and the owner may. */
  final Set<SimulatedWorker> beyondFormer = new HashSet<>();

  /** What becomes of single orders; chance decides where this is empty. */
  Function<Order, Optional<Fate>> fates = order -> Optional.empty();

  /** For draws that days without the faults above do not make. */
  final Random faults;

  /** How long an owner waits for an answer, in milliseconds. */
  long timeoutMillis = 700;

  /** How long an append takes, in milliseconds. */
  long appendMillis = 5;

  /** Longest time that an answer takes beyond the network's, in milliseconds. */
  int slowAnswerMillis;

  private final Map<String, Optional<WorkerListing>> told = new HashMap<>();
  private final IdentityHashMap<JobScheduler, List<Runnable>> stalled = new IdentityHashMap<>();
  private final IdentityHashMap<JobScheduler, Long> steadyLost = new IdentityHashMap<>();
  private Optional<FormerOwner> former = Optional.empty();
  private long term;
  private int nextJob;
  private long events;
  private Optional<JournalBatch> appending = Optional.empty();
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

  /**
   * What becomes of an order.
   *
   * @param lateMillis how long the worker holds it back and leaves it unanswered, 0 for not at all
   * @param answerLost whether the answer is lost
   */
  record Fate(long lateMillis, boolean answerLost) {
    static Optional<Fate> late(long millis) {
      return Optional.of(new Fate(millis, true));
    }

    static Optional<Fate> unanswered() {
      return Optional.of(new Fate(0, true));
    }

    static Optional<Fate> prompt() {
      return Optional.of(new Fate(0, false));
    }
  }

  /** An owner that has been replaced, does not reach the store and gives orders until a time. */
  private record FormerOwner(JobScheduler scheduler, long term, long until) {}

  /** Something that happens at a time. */
  private record Event(long at, long number, Runnable action) {}

  PoolSimulation(long seed, int workerCount) {
    random = new Random(seed);
    faults = new Random(~seed);
    for (int i = 0; i < workerCount; i++) {
      workers.add(new SimulatedWorker(i, now - 100_000 + i, oracle));
    }
    replaceOwner();
  }

  /**
   * Starts a new owner from what is stored; the former one has lost the store, so that it does not
   * learn of that, and gives orders for a while.
   */
  void replaceOwnerBesideFormer(long millis) {
    former = Optional.of(new FormerOwner(owner, term, now + millis));
    replaceOwner();
  }

  /** Starts a new owner from what is stored; the former one is gone. */
  void replaceOwner() {
    replaceOwner(TIMING);
  }

  /**
   * Starts a new owner from what is stored, which knows that the process of the claim before its
   * own has ended, and asks nothing about owners before that.
   */
  void replaceOwnerAfterKnownEnd() {
    replaceOwner(TIMING.withoutPreviousOwner());
  }

  private void replaceOwner(PoolTiming timing) {
    term++;
    told.clear();
    appending = Optional.empty();
    owner = new JobScheduler(term, timing, 120_000, decisionsOf(term));
    owner.load(List.copyOf(store.values()), now, now);
    submitted.replaceAll((id, job) -> owner.find(id).orElse(job));
  }

  /** Writes the history; while there are two owners, each line names the term that decided. */
  private DecisionLog decisionsOf(long decider) {
    return (decision, values) -> {
      String owner = former.isPresent() ? "term " + decider + " " : "";
      history.add(now + " " + owner + decision + " " + List.of(values));
    };
  }

  /** Tells of listings and reports as late as the users' platform does. */
  void usePlatformDelays() {
    listingsToldOnce = true;
    listingLagMillis = 400;
    longPolling = true;
    timeoutMillis = 500;
  }

  Job submit(List<StepSpec> steps, int priority) {
    QueueRules rules = new QueueRules("queue" + priority, "service", priority, 3, 2.0, 1_000);
    String id = String.format("%016x", ++nextJob);
    JobRecord record = new JobRecord(id, rules, now, "payload", steps, 0, 0, 0);
    Job job = owner.submit(record, steady(owner));
    submitted.put(id, job);
    return job;
  }

  /** Submits a job whose steps run several times, the first time now. */
  Job submitRepeated(List<StepSpec> steps, int priority, int times, long intervalMillis) {
    QueueRules rules = new QueueRules("queue" + priority, "service", priority, 3, 2.0, 1_000);
    String id = String.format("%016x", ++nextJob);
    JobRecord record = new JobRecord(id, rules, now, "payload", steps, times, now, intervalMillis);
    Job job = owner.submit(record, steady(owner));
    submitted.put(id, job);
    return job;
  }

  /**
   * Stops the owner's process for a while, right after it has decided and before what it decided
   * leaves; what comes for it meanwhile waits.
   *
   * @param suspended whether its steady clock stands still too
   */
  void stallOwner(long millis, boolean suspended) {
    if (isStalled(owner)) {
      return;
    }
    JobScheduler scheduler = owner;
    long stalledTerm = term;
    List<Order> decided = owner.step(steady(owner), now);
    stalled.put(scheduler, new ArrayList<>());
    after(
        millis,
        () -> {
          steadyLost.merge(scheduler, suspended ? millis : 0, Long::sum);
          decided.forEach(order -> send(order, scheduler, stalledTerm));
          stalled.remove(scheduler).forEach(Runnable::run);
        });
  }

  private boolean isStalled(JobScheduler scheduler) {
    return stalled.containsKey(scheduler);
  }

  /** Returns the time on an owner's steady clock, which may stand still while it is suspended. */
  private long steady(JobScheduler scheduler) {
    return now - steadyLost.getOrDefault(scheduler, 0L);
  }

  /** Hands something to an owner, once it is not stalled any more. */
  private void hand(JobScheduler scheduler, Runnable event) {
    if (isStalled(scheduler)) {
      stalled.get(scheduler).add(event);
    } else {
      event.run();
    }
  }

  void cancel(Job job) {
    owner.cancel(job, steady(owner), now);
  }

  void run(long millis) {
    long until = now + millis;
    while (now < until) {
      now += STEP_MILLIS;
      while (!queue.isEmpty() && queue.peek().at() <= now) {
        queue.poll().action().run();
      }
      for (SimulatedWorker worker : workers) {
        worker.advance(now);
        list(worker);
      }
      if (!isStalled(owner)) {
        for (Order order : owner.step(steady(owner), now)) {
          send(order, owner, term);
        }
      }
      former = former.filter(f -> now < f.until());
      former
          .filter(f -> !isStalled(f.scheduler()))
          .ifPresent(
              f ->
                  f.scheduler()
                      .step(steady(f.scheduler()), now)
                      .forEach(o -> send(o, f.scheduler(), f.term())));
      append();
    }
  }

  private void list(SimulatedWorker worker) {
    boolean listed = worker.up && !unlisted.contains(worker);
    if (listingsToldOnce) {
      Optional<WorkerListing> listing = listed ? Optional.of(worker.listing()) : Optional.empty();
      if (!listing.equals(told.put(worker.id, listing))) {
        JobScheduler reader = owner;
        after(listingLagMillis, () -> tell(reader, worker.id, listing));
      }
    } else if (listed && !isStalled(owner)) {
      owner.workerListed(worker.listing());
    }
  }

  private void tell(JobScheduler reader, String worker, Optional<WorkerListing> listing) {
    hand(
        reader,
        () -> {
          if (reader == owner) {
            listing.ifPresentOrElse(reader::workerListed, () -> reader.workerUnlisted(worker));
          }
        });
  }

  private void append() {
    if (appending.isPresent() || storeDown || isStalled(owner)) {
      return;
    }
    appending = owner.drainChanges();
    JobScheduler writer = owner;
    appending.ifPresent(
        batch -> after(appendMillis, () -> hand(writer, () -> stored(writer, batch))));
  }

  private void stored(JobScheduler writer, JournalBatch batch) {
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
    owner.batchStored(batch, steady(owner));
    batch
        .phases()
        .forEach(
            (job, phase) -> {
              if (phase == JobPhase.CANCELLED) {
                oracle.cancelled(job.id(), now);
              }
            });
  }

  private void send(Order order, JobScheduler sender, long senderTerm) {
    boolean fails = random.nextDouble() < failingRuns;
    Optional<Fate> fate = fates.apply(order);
    boolean late = fate.map(f -> f.lateMillis() > 0).orElseGet(() -> chance(lateOrders));
    if (late) {
      long millis =
          fate.map(Fate::lateMillis).orElseGet(() -> 2_000L + random.nextInt(LONGEST_LATE_MILLIS));
      sendLate(order, sender, senderTerm, fails, millis);
      return;
    }
    String address = order.worker().address();
    boolean lost = fate.map(Fate::answerLost).orElseGet(() -> chance(lostAnswers));
    after(
        NETWORK_MILLIS,
        () -> {
          Optional<OrderResult> result =
              receiver(address)
                  .filter(worker -> isReached(worker, sender))
                  .map(worker -> carryOut(worker, order, senderTerm, fails));
          if (result.isPresent() && !lost && longPolling && order instanceof Order.Poll h) {
            reportOnceDue(h, sender, result.get(), now + h.waitMillis());
          } else if (result.isPresent() && !lost) {
            long wait = order instanceof Order.Poll hold ? Math.min(50, hold.waitMillis()) : 0;
            long slow = slowAnswerMillis > 0 ? faults.nextInt(slowAnswerMillis) : 0;
            after(NETWORK_MILLIS + wait + slow, () -> answer(sender, order, result.get()));
          } else {
            after(timeoutMillis, () -> answer(sender, order, new OrderResult.Unanswered("lost")));
          }
        });
  }

  /** Answers with a report once it lists an end or the time to wait is over. */
  private void reportOnceDue(Order.Poll hold, JobScheduler sender, OrderResult made, long until) {
    boolean endListed =
        !(made instanceof OrderResult.Reported reported) || !reported.report().ended().isEmpty();
    if (endListed || now >= until) {
      long slow = slowAnswerMillis > 0 ? faults.nextInt(slowAnswerMillis) : 0;
      after(NETWORK_MILLIS + slow, () -> answer(sender, hold, made));
      return;
    }
    String address = hold.worker().address();
    long life = ((OrderResult.Reported) made).report().startedAtMillis();
    after(
        STEP_MILLIS,
        () -> {
          Optional<SimulatedWorker> worker =
              receiver(address).filter(w -> w.born == life && isReached(w, sender));
          worker.ifPresentOrElse(
              w -> {
                w.advance(now);
                reportOnceDue(hold, sender, w.reportNow(now), until);
              },
              () ->
                  after(
                      timeoutMillis,
                      () -> answer(sender, hold, new OrderResult.Unanswered("lost"))));
        });
  }

  private boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  /** Lets a worker hold an order back that it has received, and leave it unanswered. */
  private void sendLate(
      Order order, JobScheduler sender, long senderTerm, boolean fails, long millis) {
    Optional<SimulatedWorker> receiver = receiver(order.worker().address());
    boolean received =
        !lateOrdersPassCuts || receiver.filter(w -> isReached(w, sender)).isPresent();
    if (receiver.isPresent() && received) {
      SimulatedWorker worker = receiver.get();
      long life = worker.born;
      after(
          millis,
          () -> {
            boolean same = lateOrdersReachOtherLives || worker.born == life;
            if (same && (lateOrdersPassCuts ? worker.up : isReached(worker, sender))) {
              carryOut(worker, order, senderTerm, fails);
            }
          });
    }
    after(timeoutMillis, () -> answer(sender, order, new OrderResult.Unanswered("late")));
  }

  /** Returns the worker at an address, one that is up where there are several. */
  private Optional<SimulatedWorker> receiver(String address) {
    return workers.stream()
        .filter(w -> w.address.equals(address))
        .min(Comparator.comparing(w -> !w.up));
  }

  private boolean isReached(SimulatedWorker worker, JobScheduler sender) {
    Set<SimulatedWorker> beyond = sender == owner ? beyondOwner : beyondFormer;
    return worker.up && !worker.disconnected && !beyond.contains(worker);
  }

  private OrderResult carryOut(
      SimulatedWorker worker, Order order, long senderTerm, boolean fails) {
    worker.advance(now);
    return worker.id.equals(order.worker().id())
        ? worker.carryOut(order, senderTerm, now, fails)
        : new OrderResult.Rejected(Rejection.OTHER_INCARNATION);
  }

  private void answer(JobScheduler sender, Order order, OrderResult result) {
    hand(
        sender,
        () -> {
          if (sender == owner || former.filter(f -> f.scheduler() == sender).isPresent()) {
            sender.orderCompleted(order, result, steady(sender), now);
          }
        });
  }

  private void after(long millis, Runnable action) {
    queue.add(new Event(now + millis, events++, action));
  }

  /** Returns the first broken promise with what was decided of its task and of all workers. */
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
