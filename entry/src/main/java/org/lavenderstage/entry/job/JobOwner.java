package org.lavenderstage.entry.job;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.WorkerOrders;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobPhase;
import org.lavenderstage.core.job.JobState;
import org.lavenderstage.core.job.StoredRecord;
import org.lavenderstage.core.pool.JobScheduler;
import org.lavenderstage.core.pool.JournalBatch;
import org.lavenderstage.core.pool.Order;
import org.lavenderstage.core.pool.OrderResult;
import org.lavenderstage.core.pool.OwnerPacing;
import org.lavenderstage.core.pool.RenewalStops;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.entry.duty.BoundedRing;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Owns the jobs for one term, until closed or deposed: answers callers, passes results from workers
 * and the store to the scheduler, sends the scheduler's orders and stores its changes.
 */
final class JobOwner implements AutoCloseable {
  private static final int MAX_QUEUED_EVENTS = 8_192;
  private static final int EVENTS_PER_STEP = 512;
  private static final int MAX_QUEUED_CALLS = 1_024;

  /** Longest sleep of the thread, in milliseconds; the interval of retry and lease checks. */
  private static final long MAX_PARK_MILLIS = 20;

  /** Interval at which the journal is checked for records of another owner, in milliseconds. */
  private static final long END_READ_INTERVAL_MILLIS = 500;

  /** How long a confirmation of the ownership allows orders to be sent, in milliseconds. */
  private static final long CONFIRMATION_VALID_MILLIS = 2_000;

  /** Stall of the thread after which the ownership must be confirmed again, in milliseconds. */
  private static final long STALL_THRESHOLD_MILLIS = 700;

  /** Duration of a pending append after which its callers are answered, in milliseconds. */
  private static final long APPEND_TIMEOUT_MILLIS = 1_400;

  private static final JobAnswer OWNER_CHANGED_ANSWER =
      new JobAnswer.Undecided("the owner of the jobs changes");

  private static final JobAnswer STORE_SILENT_ANSWER =
      new JobAnswer.Undecided("the store has not answered");

  private final long term;
  private final JobScheduler scheduler;
  private final JobJournal journal;
  private final SubmissionCheck submissionCheck;
  private final WorkerOrders orders;
  private final BooleanSupplier isFollowed;
  private final OwnerPacing pacing = new OwnerPacing();
  private final BoundedRing<OwnerEvent> events = new BoundedRing<>(MAX_QUEUED_EVENTS);
  private final BoundedRing<QueuedCall> calls = new BoundedRing<>(MAX_QUEUED_CALLS);
  private final WaitingCallers waitingCallers = new WaitingCallers();
  private final ListingUpdates listingUpdates;
  private volatile boolean deposed;
  private volatile boolean closed;
  private volatile boolean parked;
  private volatile boolean used;
  private volatile long lastStoredRenewalStop;
  private volatile long stepCount;
  private long lastStepMillis;
  private long lastWallOffsetMillis;
  private long confirmationNeededSinceMillis;
  private long lastEndReadMillis;
  private boolean ordersPaused;
  private final OwnerLoad load = new OwnerLoad(System::nanoTime);
  private Thread ownerThread;
  private BackgroundThread stepThread;

  JobOwner(
      long term,
      JobScheduler scheduler,
      KeyedLog log,
      long journalEndOffset,
      WorkerOrders orders,
      BooleanSupplier isFollowed) {
    this.term = term;
    this.scheduler = scheduler;
    this.orders = orders;
    this.isFollowed = isFollowed;
    listingUpdates = new ListingUpdates(scheduler);
    lastStepMillis = Clocks.monotonicMillis();
    lastWallOffsetMillis = Clocks.wallMillis() - lastStepMillis;
    journal = new JobJournal(log, journalEndOffset, lastStepMillis, this::post);
    submissionCheck = new SubmissionCheck(scheduler, journal);
  }

  /** Loads the stored records; called before the start. */
  void load(List<StoredRecord> records, RenewalStops renewalStops) {
    used = !records.isEmpty();
    scheduler.load(records, renewalStops, Clocks.monotonicMillis(), Clocks.wallMillis());
    lastStoredRenewalStop = scheduler.lastStoredRenewalStop();
  }

  /** Returns up to which number decisions not to renew the leases of a worker are stored. */
  long lastStoredRenewalStop() {
    return lastStoredRenewalStop;
  }

  /** Returns whether there were jobs at the claim or any call has come since. */
  boolean isUsed() {
    return used;
  }

  void start() {
    stepThread = new BackgroundThread("owner", this::step);
  }

  long term() {
    return term;
  }

  boolean isDeposed() {
    return deposed;
  }

  /** Adds an event for the owner's thread. Waits while the queue is full and the owner is open. */
  void post(OwnerEvent event) {
    while (!closed && !events.offer(event)) {
      LockSupport.parkNanos(1_000_000);
    }
    wake();
  }

  private void wake() {
    if (parked) {
      LockSupport.unpark(ownerThread);
    }
  }

  /** Handles a caller's request. The future never completes exceptionally. */
  CompletableFuture<JobAnswer> call(JobCall call) {
    if (closed || deposed) {
      return CompletableFuture.completedFuture(OWNER_CHANGED_ANSWER);
    }
    used = true;
    QueuedCall queued = new QueuedCall(call);
    if (calls.offer(queued)) {
      queued.rejectInTime(Clocks.monotonicMillis());
      wake();
    } else {
      queued.reject();
    }
    return queued.answer();
  }

  /** Returns the number of steps that the owner's thread has begun. */
  long stepCount() {
    return stepCount;
  }

  @SuppressWarnings("NonAtomicVolatileUpdate") // only the owner's thread writes it
  private void step() {
    ownerThread = Thread.currentThread();
    stepCount++;
    load.beginRound(calls.size() + events.size());
    int handled = calls.drain(MAX_QUEUED_CALLS, this::handleCall);
    handled += events.drain(EVENTS_PER_STEP, this::handle);
    load.endPart(OwnerLoad.Part.EVENTS, handled);
    long nowMillis = Clocks.monotonicMillis();
    detectStall(nowMillis);
    if (journal.isDeposed() || scheduler.isFenced() || closed) {
      endTerm();
      return;
    }
    boolean confirmationNeeded = journal.confirmedMillis() < confirmationNeededSinceMillis;
    if (nowMillis - lastEndReadMillis >= END_READ_INTERVAL_MILLIS
        && (confirmationNeeded || !journal.isBusy())
        && journal.readEnd(nowMillis)) {
      lastEndReadMillis = nowMillis;
    }
    // Callers wait for the append, so it starts before the orders, which take long in a new owner.
    storeChanges(nowMillis);
    load.endPart(OwnerLoad.Part.JOURNAL, 0);
    boolean maySendOrders = maySendOrders(nowMillis);
    if (maySendOrders) {
      List<Order> due = scheduler.step(nowMillis, Clocks.wallMillis());
      load.endPart(OwnerLoad.Part.SCHEDULING, due.size());
      due.forEach(order -> send(order, nowMillis));
      load.endPart(OwnerLoad.Part.SENDING, due.size());
    }
    expireWaitingCallers(nowMillis);
    load.endPart(OwnerLoad.Part.JOURNAL, 0);
    if (maySendOrders) {
      placeTasks();
    }
    pacing.recordStep(load.endRound(journal.pendingMillis(nowMillis)));
    if (handled < EVENTS_PER_STEP) {
      LockSupport.parkNanos(pacing.pauseMillis() * 1_000_000);
      park();
    }
  }

  private void placeTasks() {
    long nowMillis = Clocks.monotonicMillis();
    detectStall(nowMillis);
    // The leases of starts begin now, and the orders before may have taken long to send.
    if (scheduler.millisUntilPlacement(nowMillis) == 0 && maySendOrders(nowMillis)) {
      List<Order> starts = scheduler.placeTasks(nowMillis, Clocks.wallMillis());
      scheduler.recordPlacementEnd(Clocks.monotonicMillis());
      load.endPart(OwnerLoad.Part.SCHEDULING, starts.size());
      starts.forEach(order -> send(order, nowMillis));
      load.endPart(OwnerLoad.Part.SENDING, starts.size());
    }
  }

  /**
   * Sends an order. As long as the owner accepts events, an event with the result always follows;
   * without it, no further order would be sent to the worker. An order that was decided too long
   * ago is not sent, since the ownership may have been lost while the thread stood still.
   */
  private void send(Order order, long decidedMillis) {
    CompletableFuture<OrderResult> result;
    try {
      boolean outdated =
          Clocks.monotonicMillis() - decidedMillis >= CONFIRMATION_VALID_MILLIS || closed;
      result =
          outdated
              ? CompletableFuture.completedFuture(new OrderResult.Unanswered("not sent in time"))
              : load.timeAnswer(order, orders.send(order));
    } catch (RuntimeException e) {
      result = CompletableFuture.failedFuture(e);
    }
    CompletableFuture<Void> unused =
        result
            .exceptionally(failure -> new OrderResult.Unanswered(failure.toString()))
            .thenAccept(answer -> post(new OwnerEvent.OrderCompleted(order, answer)));
  }

  private void park() {
    parked = true;
    if (calls.size() == 0 && events.size() == 0) {
      long placementMillis = scheduler.millisUntilPlacement(Clocks.monotonicMillis());
      boolean placing = !ordersPaused && !deposed;
      long parkMillis = placing ? Math.min(MAX_PARK_MILLIS, placementMillis) : MAX_PARK_MILLIS;
      LockSupport.parkNanos(parkMillis * 1_000_000);
    }
    parked = false;
  }

  /**
   * Requires a new confirmation of the ownership after a stall of the thread or a jump of one clock
   * against the other, since another entry may have claimed the jobs in the meantime.
   */
  private void detectStall(long nowMillis) {
    long wallOffsetMillis = Clocks.wallMillis() - nowMillis;
    boolean stalled = nowMillis - lastStepMillis > STALL_THRESHOLD_MILLIS;
    boolean jumped = Math.abs(wallOffsetMillis - lastWallOffsetMillis) > STALL_THRESHOLD_MILLIS;
    if (stalled || jumped) {
      confirmationNeededSinceMillis = nowMillis;
      lastEndReadMillis = 0;
    }
    lastStepMillis = nowMillis;
    lastWallOffsetMillis = wallOffsetMillis;
  }

  private boolean maySendOrders(long nowMillis) {
    long lastConfirmedMillis = journal.confirmedMillis();
    boolean maySend =
        isOwnershipConfirmed(nowMillis)
            || (lastConfirmedMillis >= confirmationNeededSinceMillis && isFollowed.getAsBoolean());
    if (maySend == ordersPaused) {
      ordersPaused = !maySend;
      EventLog.info(
          ordersPaused ? LogEvent.OWNER_PAUSED : LogEvent.OWNER_RESUMED,
          "term",
          term,
          "proof-age-ms",
          nowMillis - lastConfirmedMillis);
    }
    return maySend;
  }

  /** Returns whether the ownership was confirmed recently, and since the last stall. */
  private boolean isOwnershipConfirmed(long nowMillis) {
    long lastConfirmedMillis = journal.confirmedMillis();
    return lastConfirmedMillis >= confirmationNeededSinceMillis
        && nowMillis - lastConfirmedMillis < CONFIRMATION_VALID_MILLIS;
  }

  private void handle(OwnerEvent event) {
    long nowMillis = Clocks.monotonicMillis();
    switch (event) {
      case OwnerEvent.OrderCompleted completed ->
          scheduler.orderCompleted(
              completed.order(), completed.result(), nowMillis, Clocks.wallMillis());
      case OwnerEvent.AppendCompleted completed ->
          journal
              .handleAppendResult(completed, nowMillis)
              .ifPresent(batch -> handleStored(batch, nowMillis));
      case OwnerEvent.JournalEndRead read ->
          journal.handleEndRead(read, nowMillis).ifPresent(batch -> handleStored(batch, nowMillis));
      case OwnerEvent.ListingsRead listingsRead -> listingUpdates.apply(listingsRead.poll());
    }
  }

  private void handleStored(JournalBatch batch, long nowMillis) {
    scheduler.batchStored(batch, nowMillis);
    lastStoredRenewalStop = scheduler.lastStoredRenewalStop();
    waitingCallers.answerStored(batch.phases().keySet());
  }

  private void handleCall(QueuedCall queued) {
    if (!queued.take()) {
      return;
    }
    JobCall call = queued.call();
    CompletableFuture<JobAnswer> answer = queued.answer();
    long nowMillis = Clocks.monotonicMillis();
    if (deposed) {
      answer.complete(OWNER_CHANGED_ANSWER);
      return;
    }
    switch (call.verb()) {
      case SUBMIT -> submit(call, answer, nowMillis);
      case CANCEL -> cancel(call, answer, nowMillis);
      case STATE -> answer.complete(state(call, nowMillis));
      case WAITING -> answer.complete(new JobAnswer.Waiting(scheduler.waitingCount(call.queue())));
    }
  }

  /** Finds the job that a call names, unless it belongs to another queue than the call's. */
  private Optional<Job> find(JobCall call) {
    return scheduler.find(call.job()).filter(known -> known.rules().queue().equals(call.queue()));
  }

  private void submit(JobCall call, CompletableFuture<JobAnswer> answer, long nowMillis) {
    Optional<Job> known = find(call);
    if (known.isEmpty()) {
      Optional<JobAnswer> rejection =
          submissionCheck.answer(call, isOwnershipConfirmed(nowMillis), nowMillis);
      if (rejection.isPresent()) {
        answer.complete(rejection.get());
        return;
      }
    }
    Job job = known.orElseGet(() -> scheduler.submit(call.submission().orElseThrow(), nowMillis));
    if (job.isStored()) {
      answer.complete(new JobAnswer.Accepted());
    } else {
      waitingCallers.add(job, call, JobPhase.ACTIVE, answer);
    }
  }

  private void cancel(JobCall call, CompletableFuture<JobAnswer> answer, long nowMillis) {
    Optional<Job> known = find(call);
    if (known.isEmpty()) {
      answer.complete(noSuchJob(nowMillis));
      return;
    }
    Job job = known.get();
    scheduler.cancel(job, nowMillis, Clocks.wallMillis());
    if (job.storedPhase() != JobPhase.ACTIVE) {
      answer.complete(new JobAnswer.Cancelled());
    } else {
      waitingCallers.add(job, call, JobPhase.CANCELLED, answer);
    }
  }

  private JobAnswer state(JobCall call, long nowMillis) {
    Optional<Job> known = find(call).filter(Job::isStored);
    return known.isPresent() ? new JobAnswer.State(JobState.of(known.get())) : noSuchJob(nowMillis);
  }

  /** Answers that a job does not exist, which only a confirmed owner can know. */
  private JobAnswer noSuchJob(long nowMillis) {
    if (isOwnershipConfirmed(nowMillis)) {
      return new JobAnswer.UnknownJob();
    }
    return new JobAnswer.Rejected(
        "the claim of the jobs is not confirmed", SubmissionCheck.RETRY_AFTER_MILLIS);
  }

  private void storeChanges(long nowMillis) {
    journal.retryIfDue(nowMillis);
    if (!journal.isBusy()) {
      scheduler
          .drainChanges(nowMillis, pacing.batchIntervalMillis())
          .ifPresent(batch -> journal.startAppend(batch, nowMillis));
    }
  }

  private void expireWaitingCallers(long nowMillis) {
    if (submissionCheck.isStoreTooSlow(nowMillis)) {
      // These are in no append yet, and were made before the store was known to be unavailable.
      for (Job job : scheduler.withdrawUnstored()) {
        waitingCallers.answer(job, SubmissionCheck.APPEND_PENDING_ANSWER);
      }
    }
    if (journal.pendingMillis(nowMillis) > APPEND_TIMEOUT_MILLIS) {
      waitingCallers.answerAll(STORE_SILENT_ANSWER);
    }
    waitingCallers.answerExpired(STORE_SILENT_ANSWER, nowMillis);
  }

  private void endTerm() {
    if (!deposed) {
      deposed = true;
      EventLog.warn(
          closed ? LogEvent.OWNER_RELEASED : LogEvent.OWNER_DEPOSED,
          "term",
          term,
          "fenced",
          scheduler.isFenced());
    }
    waitingCallers.answerAll(OWNER_CHANGED_ANSWER);
    park();
  }

  @Override
  public void close() {
    closed = true;
    if (stepThread != null) {
      stepThread.close();
      if (!stepThread.hasEnded()) {
        // The state belongs to the thread until then; callers are answered by their own limits.
        deposed = true;
        return;
      }
    }
    endTerm();
    calls.drain(MAX_QUEUED_CALLS, this::handleCall);
    events.drain(MAX_QUEUED_EVENTS, this::handle);
  }
}
