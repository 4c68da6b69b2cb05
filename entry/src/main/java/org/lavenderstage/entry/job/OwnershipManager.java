package org.lavenderstage.entry.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;
import org.lavenderstage.clients.WorkerOrders;
import org.lavenderstage.core.job.OwnerRecord;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.core.job.StoredRecord;
import org.lavenderstage.core.pool.DecisionLog;
import org.lavenderstage.core.pool.JobScheduler;
import org.lavenderstage.core.pool.PoolTiming;
import org.lavenderstage.core.pool.RenewalStops;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StoredCodec;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Claims the ownership of the jobs in the log, and manages the {@link JobOwner} of the current
 * term. A claim is appended only at the end offset up to which the log was read, so that the state
 * read is the state at the claim. A term is started at most once, by the process that appended its
 * claim.
 */
final class OwnershipManager {
  /** Maximum number of attempts of a claim; one fails if the current owner appends meanwhile. */
  private static final int MAX_CLAIM_ATTEMPTS = 6;

  /** Time between two reads of the list of workers, in milliseconds. */
  private static final long LISTING_INTERVAL_MILLIS = 400;

  /**
   * Longest time before a claim at which the evacuation requests were read that the new owner acts
   * on, in milliseconds: several reads, and less than half of the time that the operator allows
   * from a request to the last start.
   */
  private static final long MAX_REQUEST_AGE_MILLIS = 2_000;

  /** Time after which a new owner checks again whether the requests were read, in milliseconds. */
  private static final long REQUEST_CHECK_MILLIS = 20;

  private final KeyedLog log;
  private final WorkerOrders orders;
  private final PoolTiming timing;
  private final long retentionMillis;
  private final DecisionLog decisions;
  private final EvacuationRequests evacuations;
  private final RenewalStops renewalStops = new RenewalStops();

  /** Guards what is known about the last term; a claim holds this object's lock for long. */
  private final Object termLock = new Object();

  private volatile Optional<JobOwner> current = Optional.empty();
  private Optional<PendingClaim> pendingClaim = Optional.empty();
  private long knownTerm;
  private long termKnownSinceMillis;
  private volatile boolean closing;
  private BackgroundThread listings;

  OwnershipManager(
      KeyedLog log,
      WorkerOrders orders,
      PoolTiming timing,
      long retentionMillis,
      DecisionLog decisions,
      EvacuationRequests evacuations) {
    this.log = log;
    this.orders = orders;
    this.timing = timing;
    this.retentionMillis = retentionMillis;
    this.decisions = decisions;
    this.evacuations = evacuations;
  }

  /** Records up to which number an owner has stored decisions not to renew leases. */
  void recordRenewalStops(long upTo) {
    renewalStops.recordStored(upTo, Clocks.monotonicMillis());
  }

  /**
   * Records that a term has been claimed. The time from the first such call for the last term on
   * shortens the allowance for owners before it.
   */
  void recordTerm(long term) {
    synchronized (termLock) {
      if (term > knownTerm) {
        knownTerm = term;
        termKnownSinceMillis = Clocks.monotonicMillis();
      }
    }
  }

  /** Returns for how long the claim of a term has been known at least, in milliseconds. */
  private long claimAgeMillis(long term) {
    synchronized (termLock) {
      return term == knownTerm ? Clocks.monotonicMillis() - termKnownSinceMillis : 0;
    }
  }

  /** Returns the owner of the current term, empty if this entry does not own the jobs. */
  Optional<JobOwner> current() {
    return current;
  }

  /**
   * The last claim that this process appended and whose term it has not started. If the append was
   * not answered, only the log shows whether the claim is stored.
   *
   * @param record the claim
   * @param predecessors the owners that may continue beside the new one
   */
  private record PendingClaim(OwnerRecord record, Predecessors predecessors) {
    boolean matches(OwnerView currentOwner) {
      return record.term() == currentOwner.term() && record.entry().equals(currentOwner.entry());
    }
  }

  /**
   * The owners that may continue beside a new one.
   *
   * @param lastOneGone whether the process of the last owner has certainly ended
   * @param timing the timing for the new term, with the allowance for them
   */
  private record Predecessors(boolean lastOneGone, PoolTiming timing) {}

  /** The result of a claim. */
  sealed interface ClaimResult {
    /** This entry owns the jobs. */
    record Won(JobOwner owner) implements ClaimResult {}

    /** The log contains a newer claim than the one to be replaced. */
    record Overtaken(OwnerView owner) implements ClaimResult {}

    /** The log could not be read or written. */
    record Failed() implements ClaimResult {}
  }

  /**
   * Claims the jobs from the owner of a term. A newer claim in the log prevails, unless its process
   * has ended too, or it is a claim of this process whose append was not answered.
   *
   * @param entry incarnation of this entry
   * @param peerAddress host and port of this entry's peer link
   * @param replacedTerm the term to be ended
   * @param hasEnded returns whether the process of an incarnation has certainly ended
   * @param isFollowed returns whether a majority of the entries follows this one
   * @return the result of the claim
   */
  synchronized ClaimResult claim(
      String entry,
      String peerAddress,
      long replacedTerm,
      Predicate<String> hasEnded,
      BooleanSupplier isFollowed)
      throws InterruptedException {
    TopicReader reader = new TopicReader(log, LogTopic.JOBS);
    Map<String, StoredRecord> state = new HashMap<>();
    for (int i = 0; i < MAX_CLAIM_ATTEMPTS && !closing; i++) {
      if (!readState(reader, state)) {
        return new ClaimResult.Failed();
      }
      OwnerView currentOwner = findOwner(state);
      recordTerm(currentOwner.term());
      Optional<PendingClaim> ownClaim =
          pendingClaim.filter(
              pending -> pending.matches(currentOwner) && currentOwner.term() >= replacedTerm);
      if (ownClaim.isPresent()) {
        if (isAtEnd(reader)) {
          return new ClaimResult.Won(
              startTerm(
                  currentOwner.term(),
                  ownClaim.get().predecessors(),
                  state,
                  reader.nextOffset(),
                  isFollowed));
        }
        continue;
      }
      if (currentOwner.term() > replacedTerm && !hasEnded.test(currentOwner.entry())) {
        EventLog.info(
            LogEvent.OWNER_CLAIM_FAILED,
            "replaced",
            replacedTerm,
            "term",
            currentOwner.term(),
            "owner",
            currentOwner.entry());
        return new ClaimResult.Overtaken(currentOwner);
      }
      long term = currentOwner.term() + 1;
      OwnerRecord claim = new OwnerRecord(term, entry, peerAddress);
      Predecessors predecessors = findPredecessors(currentOwner, hasEnded);
      pendingClaim = Optional.of(new PendingClaim(claim, predecessors));
      KeyedRecord record =
          new KeyedRecord(StoredChange.OWNER_KEY, Optional.of(StoredCodec.encode(claim)));
      KeyedLog.Append result =
          TopicReader.awaitResult(
              log.append(LogTopic.JOBS, OptionalLong.of(reader.nextOffset()), List.of(record)));
      if (result instanceof KeyedLog.Append.Stored stored) {
        return new ClaimResult.Won(startTerm(term, predecessors, state, stored.end(), isFollowed));
      }
      if (!(result instanceof KeyedLog.Append.EndMoved)) {
        EventLog.warn(LogEvent.OWNER_CLAIM_FAILED, "term", term, "cause", result);
      }
    }
    return new ClaimResult.Failed();
  }

  private Predecessors findPredecessors(OwnerView currentOwner, Predicate<String> hasEnded) {
    if (currentOwner.entry().isEmpty()) {
      return new Predecessors(true, timing.afterEndOfPreviousOwner(Long.MAX_VALUE));
    }
    if (hasEnded.test(currentOwner.entry())) {
      long claimAgeMillis = claimAgeMillis(currentOwner.term());
      return new Predecessors(true, timing.afterEndOfPreviousOwner(claimAgeMillis));
    }
    return new Predecessors(false, timing);
  }

  /** Returns whether nothing was appended after what was read, so that the claim read is valid. */
  private boolean isAtEnd(TopicReader reader) throws InterruptedException {
    return TopicReader.awaitResult(log.read(LogTopic.JOBS, reader.nextOffset(), 0))
            instanceof KeyedLog.Read.Records following
        && following.records().isEmpty()
        && following.end() <= reader.nextOffset();
  }

  private static boolean readState(TopicReader reader, Map<String, StoredRecord> state)
      throws InterruptedException {
    switch (reader.poll(0)) {
      case TopicReader.Poll.Snapshot snapshot -> {
        state.clear();
        snapshot.records().forEach(record -> apply(state, record));
        return catchUp(reader, state);
      }
      case TopicReader.Poll.Changes changes ->
          changes.records().forEach(record -> apply(state, record));
      case TopicReader.Poll.Failed failed -> {
        EventLog.warn(LogEvent.OWNER_CLAIM_FAILED, "cause", failed.cause());
        return false;
      }
    }
    return true;
  }

  /**
   * Reads the records that were appended while the pages of a snapshot were read. Returns whether
   * this succeeded.
   */
  private static boolean catchUp(TopicReader reader, Map<String, StoredRecord> state)
      throws InterruptedException {
    return reader.poll(0) instanceof TopicReader.Poll.Changes changes
        && changes.records().stream().allMatch(record -> apply(state, record));
  }

  /**
   * Applies a record. Records are decoded before the claim: leases run out and callers wait from
   * the claim on, and a new owner decodes slowly.
   */
  private static boolean apply(Map<String, StoredRecord> state, KeyedRecord record) {
    record
        .value()
        .flatMap(value -> decode(record.key(), value))
        .ifPresentOrElse(
            decoded -> state.put(record.key(), decoded), () -> state.remove(record.key()));
    return true;
  }

  private static Optional<StoredRecord> decode(String key, byte[] value) {
    try {
      return StoredCodec.decode(value);
    } catch (MalformedMessageException e) {
      if (key.equals(StoredChange.OWNER_KEY)) {
        throw new IllegalStateException("malformed owner record in the log", e);
      }
      EventLog.warn(LogEvent.LOG_RECORD_MALFORMED, "topic", "jobs", "key", key);
      return Optional.empty();
    }
  }

  private static OwnerView findOwner(Map<String, StoredRecord> state) {
    return state.get(StoredChange.OWNER_KEY) instanceof OwnerRecord record
        ? new OwnerView(record.term(), record.entry(), record.peerAddress())
        : OwnerView.NONE;
  }

  private JobOwner startTerm(
      long term,
      Predecessors predecessors,
      Map<String, StoredRecord> state,
      long endOffset,
      BooleanSupplier isFollowed) {
    pendingClaim = Optional.empty();
    JobScheduler scheduler =
        new JobScheduler(term, predecessors.timing(), retentionMillis, decisions);
    scheduler.followEvacuations(evacuations::domains);
    JobOwner owner = new JobOwner(term, scheduler, log, endOffset, orders, isFollowed);
    owner.load(List.copyOf(state.values()), renewalStops);
    EventLog.info(
        LogEvent.OWNER_CLAIMED,
        "term",
        term,
        "former-gone",
        predecessors.lastOneGone(),
        "records",
        state.size(),
        "offset",
        endOffset);
    owner.start();
    TopicReader workerReader = new TopicReader(log, LogTopic.WORKERS);
    long requestsReadFrom = Clocks.monotonicMillis() - MAX_REQUEST_AGE_MILLIS;
    listings =
        new BackgroundThread("listings", () -> readListings(owner, workerReader, requestsReadFrom));
    current = Optional.of(owner);
    return owner;
  }

  /**
   * Reads the list of workers. A new owner gives no runs to workers before it has their listings,
   * and gets these only once the evacuation requests are known.
   */
  private void readListings(JobOwner owner, TopicReader workerReader, long requestsReadFrom)
      throws InterruptedException {
    if (!evacuations.isReadSince(requestsReadFrom)) {
      Thread.sleep(REQUEST_CHECK_MILLIS);
      return;
    }
    owner.post(new OwnerEvent.ListingsRead(workerReader.poll(0)));
    Thread.sleep(LISTING_INTERVAL_MILLIS);
  }

  /** Ends the current term, and makes a claim in progress give up. */
  void close() {
    closing = true;
    end();
  }

  /** Ends the current term, if there is one. */
  synchronized void end() {
    if (current.isPresent()) {
      JobOwner owner = current.get();
      current = Optional.empty();
      listings.close();
      owner.close();
    }
  }
}
