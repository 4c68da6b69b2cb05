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
 * A worker as known to the owner of the jobs: its listing, its clock, its lease and the runs that
 * may be on it. Used only by the owner's thread.
 */
public final class Worker {
  private final String id;
  private String address;
  private Optional<WorkerListing> listing = Optional.empty();
  private final WorkerFence fence;
  private final Map<TaskId, List<Run>> runs = new HashMap<>();
  private final UnansweredOrders unansweredOrders = new UnansweredOrders();
  private Resources allocated = Resources.NONE;
  private int bestEffortCpuMillis;
  private int bestEffortCount;
  private final Map<String, Integer> servingCounts = new HashMap<>();
  private long startedAtMillis;
  private boolean recordStored;
  private boolean recordMayBeStored;
  private boolean recordRemoved;
  private boolean recordSentWithRestart;
  private long storedStartedAtMillis;
  private final LeaseRenewal renewal = new LeaseRenewal();
  private boolean inherited;
  private boolean reported;
  private boolean reportedCompletely;
  private long clockOffsetMillis;
  private boolean clockKnown;
  private final LeaseCount lease = new LeaseCount();
  private EndedRunNumbers ends = new EndedRunNumbers();
  private boolean pollInFlight;
  private String polledAddress = "";
  private long nextPollMillis;
  private int failedPolls;
  private long blockedUntilMillis;
  final WorkerEvacuation evacuation = new WorkerEvacuation();
  final UntrackedRuns untrackedRuns = new UntrackedRuns();
  private final RunHistory history = new RunHistory();
  private final EndedBestEffortRuns endedBestEffortRuns = new EndedBestEffortRuns();
  private long latencyLearnedAtMillis = Long.MIN_VALUE / 2;

  Worker(String id, String address, long firstToken) {
    this.id = id;
    this.address = address;
    fence = new WorkerFence(firstToken);
  }

  /**
   * Returns the identifier of the worker.
   *
   * @return the identifier
   */
  public String id() {
    return id;
  }

  /**
   * Returns the address on which the worker listens.
   *
   * @return host and port
   */
  public String address() {
    return address;
  }

  /**
   * Returns the worker's entry in the list of workers.
   *
   * @return the listing, empty while the worker is not listed
   */
  public Optional<WorkerListing> listing() {
    return listing;
  }

  void setListing(Optional<WorkerListing> next) {
    listing = next;
    next.ifPresent(l -> address = l.address());
    next.ifPresent(evacuation::setDomain);
  }

  /**
   * Returns the start time of the current incarnation of the worker.
   *
   * @return wall-clock time in milliseconds since 1970, 0 if unknown
   */
  public long startedAtMillis() {
    return startedAtMillis;
  }

  /** Resets the state of the previous incarnation; ended runs are numbered from 1 again. */
  void beginIncarnation(long newStartedAtMillis) {
    startedAtMillis = newStartedAtMillis;
    ends = new EndedRunNumbers();
    clockKnown = false;
  }

  /** Returns the fencing token of the orders to this worker. */
  WorkerFence fence() {
    return fence;
  }

  void setStartedAtMillis(long newStartedAtMillis) {
    startedAtMillis = newStartedAtMillis;
  }

  boolean isRecordStored() {
    return recordStored;
  }

  /** Records that a record is stored, which names the incarnation with the given start time. */
  void markRecordStored(long recordedStartedAtMillis) {
    recordStored = true;
    recordMayBeStored = true;
    storedStartedAtMillis = recordedStartedAtMillis;
  }

  void markRecordSent() {
    recordMayBeStored = true;
    recordSentWithRestart = fence.isRestartPending();
    renewal.recordSent();
  }

  /** Returns whether the record that was sent last says that the worker may have restarted. */
  boolean isRecordSentWithRestart() {
    return recordSentWithRestart;
  }

  /** Returns whether the worker's leases are renewed. */
  LeaseRenewal renewal() {
    return renewal;
  }

  /** Returns whether all tasks that may run on the worker are tracked. */
  boolean isEachRunTracked() {
    return !inherited || reportedCompletely;
  }

  /** Records that the worker may have runs of a previous owner, or get its delayed orders. */
  void markInherited() {
    inherited = true;
  }

  /** Returns whether orders of a previous owner may have started tasks here, or still may. */
  boolean isInherited() {
    return inherited;
  }

  /** Records that all runs are tracked, and that no order of a previous owner is to come. */
  void clearInherited() {
    inherited = false;
  }

  /** Returns whether a record of the worker is stored or may still be stored. */
  boolean mayHaveRecord() {
    return recordMayBeStored;
  }

  /** Returns whether the worker's record was removed because the worker is draining and empty. */
  boolean isRecordRemoved() {
    return recordRemoved;
  }

  /** Records whether the worker's record is removed; if not, it is stored again before a run. */
  void setRecordRemoved(boolean removed) {
    recordRemoved = removed;
    if (removed) {
      recordStored = false;
      recordMayBeStored = false;
    }
  }

  /**
   * Returns whether the current incarnation is stored, which proves that this owner's claim was
   * valid after its start. A new incarnation has seen no term, and would obey a previous owner.
   */
  boolean isIncarnationStored() {
    return recordStored && storedStartedAtMillis == startedAtMillis;
  }

  /**
   * Returns whether the worker has reported to this owner, and so has seen the owner's term.
   *
   * @return whether the worker has reported
   */
  public boolean hasReported() {
    return reported;
  }

  void setReported(boolean reportedNow) {
    reported = reportedNow;
  }

  /** Returns whether all runs of previous owners are known; they may not fit into one report. */
  boolean hasReportedCompletely() {
    return reportedCompletely;
  }

  void setReportedCompletely(boolean complete) {
    reportedCompletely = complete;
  }

  /** Returns whether the clock of the incarnation that receives the orders is known. */
  boolean isClockKnown() {
    return clockKnown && fence.isConfirmed();
  }

  void sampleClock(long workerClockMillis, long monotonicMillis) {
    clockOffsetMillis = workerClockMillis - monotonicMillis;
    clockKnown = true;
  }

  /** Returns the time on the worker's clock at a monotonic time of this process. */
  long clockAt(long monotonicMillis) {
    return monotonicMillis + clockOffsetMillis;
  }

  /** Returns until when runs here may have a valid lease. */
  LeaseCount lease() {
    return lease;
  }

  /** Returns the numbers of the ended runs of the current incarnation. */
  EndedRunNumbers ends() {
    return ends;
  }

  /**
   * Returns the number up to which ended runs are acknowledged to the worker, which then discards
   * them; 0 for none. Only the poll after a report carries the number, unless the worker has become
   * unresponsive since or may have restarted: another incarnation numbers its ended runs from 1
   * again, and must not discard runs that this owner has not seen.
   */
  long nextAcknowledgement() {
    boolean sameIncarnation = reported && fence.isConfirmed() && !isUnresponsive();
    return sameIncarnation && ends.isAcknowledgementDue() ? ends.storedUpTo() : 0;
  }

  /** Returns whether the worker is to be polled now; at once when its fencing token was raised. */
  boolean isPollDue(long monotonicMillis) {
    return !pollInFlight && (monotonicMillis >= nextPollMillis || !fence.isPolled());
  }

  void recordPollSent() {
    pollInFlight = true;
    polledAddress = address;
    fence.recordPollSent();
  }

  /** Returns whether the latest poll went to the currently listed address of the worker. */
  boolean isPolledAtListedAddress() {
    return polledAddress.equals(address);
  }

  void recordPollEnded(boolean answered, long nextMillis) {
    pollInFlight = false;
    nextPollMillis = nextMillis;
    failedPolls = answered ? 0 : failedPolls + 1;
  }

  void pollSoon(long monotonicMillis) {
    nextPollMillis = Math.min(nextPollMillis, monotonicMillis);
  }

  /** Returns whether the latest poll failed. */
  boolean isUnresponsive() {
    return failedPolls > 0;
  }

  /** Returns the number of polls that failed since the last report. */
  int failedPolls() {
    return failedPolls;
  }

  boolean isBlocked(long monotonicMillis) {
    return monotonicMillis < blockedUntilMillis || history.isQuarantined(monotonicMillis);
  }

  void block(long untilMillis) {
    blockedUntilMillis = Math.max(blockedUntilMillis, untilMillis);
  }

  RunHistory history() {
    return history;
  }

  /** Returns whether the worker may be given new runs. */
  boolean takesRuns(long monotonicMillis) {
    return isIncarnationStored()
        && renewal.isAllowed()
        && reported
        && isClockKnown()
        && !isUnresponsive()
        && listing.isPresent()
        && !listing.get().draining()
        && !isBlocked(monotonicMillis)
        && evacuation.allowsRuns(monotonicMillis);
  }

  /**
   * Returns all runs that may be on the worker.
   *
   * @return a copy of the list
   */
  public List<Run> runs() {
    List<Run> all = new ArrayList<>(runs.size());
    runs.values().forEach(all::addAll);
    return all;
  }

  Iterable<List<Run>> runsByTask() {
    return runs.values();
  }

  /** Returns whether the worker's next report decides what happened to a run. */
  boolean hasRunsWithUnknownOutcome() {
    return runs.values().stream().flatMap(List::stream).anyMatch(Run::isOutcomeUnknown);
  }

  /**
   * Returns whether no run can be on the worker.
   *
   * @return whether no run is tracked
   */
  public boolean isIdle() {
    return runs.isEmpty();
  }

  /** Returns whether nothing runs here and no unanswered start may still be carried out. */
  boolean isEmpty(long monotonicMillis) {
    return reported && isIdle() && !unansweredOrders.isAnyPending(monotonicMillis);
  }

  Optional<Run> run(TaskId task, long attempt) {
    return runs.getOrDefault(task, List.of()).stream()
        .filter(run -> run.attempt() == attempt)
        .findFirst();
  }

  void add(Run run) {
    runs.computeIfAbsent(run.task().id(), key -> new ArrayList<>(1)).add(run);
    StepSpec spec = run.task().step().spec();
    allocated = allocated.plus(demand(spec));
    countRun(spec, 1);
  }

  private void countRun(StepSpec spec, int delta) {
    if (spec.filling()) {
      bestEffortCpuMillis += delta * spec.cpuMillis();
      bestEffortCount += delta;
    } else if (serves(spec)) {
      servingCounts.merge(spec.image(), delta, (a, b) -> a + b == 0 ? null : a + b);
    }
  }

  int bestEffortCount() {
    return bestEffortCount;
  }

  /** Returns whether the worker has a run of a serving task. */
  boolean isServing() {
    return !servingCounts.isEmpty();
  }

  /** Returns whether the worker has a run of a serving task with the given image. */
  boolean isServing(String image) {
    return servingCounts.containsKey(image);
  }

  void remove(Run run) {
    List<Run> runsOfTask = runs.get(run.task().id());
    if (runsOfTask == null || !runsOfTask.remove(run)) {
      return;
    }
    if (runsOfTask.isEmpty()) {
      runs.remove(run.task().id());
    }
    StepSpec spec = run.task().step().spec();
    allocated = allocated.minus(demand(spec));
    countRun(spec, -1);
  }

  UnansweredOrders unansweredOrders() {
    return unansweredOrders;
  }

  /** Returns the resources that a task allocates; best-effort tasks allocate no CPU. */
  static Resources demand(StepSpec spec) {
    return new Resources(
        spec.filling() ? 0 : spec.cpuMillis(), spec.memoryMb(), spec.accelerators());
  }

  int capacityCpuMillis() {
    return listing.map(l -> l.capacity().cpuMillis()).orElse(0);
  }

  /** Records the end of a run, since the next report still includes its CPU usage. */
  void recordBestEffortEnd(Run run, long monotonicMillis) {
    endedBestEffortRuns.add(run, monotonicMillis);
  }

  /** Returns the millicores, by image, of ended best-effort runs that a report still includes. */
  Map<String, Double> endedBestEffortRuns(long monotonicMillis) {
    return endedBestEffortRuns.residualCpuMillis(monotonicMillis);
  }

  /** Returns when its tail latencies last updated the interference model, in monotonic millis. */
  long latencyLearnedAtMillis() {
    return latencyLearnedAtMillis;
  }

  void latencyLearned(long monotonicMillis) {
    latencyLearnedAtMillis = monotonicMillis;
  }

  Resources free() {
    Resources capacity = listing.map(WorkerListing::capacity).orElse(Resources.NONE);
    return capacity.minus(allocated).minus(untrackedRuns.allocated()).minus(evacuation.held());
  }

  /** Returns the millicores not allocated or requested by best-effort tasks; may be negative. */
  int idleCpuMillis() {
    return free().cpuMillis() - bestEffortCpuMillis;
  }

  /** Returns whether a task is a serving task, which has a target for its tail latency. */
  static boolean serves(StepSpec spec) {
    return !spec.filling() && spec.tailTargetMillis() > 0;
  }

  int countOf(JobStep step) {
    int count = untrackedRuns.countOf(step);
    for (List<Run> runsOfTask : runs.values()) {
      count += runsOfTask.get(0).task().step() == step ? runsOfTask.size() : 0;
    }
    return count;
  }
}
