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
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StoredCodec;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Claims the jobs in the log, and keeps what runs under a claim. The claim is appended at the very
 * end that was read, so that the state read before it is the state at the claim. Each claim is
 * begun once at most, by the process that appended it.
 */
final class OwnerTerms {
  /** Tries of one claim against the appends of an owner that still writes. */
  private static final int CLAIM_TRIES = 6;

  /** Time between two reads of the list of workers, in milliseconds. */
  private static final long LISTING_MILLIS = 400;

  private final KeyedLog log;
  private final WorkerOrders orders;
  private final PoolTiming timing;
  private final long retentionMillis;
  private final DecisionLog decisions;
  private volatile Optional<JobOwner> current = Optional.empty();
  private Optional<OpenClaim> openClaim = Optional.empty();
  private volatile boolean closing;
  private Duty listings;

  OwnerTerms(
      KeyedLog log,
      WorkerOrders orders,
      PoolTiming timing,
      long retentionMillis,
      DecisionLog decisions) {
    this.log = log;
    this.orders = orders;
    this.timing = timing;
    this.retentionMillis = retentionMillis;
    this.decisions = decisions;
  }

  /** Returns the term that this entry owns the jobs under, empty where it does not. */
  Optional<JobOwner> current() {
    return current;
  }

  /**
   * The claim that this process appended last, until something begins under it. Only the log tells
   * whether it is stored where the answer was lost.
   *
   * @param record the claim
   * @param formerGone whether the process of the claim before it had certainly ended
   */
  private record OpenClaim(OwnerRecord record, boolean formerGone) {
    boolean is(OwnerView found) {
      return record.term() == found.term() && record.entry().equals(found.entry());
    }
  }

  /** What came of a claim. */
  sealed interface Claim {
    /** The jobs are owned by this entry. */
    record Won(JobOwner owner) implements Claim {}

    /** The log holds a newer claim than the one to be replaced. */
    record Overtaken(OwnerView owner) implements Claim {}

    /** The log could not be read or written. */
    record Failed() implements Claim {}
  }

  /**
   * Claims the jobs from the owner of a term; a newer claim in the log stays, unless the process
   * that made it has ended too, or this one made it and got no answer.
   *
   * @param entry incarnation of this entry
   * @param peerAddress host and port of this entry's peer link
   * @param replacedTerm the term that is to end
   * @param isGone tells of an incarnation whether its process has certainly ended
   * @param peersAgree tells whether entries that can be reached still follow this one
   * @return what came of it
   */
  synchronized Claim claim(
      String entry,
      String peerAddress,
      long replacedTerm,
      Predicate<String> isGone,
      BooleanSupplier peersAgree)
      throws InterruptedException {
    KeyedCache cache = new KeyedCache(log, LogTopic.JOBS);
    Map<String, byte[]> state = new HashMap<>();
    for (int i = 0; i < CLAIM_TRIES && !closing; i++) {
      if (!readOn(cache, state)) {
        return new Claim.Failed();
      }
      OwnerView found = ownerIn(state);
      Optional<OpenClaim> own =
          openClaim.filter(open -> open.is(found) && found.term() >= replacedTerm);
      if (own.isPresent()) {
        if (isAtEnd(cache)) {
          return new Claim.Won(
              begin(found.term(), own.get().formerGone(), state, cache.next(), peersAgree));
        }
        continue;
      }
      if (found.term() > replacedTerm && !isGone.test(found.entry())) {
        EventLog.info(
            LogEvent.OWNER_CLAIM_FAILED,
            "replaced",
            replacedTerm,
            "term",
            found.term(),
            "owner",
            found.entry());
        return new Claim.Overtaken(found);
      }
      long term = found.term() + 1;
      OwnerRecord claim = new OwnerRecord(term, entry, peerAddress);
      boolean formerGone = hasNoFormer(found, isGone);
      openClaim = Optional.of(new OpenClaim(claim, formerGone));
      KeyedRecord record =
          new KeyedRecord(StoredChange.OWNER_KEY, Optional.of(StoredCodec.encode(claim)));
      KeyedLog.Append result =
          KeyedCache.await(
              log.append(LogTopic.JOBS, OptionalLong.of(cache.next()), List.of(record)));
      if (result instanceof KeyedLog.Append.Stored stored) {
        return new Claim.Won(begin(term, formerGone, state, stored.end(), peersAgree));
      }
      if (!(result instanceof KeyedLog.Append.EndMoved)) {
        EventLog.warn(LogEvent.OWNER_CLAIM_FAILED, "term", term, "cause", result);
      }
    }
    return new Claim.Failed();
  }

  private static boolean hasNoFormer(OwnerView found, Predicate<String> isGone) {
    return found.entry().isEmpty() || isGone.test(found.entry());
  }

  /** Tells whether nothing was appended behind what was read, so that its newest claim holds. */
  private boolean isAtEnd(KeyedCache cache) throws InterruptedException {
    return KeyedCache.await(log.read(LogTopic.JOBS, cache.next(), 0))
            instanceof KeyedLog.Read.Records behind
        && behind.records().isEmpty()
        && behind.end() <= cache.next();
  }

  private static boolean readOn(KeyedCache cache, Map<String, byte[]> state)
      throws InterruptedException {
    switch (cache.poll(0)) {
      case KeyedCache.Poll.Whole whole -> {
        state.clear();
        whole.records().forEach(record -> apply(state, record));
        return catchUp(cache, state);
      }
      case KeyedCache.Poll.Changes changes ->
          changes.records().forEach(record -> apply(state, record));
      case KeyedCache.Poll.Failed failed -> {
        EventLog.warn(LogEvent.OWNER_CLAIM_FAILED, "cause", failed.cause());
        return false;
      }
    }
    return true;
  }

  /** Pages are read at different times; what was appended meanwhile is read from the log. */
  private static boolean catchUp(KeyedCache cache, Map<String, byte[]> state)
      throws InterruptedException {
    return cache.poll(0) instanceof KeyedCache.Poll.Changes changes
        && changes.records().stream().allMatch(record -> apply(state, record));
  }

  private static boolean apply(Map<String, byte[]> state, KeyedRecord record) {
    record
        .value()
        .ifPresentOrElse(value -> state.put(record.key(), value), () -> state.remove(record.key()));
    return true;
  }

  private static OwnerView ownerIn(Map<String, byte[]> state) {
    byte[] owner = state.get(StoredChange.OWNER_KEY);
    try {
      return owner != null && StoredCodec.decode(owner).orElse(null) instanceof OwnerRecord record
          ? new OwnerView(record.term(), record.entry(), record.peerAddress())
          : OwnerView.NONE;
    } catch (MalformedMessageException e) {
      throw new IllegalStateException("the claim in the log cannot be read", e);
    }
  }

  private JobOwner begin(
      long term,
      boolean formerGone,
      Map<String, byte[]> state,
      long end,
      BooleanSupplier peersAgree) {
    openClaim = Optional.empty();
    PoolTiming inherited = formerGone ? timing.withoutPreviousOwner() : timing;
    JobScheduler scheduler = new JobScheduler(term, inherited, retentionMillis, decisions);
    JobOwner owner = new JobOwner(term, scheduler, log, end, orders, peersAgree);
    List<StoredRecord> records =
        state.entrySet().stream().flatMap(e -> decode(e.getKey(), e.getValue()).stream()).toList();
    owner.load(records);
    EventLog.info(
        LogEvent.OWNER_CLAIMED,
        "term",
        term,
        "former-gone",
        formerGone,
        "records",
        records.size(),
        "offset",
        end);
    owner.start();
    KeyedCache workers = new KeyedCache(log, LogTopic.WORKERS);
    listings = new Duty("listings", () -> readListings(owner, workers));
    current = Optional.of(owner);
    return owner;
  }

  private static Optional<StoredRecord> decode(String key, byte[] value) {
    try {
      return StoredCodec.decode(value);
    } catch (MalformedMessageException e) {
      EventLog.warn(LogEvent.LOG_RECORD_MALFORMED, "topic", "jobs", "key", key);
      return Optional.empty();
    }
  }

  private static void readListings(JobOwner owner, KeyedCache workers) throws InterruptedException {
    owner.tell(new OwnerEvent.Listed(workers.poll(0)));
    Thread.sleep(LISTING_MILLIS);
  }

  /** Ends the current term, and lets a claim that is under way give up. */
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
