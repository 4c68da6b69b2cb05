package org.lavenderstage.entry.job;

import java.io.IOException;
import java.net.ConnectException;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.JobState;
import org.lavenderstage.core.job.JobVerb;
import org.lavenderstage.core.job.StoredRecord;
import org.lavenderstage.http.ClientBudget;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StoredCodec;
import org.lavenderstage.wire.peer.CallQuery;
import org.lavenderstage.wire.peer.CallReply;
import org.lavenderstage.wire.peer.PeerMessage;

/**
 * Routes callers' requests to the owner of the jobs, in this entry or another one. A request whose
 * outcome is unknown is repeated, at a new owner if necessary. This is safe because a job that is
 * submitted again with the same identifier remains one job.
 */
final class CallRouter implements AutoCloseable {
  /** Maximum number of requests that are forwarded to other entries at a time. */
  static final int MAX_FORWARDS = 24;

  /** Maximum number of requests that wait to be forwarded; more are rejected at once. */
  private static final int MAX_QUEUED_FORWARDS = 200;

  /** Longest wait for the owner's reply, in milliseconds. */
  private static final int REPLY_TIMEOUT_MILLIS = 1_500;

  /** Pause before a request is repeated, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 60;

  /**
   * How long a request is repeated without a definite answer, in milliseconds. After that the
   * caller is answered, so that it can retry at another entry before its own deadline.
   */
  private static final long MAX_RETRY_MILLIS = 1_200;

  /** Time reserved for sending the answer to the caller, in milliseconds. */
  private static final long ANSWER_MARGIN_MILLIS = 60;

  private static final String STOPPING = "this entry stops";

  private final OwnerElection election;
  private final OwnershipManager ownership;
  private final ClientBudget.Group decodings;
  private final PeerLinkPool links = new PeerLinkPool(REPLY_TIMEOUT_MILLIS);
  private final ExecutorService forwardExecutor;
  private final Set<ForwardedCall> pending = ConcurrentHashMap.newKeySet();
  private volatile boolean stopping;

  /**
   * Creates a router.
   *
   * @param decodings bounds what the submissions that other entries forward are decoded to
   */
  CallRouter(OwnerElection election, OwnershipManager ownership, ClientBudget.Group decodings) {
    this.decodings = decodings;
    this.election = election;
    this.ownership = ownership;
    forwardExecutor =
        new ThreadPoolExecutor(
            MAX_FORWARDS,
            MAX_FORWARDS,
            10,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(MAX_QUEUED_FORWARDS),
            task -> Thread.ofPlatform().daemon().name("forward").unstarted(task));
  }

  /** Answers the pending requests, and each later one, with what is known about it. */
  void giveUpPending() {
    stopping = true;
    pending.forEach(forwarded -> forwarded.giveUp(STOPPING));
  }

  /**
   * Handles a request. The future completes by the time at which the caller is to be answered, and
   * never exceptionally.
   */
  CompletableFuture<JobAnswer> call(JobCall call) {
    ForwardedCall forwarded = new ForwardedCall(call);
    pending.add(forwarded);
    CompletableFuture<Void> unused = forwarded.answer().thenRun(() -> pending.remove(forwarded));
    Optional<JobOwner> localOwner = ownership.current();
    if (localOwner.isPresent() && forwarded.beginAttempt()) {
      callLocally(localOwner.get(), forwarded);
    } else {
      forward(forwarded);
    }
    forwarded.answerAfter(call.answerByMillis() - Clocks.monotonicMillis());
    if (stopping) {
      forwarded.giveUp(STOPPING);
    }
    return forwarded.answer();
  }

  private void callLocally(JobOwner owner, ForwardedCall forwarded) {
    CompletableFuture<Void> unused =
        owner.call(forwarded.call()).thenAccept(answer -> handleLocalAnswer(forwarded, answer));
  }

  private void handleLocalAnswer(ForwardedCall forwarded, JobAnswer answer) {
    if (!forwarded.endAttempt(answer)) {
      forward(forwarded);
    }
  }

  private void forward(ForwardedCall forwarded) {
    try {
      forwardExecutor.execute(() -> retryUntilAnswered(forwarded));
    } catch (RejectedExecutionException e) {
      forwarded.giveUp("too many requests wait");
    }
  }

  private void retryUntilAnswered(ForwardedCall forwarded) {
    JobCall call = forwarded.call();
    long retryUntilMillis = Clocks.monotonicMillis() + MAX_RETRY_MILLIS;
    long latestMillis = call.answerByMillis() - ANSWER_MARGIN_MILLIS;
    String why = "the jobs have no owner";
    while (Clocks.monotonicMillis() < latestMillis && !stopping && forwarded.beginAttempt()) {
      JobAnswer answer = tryCurrentOwner(call);
      if (forwarded.endAttempt(answer)) {
        return;
      }
      if (answer instanceof JobAnswer.Undecided undecided) {
        why = undecided.why();
      } else if (answer instanceof JobAnswer.Rejected rejected) {
        why = rejected.why();
      }
      if (Clocks.monotonicMillis() >= retryUntilMillis) {
        break;
      }
      try {
        Thread.sleep(RETRY_DELAY_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    forwarded.giveUp(why);
  }

  /**
   * Sends the request to the current owner once. A rejection with a retry time of 0 means that the
   * owner was not reached.
   */
  private JobAnswer tryCurrentOwner(JobCall call) {
    Optional<JobOwner> localOwner = ownership.current();
    long timeLeftMillis = call.answerByMillis() - Clocks.monotonicMillis();
    if (localOwner.isPresent()) {
      return awaitAnswer(
          localOwner.get().call(call), Math.min(timeLeftMillis, REPLY_TIMEOUT_MILLIS));
    }
    OwnerView owner = election.owner();
    if (owner.entry().isEmpty()) {
      return new JobAnswer.Rejected("the jobs have no owner", 0);
    }
    byte[] body = call.submission().map(StoredCodec::encode).orElse(new byte[0]);
    CallQuery query =
        new CallQuery(
            call.request(),
            call.verb().name(),
            call.queue(),
            call.job(),
            body,
            owner.term(),
            timeLeftMillis);
    try {
      Optional<PeerMessage> reply = links.ask(owner.address(), query);
      return reply.orElse(null) instanceof CallReply callReply
          ? decode(callReply)
          : new JobAnswer.Undecided("the owner's reply cannot be read");
    } catch (ConnectException e) {
      return new JobAnswer.Rejected("the owner of the jobs cannot be reached", 0);
    } catch (IOException e) {
      return new JobAnswer.Undecided("the owner of the jobs gave no answer");
    }
  }

  private static JobAnswer awaitAnswer(CompletableFuture<JobAnswer> answer, long millis) {
    try {
      return answer.get(Math.max(1, millis), TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      return new JobAnswer.Undecided("the owner of the jobs gave no answer in time");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new JobAnswer.Undecided(STOPPING);
    }
  }

  /** Handles a request that another entry forwards. */
  CallReply handleForwarded(CallQuery query) {
    Optional<JobOwner> localOwner = ownership.current();
    if (localOwner.isEmpty()) {
      return encode(query, new JobAnswer.Rejected("this entry does not own the jobs", 0));
    }
    if (query.body().length == 0) {
      return encode(query, callOwner(localOwner.get(), query, Optional.empty()));
    }
    try {
      return encode(query, submit(localOwner.get(), query));
    } catch (MalformedMessageException e) {
      return encode(query, new JobAnswer.Rejected("the job cannot be read", 0));
    }
  }

  /** Submits a forwarded job, which is charged with what it is decoded to until its answer. */
  private JobAnswer submit(JobOwner owner, CallQuery query) throws MalformedMessageException {
    long heldBytes = StoredCodec.decodedBytes(query.body());
    JobAnswer noRoom = new JobAnswer.Rejected("no room for a job of " + heldBytes + " bytes", 0);
    Optional<ClientBudget.Account> opened = decodings.open(() -> {});
    if (opened.isEmpty()) {
      return noRoom;
    }
    try (ClientBudget.Account account = opened.get()) {
      if (!account.admit(heldBytes, 0)) {
        return noRoom;
      }
      try {
        Optional<StoredRecord> record = StoredCodec.decodeForwarded(query.body());
        return callOwner(
            owner, query, record.filter(JobRecord.class::isInstance).map(JobRecord.class::cast));
      } finally {
        account.release(heldBytes);
      }
    }
  }

  private static JobAnswer callOwner(
      JobOwner owner, CallQuery query, Optional<JobRecord> submission) {
    long waitMillis =
        Math.min(query.remainingMillis(), REPLY_TIMEOUT_MILLIS - 2 * RETRY_DELAY_MILLIS);
    JobCall call =
        new JobCall(
            query.request(),
            JobVerb.valueOf(query.verb()),
            query.queue(),
            query.job(),
            submission,
            Clocks.monotonicMillis() + waitMillis);
    return awaitAnswer(owner.call(call), waitMillis);
  }

  private static CallReply encode(CallQuery query, JobAnswer answer) {
    String kind = answer.getClass().getSimpleName();
    return switch (answer) {
      case JobAnswer.State state -> reply(query, kind, state.state().name(), 0, 0);
      case JobAnswer.Waiting waiting -> reply(query, kind, "", waiting.count(), 0);
      case JobAnswer.Rejected rejected ->
          reply(query, kind, rejected.why(), 0, rejected.retryAfterMillis());
      case JobAnswer.Refused refused ->
          reply(query, kind, refused.why(), 0, refused.retryAfterMillis());
      case JobAnswer.Undecided undecided -> reply(query, kind, undecided.why(), 0, 0);
      case JobAnswer.Malformed malformed -> reply(query, kind, malformed.why(), 0, 0);
      case JobAnswer.Accepted a -> reply(query, kind, "", 0, 0);
      case JobAnswer.Cancelled c -> reply(query, kind, "", 0, 0);
      case JobAnswer.UnknownJob u -> reply(query, kind, "", 0, 0);
      case JobAnswer.UnknownQueue u -> reply(query, kind, "", 0, 0);
    };
  }

  private static CallReply reply(
      CallQuery query, String kind, String text, long count, long retryAfterMillis) {
    return new CallReply(query.request(), kind, text, count, retryAfterMillis);
  }

  private static JobAnswer decode(CallReply reply) {
    return switch (reply.outcome()) {
      case "Accepted" -> new JobAnswer.Accepted();
      case "State" -> new JobAnswer.State(JobState.valueOf(reply.text()));
      case "Cancelled" -> new JobAnswer.Cancelled();
      case "Waiting" -> new JobAnswer.Waiting(reply.count());
      case "UnknownJob" -> new JobAnswer.UnknownJob();
      case "Malformed" -> new JobAnswer.Malformed(reply.text());
      case "Rejected" -> new JobAnswer.Rejected(reply.text(), reply.retryAfterMillis());
      case "Refused" -> new JobAnswer.Refused(reply.text(), reply.retryAfterMillis());
      default -> new JobAnswer.Undecided(reply.text());
    };
  }

  @Override
  public void close() {
    forwardExecutor.shutdownNow();
    links.close();
  }
}
