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
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.entry.log.StreamAppender;
import org.lavenderstage.entry.log.StreamReplica;
import org.lavenderstage.wire.peer.AnswerQuery;
import org.lavenderstage.wire.peer.AnswerReply;
import org.lavenderstage.wire.settings.EntrySettings;

/**
 * Executes the decisions of the claim coordinator: appends proposals, dispatches requests, answers
 * submissions and queries the owners of claims. A lock confines the coordinator to one thread at a
 * time; it is not held while a decision is executed.
 */
public final class ClaimGateway implements AutoCloseable {
  private static final long TICK_MILLIS = 5;

  private final ClaimCoordinator coordinator;
  private final StreamReplica<ClaimLedger> replica;
  private final StreamAppender appender;
  private final Consumer<DispatchRequest> dispatcher;
  private final OwnerQuery owners;
  private final Map<Long, Pending> pending = new ConcurrentHashMap<>();
  private final Queue<LedgerRecord> deferredRecords = new ConcurrentLinkedQueue<>();
  private final AtomicLong lastSubmission = new AtomicLong();
  private BackgroundThread thread;

  /**
   * Creates a gateway that observes the claims but does not run yet.
   *
   * @param entry incarnation of this entry
   * @param settings limits and waiting times
   * @param replica this entry's replica of the claim stream, not started yet
   * @param appender appends proposals to the claim stream
   * @param dispatcher accepts a request whose claim this entry has won
   * @param owners finds the entries that own claims
   */
  public ClaimGateway(
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
    replica.observe(this::onRecordApplied);
  }

  /** Starts the thread that checks for expired waiting times and deadlines. */
  public void start() {
    thread = new BackgroundThread("claims", this::checkDeadlines);
  }

  private void checkDeadlines() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
    LedgerRecord record = deferredRecords.peek();
    while (record != null && appender.offer(record)) {
      deferredRecords.remove();
      record = deferredRecords.peek();
    }
    handleEvent(claims -> claims.onTick(System.nanoTime()));
  }

  /**
   * Handles a request of a caller.
   *
   * @param key identifies the request; its key time lies within the accepted window
   * @param arrivedNanos monotonic time of the arrival in nanoseconds
   * @param deadlineNanos monotonic time by which it must be answered, in nanoseconds
   * @param work request to dispatch once the claim is won
   * @return a future that completes with the final answer
   */
  public CompletableFuture<ClaimAnswer> submit(
      RequestKey key, long arrivedNanos, long deadlineNanos, ClaimedWork work) {
    CompletableFuture<ClaimAnswer> answer = new CompletableFuture<>();
    ClaimSubmission submission =
        new ClaimSubmission(
            lastSubmission.incrementAndGet(), key, arrivedNanos, deadlineNanos, false);
    pending.put(
        submission.id(),
        new Pending(
            Optional.of(work),
            deadlineNanos,
            finalAnswer -> answer.complete(finalAnswer.orElseThrow())));
    register(submission);
    return answer;
  }

  /**
   * Answers the query of a peer. Blocks until the answer is known or the time that the peer waits
   * is over.
   *
   * @param query the query
   * @return the reply to the peer
   */
  public AnswerReply answer(AnswerQuery query) {
    long now = System.nanoTime();
    long deadline = now + TimeUnit.MILLISECONDS.toNanos(query.waitMillis());
    RequestKey key = new RequestKey(query.workspace(), query.key());
    CompletableFuture<Optional<ClaimAnswer>> answer = new CompletableFuture<>();
    ClaimSubmission submission =
        new ClaimSubmission(lastSubmission.incrementAndGet(), key, now, deadline, true);
    pending.put(submission.id(), new Pending(Optional.empty(), deadline, answer::complete));
    register(submission);
    return OwnerQuery.reply(query, answer.join());
  }

  private void register(ClaimSubmission submission) {
    Optional<ClaimState> claimState = findClaim(submission.key());
    boolean logFailing = appender.isFailing() || !replica.isReachable();
    handleEvent(claims -> claims.onSubmission(submission, claimState, logFailing));
  }

  private Optional<ClaimState> findClaim(RequestKey key) {
    return replica.read(stream -> stream.stateMachine().claim(key));
  }

  /** Runs on the replica's thread under its lock: the ledger is exactly at this record. */
  private void onRecordApplied(RecordPosition at, LedgerRecord record, boolean effective) {
    Optional<RequestKey> key =
        switch (record) {
          case RequestClaimed proposal ->
              Optional.of(new RequestKey(proposal.workspace(), proposal.key()));
          case RequestReleased proposal ->
              Optional.of(new RequestKey(proposal.workspace(), proposal.key()));
          case RequestSettled proposal ->
              Optional.of(new RequestKey(proposal.workspace(), proposal.key()));
          default -> Optional.empty();
        };
    if (key.isEmpty()) {
      return;
    }
    Optional<ClaimState> claimState = findClaim(key.get());
    boolean inWindow = replica.read(stream -> stream.stateMachine().isInWindow(key.get()));
    handleEvent(
        claims ->
            claims.onRecordApplied(record, effective, claimState, inWindow, System.nanoTime()));
  }

  private void handleEvent(Function<ClaimCoordinator, List<ClaimDecision>> event) {
    List<ClaimDecision> decisions;
    synchronized (coordinator) {
      decisions = event.apply(coordinator);
    }
    decisions.forEach(this::execute);
  }

  private void execute(ClaimDecision decision) {
    switch (decision) {
      case ClaimDecision.Append append -> append(append.record());
      case ClaimDecision.Dispatch dispatch -> dispatch(dispatch);
      case ClaimDecision.Answer answer ->
          completeSubmission(answer.submission(), Optional.of(answer.answer()));
      case ClaimDecision.ReplyNotKnown disown ->
          completeSubmission(disown.submission(), Optional.empty());
      case ClaimDecision.AskOwner ask ->
          owners.askAsync(
              ask.submission(),
              ask.claim().entry(),
              reply -> {
                Optional<ClaimState> claimState = findClaim(ask.submission().key());
                handleEvent(claims -> claims.onOwnerReply(ask.submission(), reply, claimState));
              });
    }
  }

  private void append(LedgerRecord record) {
    if (appender.offer(record)) {
      return;
    }
    if (record instanceof RequestClaimed claimed) {
      RequestKey key = new RequestKey(claimed.workspace(), claimed.key());
      handleEvent(claims -> claims.onAppendRejected(key));
    } else {
      deferredRecords.add(record);
    }
  }

  private void completeSubmission(long submission, Optional<ClaimAnswer> answer) {
    Pending submitted = pending.remove(submission);
    if (submitted != null) {
      submitted.onAnswer().accept(answer);
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
            dispatchResult ->
                handleEvent(
                    claims ->
                        claims.onDispatchResult(
                            dispatch.key(), dispatch.attempt(), claimResult(dispatchResult))));
    dispatcher.accept(
        new DispatchRequest(
            work.request(),
            work.priority(),
            false,
            leader.deadlineNanos(),
            () -> mayDispatch(dispatch),
            result));
  }

  private boolean mayDispatch(ClaimDecision.Dispatch dispatch) {
    DispatchCheck check;
    synchronized (coordinator) {
      check = coordinator.checkDispatch(dispatch.key(), dispatch.attempt(), System.nanoTime());
    }
    check.decisions().forEach(this::execute);
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
   * Returns the number of requests whose claim has not ended in the log yet.
   *
   * @return number of open requests
   */
  public int openKeys() {
    synchronized (coordinator) {
      return coordinator.openKeyCount();
    }
  }

  @Override
  public void close() {
    if (thread != null) {
      thread.close();
    }
  }

  /** A submission that has not been answered yet. */
  private record Pending(
      Optional<ClaimedWork> work, long deadlineNanos, Consumer<Optional<ClaimAnswer>> onAnswer) {}
}
