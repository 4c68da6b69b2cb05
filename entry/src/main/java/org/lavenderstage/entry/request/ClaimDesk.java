package org.lavenderstage.entry.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.lavenderstage.core.claim.ClaimAnswer;
import org.lavenderstage.core.claim.ClaimCoordinator;
import org.lavenderstage.core.claim.ClaimDecision;
import org.lavenderstage.core.claim.ClaimLimits;
import org.lavenderstage.core.claim.ClaimResult;
import org.lavenderstage.core.claim.ClaimSubmission;
import org.lavenderstage.core.claim.DispatchCheck;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.claim.ClaimLedger;
import org.lavenderstage.core.ledger.claim.ClaimState;
import org.lavenderstage.core.ledger.claim.RequestKey;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RequestClaimed;
import org.lavenderstage.core.record.RequestReleased;
import org.lavenderstage.core.record.RequestSettled;
import org.lavenderstage.entry.dispatch.DispatchRequest;
import org.lavenderstage.entry.dispatch.DispatchResult;
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.entry.log.StreamAppender;
import org.lavenderstage.entry.log.StreamReplica;
import org.lavenderstage.wire.peer.AnswerQuery;
import org.lavenderstage.wire.peer.AnswerReply;
import org.lavenderstage.wire.settings.EntrySettings;

/**
 * Carries out what the coordinator of the claims decides: appends, dispatches, answers, queries to
 * owners. The coordinator is kept to one thread by a lock that is never held over any of these.
 */
public final class ClaimDesk implements AutoCloseable {
  private static final long TICK_MILLIS = 5;

  private final ClaimCoordinator coordinator;
  private final StreamReplica<ClaimLedger> replica;
  private final StreamAppender appender;
  private final Consumer<DispatchRequest> dispatcher;
  private final OwnerQuery owners;
  private final Map<Long, Pending> pending = new ConcurrentHashMap<>();
  private final Queue<LedgerRecord> owed = new ConcurrentLinkedQueue<>();
  private final AtomicLong lastSubmission = new AtomicLong();
  private Duty duty;

  /**
   * Follows the claims.
   *
   * @param entry incarnation of this entry
   * @param settings limits and times
   * @param replica this entry's copy of the claims, not started yet
   * @param appender appends to the stream
   * @param dispatcher takes a request whose claim is won
   * @param owners finds the owners of claims
   */
  public ClaimDesk(
      String entry,
      EntrySettings settings,
      StreamReplica<ClaimLedger> replica,
      StreamAppender appender,
      Consumer<DispatchRequest> dispatcher,
      OwnerDirectory owners) {
    ClaimLimits limits =
        new ClaimLimits(
            TimeUnit.MILLISECONDS.toNanos(settings.claimWaitMillis()),
            settings.ringSize(),
            settings.keptAnswers(),
            settings.keptAnswerBytes());
    this.coordinator = new ClaimCoordinator(entry, limits);
    this.replica = replica;
    this.appender = appender;
    this.dispatcher = dispatcher;
    this.owners = new OwnerQuery(owners);
    replica.observe(this::judged);
  }

  /** Starts to look at waits and deadlines. */
  public void start() {
    duty = new Duty("claims", this::tick);
  }

  private void tick() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
    LedgerRecord record = owed.peek();
    while (record != null && appender.offer(record)) {
      owed.remove();
      record = owed.peek();
    }
    decide(claims -> claims.ticked(System.nanoTime()));
  }

  /**
   * Takes a caller's submission.
   *
   * @param key the request, its key inside the window
   * @param arrivedNanos monotonic time of the arrival
   * @param deadlineNanos monotonic time by which it must be answered
   * @param work what is sent once the claim is won
   * @return completes with the final answer
   */
  public CompletableFuture<ClaimAnswer> submit(
      RequestKey key, long arrivedNanos, long deadlineNanos, ClaimedWork work) {
    CompletableFuture<ClaimAnswer> answer = new CompletableFuture<>();
    ClaimSubmission submission =
        new ClaimSubmission(
            lastSubmission.incrementAndGet(), key, arrivedNanos, deadlineNanos, false);
    pending.put(
        submission.id(),
        new Pending(Optional.of(work), deadlineNanos, one -> answer.complete(one.orElseThrow())));
    arrive(submission);
    return answer;
  }

  /**
   * Answers a peer's query; blocks until the answer is known or the peer waits no longer.
   *
   * @param query the query
   * @return the reply
   */
  public AnswerReply answer(AnswerQuery query) {
    long now = System.nanoTime();
    long deadline = now + TimeUnit.MILLISECONDS.toNanos(query.waitMillis());
    RequestKey key = new RequestKey(query.workspace(), query.key());
    CompletableFuture<Optional<ClaimAnswer>> answer = new CompletableFuture<>();
    ClaimSubmission submission =
        new ClaimSubmission(lastSubmission.incrementAndGet(), key, now, deadline, true);
    pending.put(submission.id(), new Pending(Optional.empty(), deadline, answer::complete));
    arrive(submission);
    return OwnerQuery.reply(query, answer.join());
  }

  private void arrive(ClaimSubmission submission) {
    Optional<ClaimState> known = find(submission.key());
    boolean logFailing = appender.isFailing() || !replica.isReachable();
    decide(claims -> claims.arrived(submission, known, logFailing));
  }

  private Optional<ClaimState> find(RequestKey key) {
    return replica.read(stream -> stream.fold().claim(key));
  }

  /** Called on the replica's thread under its lock, so that the fold stands right at the record. */
  private void judged(RecordPosition at, LedgerRecord record, boolean effective) {
    Optional<RequestKey> key =
        switch (record) {
          case RequestClaimed one -> Optional.of(new RequestKey(one.workspace(), one.key()));
          case RequestReleased one -> Optional.of(new RequestKey(one.workspace(), one.key()));
          case RequestSettled one -> Optional.of(new RequestKey(one.workspace(), one.key()));
          default -> Optional.empty();
        };
    if (key.isEmpty()) {
      return;
    }
    Optional<ClaimState> known = find(key.get());
    boolean inWindow = replica.read(stream -> stream.fold().isInWindow(key.get()));
    decide(claims -> claims.readBack(record, effective, known, inWindow, System.nanoTime()));
  }

  private void decide(Function<ClaimCoordinator, List<ClaimDecision>> event) {
    List<ClaimDecision> decisions;
    synchronized (coordinator) {
      decisions = event.apply(coordinator);
    }
    decisions.forEach(this::carryOut);
  }

  private void carryOut(ClaimDecision decision) {
    switch (decision) {
      case ClaimDecision.Append append -> append(append.record());
      case ClaimDecision.Dispatch dispatch -> dispatch(dispatch);
      case ClaimDecision.Answer answer -> finish(answer.submission(), Optional.of(answer.answer()));
      case ClaimDecision.Disown disown -> finish(disown.submission(), Optional.empty());
      case ClaimDecision.AskOwner ask ->
          owners.ask(
              ask.submission(),
              ask.claim().entry(),
              reply -> {
                Optional<ClaimState> known = find(ask.submission().key());
                decide(claims -> claims.ownerReplied(ask.submission(), reply, known));
              });
    }
  }

  private void append(LedgerRecord record) {
    if (appender.offer(record)) {
      return;
    }
    if (record instanceof RequestClaimed claimed) {
      RequestKey key = new RequestKey(claimed.workspace(), claimed.key());
      decide(claims -> claims.claimRefused(key));
    } else {
      owed.add(record);
    }
  }

  private void finish(long submission, Optional<ClaimAnswer> answer) {
    Pending waiting = pending.remove(submission);
    if (waiting != null) {
      waiting.end().accept(answer);
    }
  }

  private void dispatch(ClaimDecision.Dispatch dispatch) {
    Pending leader = pending.get(dispatch.submission());
    if (leader == null) {
      return;
    }
    ClaimedWork work = leader.work().orElseThrow();
    CompletableFuture<DispatchResult> result = new CompletableFuture<>();
    CompletableFuture<?> unused =
        result.thenAccept(
            end ->
                decide(
                    claims ->
                        claims.dispatched(dispatch.key(), dispatch.attempt(), claimResult(end))));
    dispatcher.accept(
        new DispatchRequest(
            work.request(),
            work.order(),
            false,
            leader.deadlineNanos(),
            () -> mayDispatch(dispatch),
            result));
  }

  private boolean mayDispatch(ClaimDecision.Dispatch dispatch) {
    DispatchCheck check;
    synchronized (coordinator) {
      check = coordinator.mayDispatch(dispatch.key(), dispatch.attempt(), System.nanoTime());
    }
    check.decisions().forEach(this::carryOut);
    return check.allowed();
  }

  private static ClaimResult claimResult(DispatchResult result) {
    return switch (result) {
      case DispatchResult.Answered answered ->
          new ClaimResult.Answered(
              ClaimAnswer.upstream(
                  answered.answer().status(),
                  answered.answer().contentType(),
                  answered.answer().body()));
      case DispatchResult.NotRun notRun ->
          new ClaimResult.NotRun(notRun.code(), notRun.retryAfterMillis());
      case DispatchResult.Lost lost -> new ClaimResult.Lost();
    };
  }

  /**
   * Counts the requests whose claim is not yet at its end in the log.
   *
   * @return the count
   */
  public int openKeys() {
    synchronized (coordinator) {
      return coordinator.openKeys();
    }
  }

  @Override
  public void close() {
    if (duty != null) {
      duty.close();
    }
  }

  /** A submission that waits for its answer. */
  private record Pending(
      Optional<ClaimedWork> work, long deadlineNanos, Consumer<Optional<ClaimAnswer>> end) {}
}
