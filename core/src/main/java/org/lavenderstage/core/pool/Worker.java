package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.job.JobStep;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;
import org.lavenderstage.core.placement.Resources;

/**
 * One worker as the owner of the jobs sees it: its listing, its clock, its lease and the runs that
 * may be on it. Only the owner's thread uses it.
 */
public final class Worker {
  private final String id;
  private String address;
  private Optional<WorkerListing> listing = Optional.empty();
  private final Map<TaskId, List<Run>> runs = new HashMap<>();
  private final OpenOrders openOrders = new OpenOrders();
  private Resources used = Resources.NONE;
  private int fillingCpuMillis;
  private int fillingCount;
  private final Map<String, Integer> servingCounts = new HashMap<>();
  private long startedAtMillis;
  private boolean registered;
  private boolean recordMayBeStored;
  private boolean retired;
  private long storedBornMillis;
  private boolean greeted;
  private boolean reportedAllEnds;
  private long clockOffsetMillis;
  private boolean clockKnown;
  private boolean lifeInDoubt;
  private boolean askedInDoubt;
  private long leaseOverMillis;
  private long seenUpTo;
  private long notedUpTo;
  private long forgottenUpTo;
  private boolean holdInFlight;
  private String holdAddress = "";
  private long nextHoldMillis;
  private int failedHolds;
  private long blockedUntilMillis;
  private final RunHistory history = new RunHistory();
  private final EndedBestEffortRuns endedFillers = new EndedBestEffortRuns();
  private long latencyLearnedAtMillis = Long.MIN_VALUE / 2;

  Worker(String id, String address) {
    this.id = id;
    this.address = address;
  }

  /**
   * Returns the identifier.
   *
   * @return the identifier
   */
  public String id() {
    return id;
  }

  /**
   * Returns where the worker listens.
   *
   * @return host and port
   */
  public String address() {
    return address;
  }

  /**
   * Returns what the worker says of itself.
   *
   * @return the listing, empty while it is not in the list
   */
  public Optional<WorkerListing> listing() {
    return listing;
  }

  void list(Optional<WorkerListing> next) {
    listing = next;
    next.ifPresent(l -> address = l.address());
  }

  /**
   * Returns when this life of the worker began.
   *
   * @return wall time in milliseconds since 1970, 0 where unknown
   */
  public long startedAtMillis() {
    return startedAtMillis;
  }

  /** Forgets what belongs to an earlier life; the ends are numbered from 1 again. */
  void rebirth(long born) {
    startedAtMillis = born;
    seenUpTo = 0;
    notedUpTo = 0;
    forgottenUpTo = 0;
    clockKnown = false;
    lifeInDoubt = false;
  }

  /**
   * Notes that the listing has come to name another life than the one that is known. Its clock, its
   * ends and its term are unknown until it reports.
   */
  void doubtLife() {
    lifeInDoubt = true;
    askedInDoubt = false;
  }

  /** Tells whether the listing has named another life, and no report has told since. */
  boolean isLifeInDoubt() {
    return lifeInDoubt;
  }

  /** Notes that a report names the life that is known; one asked for before the doubt is old. */
  void lifeReported() {
    lifeInDoubt &= !askedInDoubt;
  }

  void bornAt(long born) {
    startedAtMillis = born;
  }

  boolean isRegistered() {
    return registered;
  }

  /** Notes that a record of the worker is stored, with the beginning of the life it names. */
  void register(long born) {
    registered = true;
    recordMayBeStored = true;
    storedBornMillis = born;
  }

  /** Notes that a record of the worker is on its way to the store. */
  void recordSent() {
    recordMayBeStored = true;
  }

  /** Tells whether a record of the worker is stored or may yet be. */
  boolean mayHaveRecord() {
    return recordMayBeStored;
  }

  /** Tells whether the worker's record was dropped since it leaves and is empty. */
  boolean isRetired() {
    return retired;
  }

  /** Notes that the worker's record is dropped, or that it has to be stored again before a run. */
  void retire(boolean dropped) {
    retired = dropped;
    if (dropped) {
      registered = false;
      recordMayBeStored = false;
    }
  }

  /**
   * Tells whether this life of the worker is stored, so that the claim was proved since it began. A
   * new life has seen no term, and would take orders of a former owner too.
   */
  boolean isLifeStored() {
    return registered && storedBornMillis == startedAtMillis;
  }

  /**
   * Tells whether the worker has reported to this owner, so that it has seen the owner's term.
   *
   * @return whether it has
   */
  public boolean hasReported() {
    return greeted;
  }

  void greet(boolean known) {
    greeted = known;
  }

  /** Tells whether this owner knows all that ran here before it; one report may be too small. */
  boolean hasReportedAllEnds() {
    return reportedAllEnds;
  }

  void reportedAllEnds() {
    reportedAllEnds = true;
  }

  /** Tells whether the clock of the life that orders reach is known. */
  boolean isClockKnown() {
    return clockKnown && !lifeInDoubt;
  }

  void sampleClock(long workerMillis, long monotonicMillis) {
    clockOffsetMillis = workerMillis - monotonicMillis;
    clockKnown = true;
  }

  long clockAt(long monotonicMillis) {
    return monotonicMillis + clockOffsetMillis;
  }

  /** Returns the steady time here by which no run has a lease any more. */
  long leaseOverMillis() {
    return leaseOverMillis;
  }

  void leaseMayLastUntil(long monotonicMillis) {
    leaseOverMillis = Math.max(leaseOverMillis, monotonicMillis);
  }

  /** Notes that this life of the worker is known to be over, and its runs with it. */
  void leaseIsOver(long monotonicMillis) {
    leaseOverMillis = monotonicMillis - 1;
  }

  long seenUpTo() {
    return seenUpTo;
  }

  void seen(long number) {
    seenUpTo = Math.max(seenUpTo, number);
  }

  long notedUpTo() {
    return notedUpTo;
  }

  void noted(long number) {
    notedUpTo = Math.max(notedUpTo, number);
    seenUpTo = Math.max(seenUpTo, number);
  }

  /**
   * Returns the number up to which the worker may forget ends now. It is named only in the order
   * after a report, and never to a worker that has been silent since or may have restarted: another
   * life of the worker numbers its ends from 1 again, and must not forget any that were never seen.
   */
  long endsToForget() {
    boolean sameLife = greeted && !lifeInDoubt && !isSilent();
    return sameLife && notedUpTo > forgottenUpTo ? notedUpTo : 0;
  }

  /** Tells whether the worker lists no end any more, so that a later owner is told none again. */
  boolean hasForgottenAllEnds() {
    return seenUpTo == notedUpTo && notedUpTo == forgottenUpTo;
  }

  void forgot(long number) {
    forgottenUpTo = Math.max(forgottenUpTo, number);
  }

  /** Tells whether the worker is to be asked for a report; at once after doubt of its life. */
  boolean isHoldDue(long monotonicMillis) {
    return !holdInFlight && (monotonicMillis >= nextHoldMillis || (lifeInDoubt && !askedInDoubt));
  }

  void holdSent() {
    holdInFlight = true;
    holdAddress = address;
    askedInDoubt = lifeInDoubt;
  }

  /** Tells whether the latest order to report went to where the worker is listed now. */
  boolean isHeldWhereListed() {
    return holdAddress.equals(address);
  }

  void holdEnded(boolean answered, long next) {
    holdInFlight = false;
    nextHoldMillis = next;
    failedHolds = answered ? 0 : failedHolds + 1;
  }

  void holdSoon(long monotonicMillis) {
    nextHoldMillis = Math.min(nextHoldMillis, monotonicMillis);
  }

  /** Tells whether the latest order to report got no answer. */
  boolean isSilent() {
    return failedHolds > 0;
  }

  boolean isBlocked(long monotonicMillis) {
    return monotonicMillis < blockedUntilMillis;
  }

  void block(long untilMillis) {
    blockedUntilMillis = Math.max(blockedUntilMillis, untilMillis);
  }

  RunHistory history() {
    return history;
  }

  /** Tells whether new runs may be sent to the worker at all. */
  boolean takesRuns(long monotonicMillis) {
    return isLifeStored()
        && greeted
        && isClockKnown()
        && !isSilent()
        && listing.isPresent()
        && !listing.get().draining()
        && !isBlocked(monotonicMillis);
  }

  /**
   * Returns every run that may be on the worker.
   *
   * @return a copy of the list
   */
  public List<Run> runs() {
    List<Run> all = new ArrayList<>(runs.size());
    runs.values().forEach(all::addAll);
    return all;
  }

  /** Tells whether the next report decides about a run that was to start or to stop. */
  boolean hasUnsettledRuns() {
    return runs.values().stream().flatMap(List::stream).anyMatch(Run::isOutcomeUnknown);
  }

  /**
   * Tells whether nothing can be running on the worker.
   *
   * @return whether no run is known
   */
  public boolean isIdle() {
    return runs.isEmpty();
  }

  Optional<Run> run(TaskId task, int attempt) {
    return runs.getOrDefault(task, List.of()).stream()
        .filter(run -> run.attempt() == attempt)
        .findFirst();
  }

  void add(Run run) {
    runs.computeIfAbsent(run.task().id(), key -> new ArrayList<>(1)).add(run);
    StepSpec spec = run.task().step().spec();
    used = used.plus(demand(spec));
    count(spec, 1);
  }

  private void count(StepSpec spec, int change) {
    if (spec.filling()) {
      fillingCpuMillis += change * spec.cpuMillis();
      fillingCount += change;
    } else if (serves(spec)) {
      servingCounts.merge(spec.image(), change, (a, b) -> a + b == 0 ? null : a + b);
    }
  }

  /** Counts the runs that fill. */
  int fillingCount() {
    return fillingCount;
  }

  /** Tells whether a run here serves users and has a target for its tail latency. */
  boolean isServing() {
    return !servingCounts.isEmpty();
  }

  /** Tells whether such a run here is of an image. */
  boolean isServing(String image) {
    return servingCounts.containsKey(image);
  }

  void remove(Run run) {
    List<Run> ofTask = runs.get(run.task().id());
    if (ofTask == null || !ofTask.remove(run)) {
      return;
    }
    if (ofTask.isEmpty()) {
      runs.remove(run.task().id());
    }
    StepSpec spec = run.task().step().spec();
    used = used.minus(demand(spec));
    count(spec, -1);
  }

  OpenOrders openOrders() {
    return openOrders;
  }

  /** Returns what a task takes away from the capacity; filling tasks take no processors. */
  static Resources demand(StepSpec spec) {
    return new Resources(
        spec.filling() ? 0 : spec.cpuMillis(), spec.memoryMb(), spec.accelerators());
  }

  int capacityCpuMillis() {
    return listing.map(l -> l.capacity().cpuMillis()).orElse(0);
  }

  /** Notes that a run has ended, whose use of processors still shows in the next report. */
  void fillerEnded(Run run, long monotonicMillis) {
    endedFillers.add(run, monotonicMillis);
  }

  /** Returns by image what fillers used in the span of a report made now, and no longer use. */
  Map<String, Double> endedFillers(long monotonicMillis) {
    return endedFillers.residualCpuMillis(monotonicMillis);
  }

  /** Returns when the tails of this worker were last learned from, in steady milliseconds. */
  long latencyLearnedAtMillis() {
    return latencyLearnedAtMillis;
  }

  void latencyLearned(long monotonicMillis) {
    latencyLearnedAtMillis = monotonicMillis;
  }

  Resources free() {
    return listing.map(WorkerListing::capacity).orElse(Resources.NONE).minus(used);
  }

  /** Returns the processors that neither reserved nor filling tasks ask for; may be negative. */
  int idleCpuMillis() {
    return free().cpuMillis() - fillingCpuMillis;
  }

  /** Tells whether a task serves users and has a target for its tail latency. */
  static boolean serves(StepSpec spec) {
    return !spec.filling() && spec.tailTargetMillis() > 0;
  }

  int countOf(JobStep step) {
    int count = 0;
    for (List<Run> ofTask : runs.values()) {
      count += ofTask.get(0).task().step() == step ? ofTask.size() : 0;
    }
    return count;
  }
}
