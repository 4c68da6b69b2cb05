package org.lavenderstage.entry.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
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
import org.lavenderstage.core.pool.WorkerListing;
import org.lavenderstage.entry.duty.BoundedRing;
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.platform.ListingDecoder;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Owns the jobs under one term: answers callers, gives the scheduler what workers and the store
 * say, sends its orders and stores its changes. It ends when it is closed or deposed.
 */
final class JobOwner implements AutoCloseable {
  private static final int RING_SIZE = 8_192;
  private static final int EVENTS_PER_STEP = 512;

  /** Longest sleep of the owner's thread in milliseconds; the pace of repeats and leases. */
  private static final long STEP_MILLIS = 20;

  /**
   * Time between two steps in which events are gathered, in milliseconds; less than a round trip.
   */
  private static final long GATHER_MILLIS = 4;

  /** Time between two looks behind the journal's end, in milliseconds. */
  private static final long CHECK_MILLIS = 500;

  /** How old the proof of the claim may be when an order is sent, in milliseconds. */
  private static final long PROOF_MILLIS = 2_000;

  /** A pause of the thread after which the claim has to be proved anew, in milliseconds. */
  private static final long STALL_MILLIS = 700;

  /** How long an append may be undecided before new work is turned away, in milliseconds. */
  private static final long STORE_PATIENCE_MILLIS = 700;

  /** How long an append may be undecided before its callers are told so, in milliseconds. */
  private static final long UNDECIDED_MILLIS = 1_400;

  /** Advice to callers while the store is away, in milliseconds. */
  private static final long STORE_RETRY_MILLIS = 1_000;

  private static final JobAnswer OWNER_CHANGES =
      new JobAnswer.Undecided("the owner of the jobs changes");

  private static final JobAnswer STORE_AWAY =
      new JobAnswer.Rejected("the platform's store does not answer", STORE_RETRY_MILLIS);

  private final long term;
  private final JobScheduler scheduler;
  private final JobJournal journal;
  private final WorkerOrders orders;
  private final BooleanSupplier peersAgree;
  private final BoundedRing<OwnerEvent> ring = new BoundedRing<>(RING_SIZE);
  private final Map<Job, List<Waiting>> waiting = new HashMap<>();
  private final Set<String> unreadable = new HashSet<>();
  private final Map<String, WorkerListing> listings = new HashMap<>();
  private volatile boolean deposed;
  private volatile boolean closed;
  private volatile boolean parked;
  private volatile long storeSilentMillis;
  private long lastStepMillis;
  private long lastWallOffset;
  private long proofNeededAfter;
  private long lastCheckMillis;
  private boolean paused;
  private Thread thread;
  private Duty duty;

  /** A caller that waits until a job's phase is stored. */
  private record Waiting(JobCall call, JobPhase phase, CompletableFuture<JobAnswer> answer) {}

  JobOwner(
      long term,
      JobScheduler scheduler,
      KeyedLog log,
      long journalEnd,
      WorkerOrders orders,
      BooleanSupplier peersAgree) {
    this.term = term;
    this.scheduler = scheduler;
    this.orders = orders;
    this.peersAgree = peersAgree;
    lastStepMillis = Time.steadyMillis();
    lastWallOffset = Time.wallMillis() - lastStepMillis;
    journal = new JobJournal(log, journalEnd, lastStepMillis, this::tell);
  }

  /** Takes what the store holds; called before the start. */
  void load(List<StoredRecord> records) {
    scheduler.load(records, Time.steadyMillis(), Time.wallMillis());
  }

  void start() {
    duty = new Duty("owner", this::step);
  }

  long term() {
    return term;
  }

  boolean isDeposed() {
    return deposed;
  }

  /** Returns how long ago the store last proved the claim, in milliseconds. */
  long storeSilentMillis() {
    return storeSilentMillis;
  }

  /** Hands an event to the owner's thread; an event that finds no room is not lost silently. */
  void tell(OwnerEvent event) {
    while (!closed && !ring.offer(event)) {
      LockSupport.parkNanos(1_000_000);
    }
    if (parked) {
      LockSupport.unpark(thread);
    }
  }

  /** Answers a caller's request; the future never fails. */
  CompletableFuture<JobAnswer> call(JobCall call) {
    CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
    if (closed || deposed) {
      answer.complete(OWNER_CHANGES);
    } else {
      tell(new OwnerEvent.Called(call, answer));
    }
    return answer;
  }

  private void step() {
    thread = Thread.currentThread();
    int taken = ring.drain(EVENTS_PER_STEP, this::take);
    long nowMillis = Time.steadyMillis();
    watchClocks(nowMillis);
    if (journal.isDeposed() || scheduler.isFenced() || closed) {
      endTerm();
      return;
    }
    if (nowMillis - lastCheckMillis >= CHECK_MILLIS && !journal.isBusy()) {
      lastCheckMillis = nowMillis;
      journal.check(nowMillis);
    }
    storeSilentMillis = Math.max(0, nowMillis - journal.confirmedMillis());
    if (mayOrder(nowMillis)) {
      for (Order order : scheduler.step(nowMillis, Time.wallMillis())) {
        send(order);
      }
    }
    store(nowMillis);
    expire(nowMillis);
    if (taken < EVENTS_PER_STEP) {
      LockSupport.parkNanos(GATHER_MILLIS * 1_000_000);
      park();
    }
  }

  /**
   * Sends an order. What became of it always comes as an event, as long as the owner takes events;
   * without one its worker would never be asked again.
   */
  private void send(Order order) {
    CompletableFuture<OrderResult> result;
    try {
      result = orders.send(order, term);
    } catch (RuntimeException e) {
      result = CompletableFuture.failedFuture(e);
    }
    CompletableFuture<Void> unused =
        result
            .exceptionally(failure -> new OrderResult.Unanswered(failure.toString()))
            .thenAccept(answer -> tell(new OwnerEvent.OrderEnded(order, answer)));
  }

  private void park() {
    parked = true;
    if (ring.size() == 0) {
      LockSupport.parkNanos(STEP_MILLIS * 1_000_000);
    }
    parked = false;
  }

  /** A stall or a jump between the clocks may have been long enough for another claim. */
  private void watchClocks(long nowMillis) {
    long wallOffset = Time.wallMillis() - nowMillis;
    boolean stalled = nowMillis - lastStepMillis > STALL_MILLIS;
    boolean jumped = Math.abs(wallOffset - lastWallOffset) > STALL_MILLIS;
    if (stalled || jumped) {
      proofNeededAfter = nowMillis;
      lastCheckMillis = 0;
    }
    lastStepMillis = nowMillis;
    lastWallOffset = wallOffset;
  }

  private boolean mayOrder(long nowMillis) {
    long proof = journal.confirmedMillis();
    boolean may = isProved(nowMillis) || (proof >= proofNeededAfter && peersAgree.getAsBoolean());
    if (may == paused) {
      paused = !may;
      EventLog.info(
          paused ? LogEvent.OWNER_PAUSED : LogEvent.OWNER_RESUMED,
          "term",
          term,
          "proof-age-ms",
          nowMillis - proof);
    }
    return may;
  }

  /** Tells whether this entry was certainly the owner a short while ago, and since any stall. */
  private boolean isProved(long nowMillis) {
    long proof = journal.confirmedMillis();
    return proof >= proofNeededAfter && nowMillis - proof < PROOF_MILLIS;
  }

  private void take(OwnerEvent event) {
    long nowMillis = Time.steadyMillis();
    switch (event) {
      case OwnerEvent.Called called -> answer(called.call(), called.answer(), nowMillis);
      case OwnerEvent.OrderEnded ended ->
          scheduler.orderCompleted(ended.order(), ended.result(), nowMillis, Time.wallMillis());
      case OwnerEvent.AppendEnded ended ->
          journal.appended(ended, nowMillis).ifPresent(batch -> stored(batch, nowMillis));
      case OwnerEvent.EndRead read ->
          journal.checked(read, nowMillis).ifPresent(batch -> stored(batch, nowMillis));
      case OwnerEvent.Listed listed -> listed(listed.poll());
    }
  }

  private void stored(JournalBatch batch, long nowMillis) {
    scheduler.batchStored(batch, nowMillis);
    for (Job job : batch.phases().keySet()) {
      List<Waiting> callers = waiting.get(job);
      if (callers != null) {
        callers.removeIf(w -> answerStored(job, w));
        if (callers.isEmpty()) {
          waiting.remove(job);
        }
      }
    }
  }

  private static boolean answerStored(Job job, Waiting waiting) {
    if (waiting.phase() == JobPhase.ACTIVE) {
      return waiting.answer().complete(new JobAnswer.Accepted());
    }
    if (job.storedPhase() != JobPhase.ACTIVE) {
      return waiting.answer().complete(new JobAnswer.Cancelled());
    }
    return false;
  }

  private void answer(JobCall call, CompletableFuture<JobAnswer> answer, long nowMillis) {
    if (deposed) {
      answer.complete(OWNER_CHANGES);
      return;
    }
    switch (call.verb()) {
      case SUBMIT -> submit(call, answer, nowMillis);
      case CANCEL -> cancel(call, answer, nowMillis);
      case STATE -> answer.complete(state(call, nowMillis));
      case WAITING -> answer.complete(new JobAnswer.Waiting(scheduler.waitingCount(call.queue())));
    }
  }

  private void submit(JobCall call, CompletableFuture<JobAnswer> answer, long nowMillis) {
    Optional<Job> known = scheduler.find(call.job());
    if (known.isEmpty() && journal.waitingMillis(nowMillis) > STORE_PATIENCE_MILLIS) {
      answer.complete(STORE_AWAY);
      return;
    }
    Job job = known.orElseGet(() -> scheduler.submit(call.submission().orElseThrow(), nowMillis));
    if (job.isStored()) {
      answer.complete(new JobAnswer.Accepted());
    } else {
      await(job, new Waiting(call, JobPhase.ACTIVE, answer));
    }
  }

  private void cancel(JobCall call, CompletableFuture<JobAnswer> answer, long nowMillis) {
    Optional<Job> known = scheduler.find(call.job());
    if (known.isEmpty()) {
      answer.complete(unknown(nowMillis));
      return;
    }
    Job job = known.get();
    scheduler.cancel(job, nowMillis, Time.wallMillis());
    if (job.storedPhase() != JobPhase.ACTIVE) {
      answer.complete(new JobAnswer.Cancelled());
    } else {
      await(job, new Waiting(call, JobPhase.CANCELLED, answer));
    }
  }

  private void await(Job job, Waiting caller) {
    waiting.computeIfAbsent(job, key -> new ArrayList<>(1)).add(caller);
  }

  private JobAnswer state(JobCall call, long nowMillis) {
    Optional<Job> known = scheduler.find(call.job()).filter(Job::isStored);
    return known.isPresent() ? new JobAnswer.State(JobState.of(known.get())) : unknown(nowMillis);
  }

  /** Only an entry that is certainly still the owner knows that a job does not exist. */
  private JobAnswer unknown(long nowMillis) {
    if (isProved(nowMillis)) {
      return new JobAnswer.UnknownJob();
    }
    return new JobAnswer.Rejected("the claim of the jobs is not confirmed", STORE_RETRY_MILLIS);
  }

  private void store(long nowMillis) {
    journal.step(nowMillis);
    if (!journal.isBusy()) {
      scheduler.drainChanges().ifPresent(batch -> journal.begin(batch, nowMillis));
    }
  }

  /** Turns away what came before the store was known to be away, and is in no append yet. */
  private void turnAway() {
    for (Job job : scheduler.withdrawUnstored()) {
      for (Waiting caller : waiting.getOrDefault(job, List.of())) {
        caller.answer().complete(STORE_AWAY);
      }
      waiting.remove(job);
    }
  }

  private void expire(long nowMillis) {
    if (journal.waitingMillis(nowMillis) > STORE_PATIENCE_MILLIS) {
      turnAway();
    }
    boolean stalled = journal.waitingMillis(nowMillis) > UNDECIDED_MILLIS;
    Iterator<List<Waiting>> lists = waiting.values().iterator();
    while (lists.hasNext()) {
      List<Waiting> callers = lists.next();
      callers.removeIf(
          w ->
              (stalled || nowMillis >= w.call().answerByMillis())
                  && w.answer().complete(new JobAnswer.Undecided("the store has not answered")));
      if (callers.isEmpty()) {
        lists.remove();
      }
    }
  }

  private void listed(KeyedCache.Poll poll) {
    switch (poll) {
      case KeyedCache.Poll.Whole whole -> {
        Set<String> gone = new HashSet<>(listings.keySet());
        whole.records().forEach(record -> gone.remove(record.key()));
        gone.forEach(this::unlist);
        whole.records().forEach(this::list);
      }
      case KeyedCache.Poll.Changes changes -> changes.records().forEach(this::list);
      case KeyedCache.Poll.Failed failed -> {
        // the listings that are known hold while the store is away
      }
    }
  }

  private void list(KeyedRecord record) {
    if (record.value().isEmpty()) {
      unlist(record.key());
      return;
    }
    Optional<WorkerListing> listing = ListingDecoder.decode(record.key(), record.value().get());
    if (listing.isEmpty()) {
      if (unreadable.add(record.key())) {
        EventLog.warn(LogEvent.LISTING_UNREADABLE, "key", record.key());
      }
      return;
    }
    if (!listing.get().equals(listings.put(record.key(), listing.get()))) {
      scheduler.workerListed(listing.get());
    }
  }

  private void unlist(String id) {
    if (listings.remove(id) != null) {
      scheduler.workerUnlisted(id);
    }
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
    waiting.values().forEach(callers -> callers.forEach(w -> w.answer().complete(OWNER_CHANGES)));
    waiting.clear();
    park();
  }

  @Override
  public void close() {
    closed = true;
    if (duty != null) {
      duty.close();
    }
    endTerm();
    ring.drain(RING_SIZE, this::take);
  }
}
