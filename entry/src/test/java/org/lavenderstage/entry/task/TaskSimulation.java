package org.lavenderstage.entry.task;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.task.CellOwnerLogic;
import org.lavenderstage.core.task.CommandResult;
import org.lavenderstage.core.task.ListedWorker;
import org.lavenderstage.core.task.OwnerAction;
import org.lavenderstage.core.task.OwnerSettings;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.standin.log.FakeLog;
import org.lavenderstage.standin.worker.TaskLedger;
import org.lavenderstage.wire.codec.LedgerCodec;

/**
 * Simulates three entries, a log and three workers in virtual time, and injects faults at given
 * steps.
 */
final class TaskSimulation {
  static final String CELL = "cell";
  static final String STREAM = "cell-cell";
  static final long SKEW_MILLIS = 200;
  private static final long HORIZON_MILLIS = 900_000;
  private static final long SHORT_HORIZON_MILLIS = 120_000;
  private static final long CELL_LEASE_MILLIS = 5000;
  private static final long WORKER_LEASE_MILLIS = 10_000;
  private static final long TICK_MILLIS = 100;
  private static final long START_MILLIS = 1_000_000;
  private static final long SUBMIT_DELAY_MILLIS = 1000;
  private static final long REPLACEMENT_DELAY_MILLIS = 3000;
  private static final long COMMAND_TIMEOUT_MILLIS = 1000;
  private static final long FREEZE_MILLIS = 12_000;
  private static final long OWNER_PARTITION_MILLIS = 20_000;
  private static final long LOST_ANSWERS_MILLIS = 5000;
  private static final long DELAY_MILLIS = 1500;
  private static final long LONG_DELAY_MILLIS = 8000;
  private static final long PARTITION_MILLIS = 30_000;
  private static final long BRIEF_PARTITION_MILLIS = 8000;
  private static final long DRAIN_DURATION_MILLIS = 3000;
  private static final long UNLIST_DELAY_MILLIS = 5000;
  private static final long LOG_DOWN_MILLIS = 600_000;
  private static final long SETTLE_MILLIS = 15_000;
  private static final long MAX_RUN_MILLIS = 3_000_000;
  private static final long LONG_JOB_MILLIS = 700_000;
  private static final long SHORT_JOB_MILLIS = 40_000;
  private static final int ENTRIES = 3;
  private static final int JOBS = 7;

  /** An effect scheduled for a given time; events of the same time run in order of their number. */
  private record Event(long atMillis, long number, Runnable effect) {}

  private final TaskDefect defect;
  private final List<FaultInjection> injections;
  private final TaskLedger oracle = new TaskLedger();
  private final FaultSwitch logFaults = new FaultSwitch();
  private final FakeLog log = new FakeLog(this::nowMillis, Long.MAX_VALUE / 2, logFaults, 1);
  private final SimulatedWorkers workers = new SimulatedWorkers(this::nowMillis, oracle);
  private final List<SimulatedEntry> entries = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparing(Event::number));
  private final long longJobMillis;
  private final long horizonMillis;
  private long nowMillis = START_MILLIS;
  private long eventCount;
  private long otherWriterSequence;
  private long appendAnswersLostUntilMillis;
  private long workerAnswersLostUntilMillis;

  TaskSimulation(TaskDefect defect, List<FaultInjection> injections) {
    this.defect = defect;
    this.injections = new ArrayList<>(injections);
    boolean logDown =
        injections.stream().anyMatch(injection -> injection.fault() == Fault.LOG_DOWN);
    this.horizonMillis = logDown ? HORIZON_MILLIS : SHORT_HORIZON_MILLIS;
    this.longJobMillis = logDown ? LONG_JOB_MILLIS : SHORT_JOB_MILLIS;
    for (int i = 0; i < ENTRIES; i++) {
      addEntry("entry-" + i);
    }
    schedule(SUBMIT_DELAY_MILLIS, this::submitJobs);
  }

  private void addEntry(String name) {
    OwnerSettings settings =
        new OwnerSettings(
            CELL, name, CELL_LEASE_MILLIS, WORKER_LEASE_MILLIS, horizonMillis, SKEW_MILLIS);
    long errorMillis = (entries.size() % ENTRIES - 1) * SKEW_MILLIS / 2;
    CellOwnerLogic logic = new CellOwnerLogic(settings, new RotatingPlanner(horizonMillis));
    entries.add(new SimulatedEntry(this, name, errorMillis, logic));
  }

  private void submitJobs() {
    List<LedgerRecord> jobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      jobs.add(job("job-" + i, 1500, 15_000 + 3000L * i));
    }
    jobs.add(job("long", 500, longJobMillis));
    if (!append(LedgerCodec.encode(RecordBatch.of("gateway", 1, jobs)))) {
      schedule(SUBMIT_DELAY_MILLIS, this::submitJobs);
    }
  }

  static JobAccepted job(String id, int cpuMillis, long runMillis) {
    return new JobAccepted(id, "workspace", "class", cpuMillis, 1000, 0, runMillis, false, "");
  }

  static boolean isToBeEvicted(JobState job) {
    return job.accepted().cpuMillis() > 500 && job.accepted().expectedMillis() % 2000 == 0;
  }

  /** Appends records as another writer of the stream. */
  void propose(LedgerRecord... records) {
    otherWriterSequence++;
    byte[] batch =
        LedgerCodec.encode(RecordBatch.of("other", otherWriterSequence, List.of(records)));
    boolean unused = append(batch);
  }

  void runFor(long millis) {
    for (long untilMillis = nowMillis + millis; nowMillis < untilMillis; ) {
      tick();
    }
  }

  Optional<JobState> job(String id) {
    return entries.get(0).ledger().job(id);
  }

  SimulatedWorkers workers() {
    return workers;
  }

  /** Runs until every job is done, and a while longer to observe delayed effects. */
  TaskLedger run() {
    while (!isFinished() && nowMillis < START_MILLIS + MAX_RUN_MILLIS) {
      tick();
    }
    long untilMillis = nowMillis + SETTLE_MILLIS;
    while (nowMillis < untilMillis) {
      tick();
    }
    return oracle;
  }

  /** Returns whether every planned fault has been injected. */
  boolean areAllInjected() {
    return injections.isEmpty();
  }

  void tick() {
    nowMillis += TICK_MILLIS;
    while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
      events.remove().effect().run();
    }
    workers.advance();
    List.copyOf(entries).forEach(SimulatedEntry::tick);
    entries.removeIf(SimulatedEntry::isKilled);
  }

  boolean isFinished() {
    return entries.stream().anyMatch(entry -> isFinished(entry.ledger()));
  }

  private static boolean isFinished(CellLedger ledger) {
    return ledger.jobs().size() > JOBS
        && ledger.jobs().stream().allMatch(job -> job.phase() == JobPhase.DONE);
  }

  long nowMillis() {
    return nowMillis;
  }

  TaskDefect defect() {
    return defect;
  }

  FakeLog log() {
    return log;
  }

  TaskLedger oracle() {
    return oracle;
  }

  List<ListedWorker> listedWorkers() {
    return workers.listed();
  }

  List<SimulatedEntry> entries() {
    return List.copyOf(entries);
  }

  private void schedule(long delayMillis, Runnable effect) {
    events.add(new Event(nowMillis + delayMillis, eventCount++, effect));
  }

  /** Appends a batch of records, and returns whether an answer was received. */
  boolean append(byte[] bytes) {
    try {
      long unused = log.append(STREAM, bytes);
      return nowMillis >= appendAnswersLostUntilMillis;
    } catch (PlatformUnavailableException e) {
      return false;
    }
  }

  void send(SimulatedEntry from, OwnerAction.Command command, long delayMillis) {
    if (delayMillis > 0) {
      schedule(delayMillis, () -> workers.call(command));
      schedule(COMMAND_TIMEOUT_MILLIS, () -> from.addResult(CommandResult.unanswered(command)));
      return;
    }
    Optional<CommandResult.Status> status = workers.call(command);
    boolean answered = status.isPresent() && nowMillis >= workerAnswersLostUntilMillis;
    CommandResult result =
        answered ? new CommandResult(command, status) : CommandResult.unanswered(command);
    schedule(answered ? TICK_MILLIS : COMMAND_TIMEOUT_MILLIS, () -> from.addResult(result));
  }

  /**
   * Injects the faults planned for this step, except for those that follow it. Returns by how many
   * milliseconds the step is delayed.
   */
  long injectBefore(SimulatedEntry entry, OwnerAction action) {
    long delayMillis = 0;
    for (FaultInjection injection : List.copyOf(injections)) {
      boolean due = Step.of(action).equals(Optional.of(injection.step()));
      if (due && injection.fault() != Fault.OWNER_KILLED_AFTER && injections.remove(injection)) {
        delayMillis = Math.max(delayMillis, inject(entry, injection.fault(), workerOf(action)));
      }
    }
    if (delayMillis > 0 && action instanceof OwnerAction.Propose) {
      entry.delayAppends(nowMillis + delayMillis);
    }
    return delayMillis;
  }

  void injectAfter(SimulatedEntry entry, OwnerAction action) {
    for (FaultInjection injection : List.copyOf(injections)) {
      boolean due = Step.of(action).equals(Optional.of(injection.step()));
      if (due && injection.fault() == Fault.OWNER_KILLED_AFTER && injections.remove(injection)) {
        entry.append();
        kill(entry);
      }
    }
  }

  /** Injects a fault into the owner, or into another entry if the cell has no owner. */
  void injectIntoOwner(Fault fault, int worker) {
    entries.stream()
        .max(Comparator.comparing(SimulatedEntry::isOwner))
        .ifPresent(target -> inject(target, fault, SimulatedWorkers.name(worker)));
  }

  /** Injects a fault now, and returns by how many milliseconds the step is delayed. */
  long inject(SimulatedEntry entry, Fault fault, String worker) {
    switch (fault) {
      case OWNER_KILLED_BEFORE, OWNER_KILLED_AFTER -> kill(entry);
      case OWNER_DRAINED -> {
        entry.drain();
        schedule(DRAIN_DURATION_MILLIS, () -> kill(entry));
      }
      case OWNER_FROZEN -> entry.freeze(nowMillis + FREEZE_MILLIS);
      case OWNER_PARTITIONED_FROM_LOG -> entry.partitionFromLog(nowMillis + OWNER_PARTITION_MILLIS);
      case APPEND_ANSWERS_LOST -> appendAnswersLostUntilMillis = nowMillis + LOST_ANSWERS_MILLIS;
      case STEP_DELAYED -> {
        return DELAY_MILLIS;
      }
      case STEP_DELAYED_PAST_CLAIM -> {
        return LONG_DELAY_MILLIS;
      }
      case WORKER_PARTITIONED -> workers.partition(worker, nowMillis + PARTITION_MILLIS);
      case WORKER_PARTITIONED_BRIEFLY ->
          workers.partition(worker, nowMillis + BRIEF_PARTITION_MILLIS);
      case WORKER_CRASHED -> {
        if (workers.crashPermanently(worker)) {
          schedule(UNLIST_DELAY_MILLIS, () -> workers.unlist(worker));
        }
      }
      case LOG_DOWN -> {
        logFaults.set(FaultSwitch.Kind.DOWN, 1);
        schedule(LOG_DOWN_MILLIS, () -> logFaults.set(FaultSwitch.Kind.DOWN, 0));
      }
      case WORKER_ANSWERS_LOST -> workerAnswersLostUntilMillis = nowMillis + LOST_ANSWERS_MILLIS;
    }
    return 0;
  }

  private void kill(SimulatedEntry entry) {
    if (entry.isKilled()) {
      return;
    }
    entry.kill();
    schedule(REPLACEMENT_DELAY_MILLIS, () -> addEntry(entry.name() + "-next"));
  }

  private static String workerOf(OwnerAction action) {
    return action instanceof OwnerAction.Command command
        ? command.job().worker()
        : SimulatedWorkers.name(0);
  }
}
