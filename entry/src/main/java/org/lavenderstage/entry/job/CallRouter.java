package org.lavenderstage.entry.job;

import java.io.IOException;
import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StoredCodec;
import org.lavenderstage.wire.peer.CallQuery;
import org.lavenderstage.wire.peer.CallReply;
import org.lavenderstage.wire.peer.PeerMessage;

/**
 * Takes callers' requests to the owner of the jobs, here or at another entry. A request whose fate
 * is open is repeated, at a new owner if need be: a job with the same identifier stays one job.
 */
final class CallRouter implements AutoCloseable {
  /** Requests under way to another entry at a time. */
  private static final int MAX_FORWARDS = 24;

  /** Requests that may wait for that; more are turned away at once. */
  private static final int MAX_WAITING = 200;

  /** Longest wait for the owner's reply, in milliseconds. */
  private static final int REPLY_MILLIS = 1_500;

  /** Pause before a request is repeated, in milliseconds. */
  private static final long REPEAT_MILLIS = 60;

  /**
   * How long a request is repeated without an answer that decides it, in milliseconds. A caller
   * that is told sooner can come again, at another entry, before its own deadline.
   */
  private static final long OWNER_WAIT_MILLIS = 1_200;

  /** Time kept back to bring the answer to the caller, in milliseconds. */
  private static final long RETURN_MILLIS = 60;

  /** Advice to callers while there is no owner, in milliseconds. */
  private static final long NO_OWNER_RETRY_MILLIS = 1_000;

  private final OwnerElection election;
  private final OwnerTerms terms;
  private final PeerLinks links = new PeerLinks(REPLY_MILLIS);
  private final ExecutorService forwards;
  private volatile boolean closing;

  CallRouter(OwnerElection election, OwnerTerms terms) {
    this.election = election;
    this.terms = terms;
    forwards =
        new ThreadPoolExecutor(
            MAX_FORWARDS,
            MAX_FORWARDS,
            10,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(MAX_WAITING),
            task -> Thread.ofPlatform().daemon().name("forward").unstarted(task));
  }

  /** Lets every request that is still open be answered with what is known of it now. */
  void finish() {
    closing = true;
  }

  /** Answers a request; the future never fails. */
  CompletableFuture<JobAnswer> call(JobCall call) {
    Optional<JobOwner> mine = terms.current();
    if (mine.isPresent()) {
      return mine.get()
          .call(call)
          .thenCompose(
              answer ->
                  answer instanceof JobAnswer.Undecided
                      ? elsewhere(call, true)
                      : CompletableFuture.completedFuture(answer));
    }
    return elsewhere(call, false);
  }

  private CompletableFuture<JobAnswer> elsewhere(JobCall call, boolean undecided) {
    CompletableFuture<JobAnswer> answer = new CompletableFuture<>();
    try {
      forwards.execute(() -> answer.complete(repeat(call, undecided)));
    } catch (RejectedExecutionException e) {
      answer.complete(
          undecided
              ? new JobAnswer.Undecided("too many requests wait")
              : new JobAnswer.Rejected("too many requests wait", NO_OWNER_RETRY_MILLIS));
    }
    return inTime(answer, call.answerByMillis() - Time.steadyMillis());
  }

  /**
   * Lets a caller know in time that its request is undecided. The link to the owner goes on to wait
   * for the reply: to close it would cost a busy owner a new connection for each late reply.
   */
  static CompletableFuture<JobAnswer> inTime(
      CompletableFuture<JobAnswer> answer, long remainingMillis) {
    return answer.completeOnTimeout(
        new JobAnswer.Undecided("the owner of the jobs gave no answer in time"),
        Math.max(1, remainingMillis),
        TimeUnit.MILLISECONDS);
  }

  private JobAnswer repeat(JobCall call, boolean undecidedBefore) {
    boolean undecided = undecidedBefore;
    long ownerUntil = Time.steadyMillis() + OWNER_WAIT_MILLIS;
    long last = call.answerByMillis() - RETURN_MILLIS;
    String why = "the jobs have no owner";
    while (Time.steadyMillis() < last && !closing) {
      JobAnswer answer = once(call);
      if (answer instanceof JobAnswer.Undecided open) {
        undecided = true;
        why = open.why();
      } else if (answer instanceof JobAnswer.Rejected rejected) {
        if (rejected.retryAfterMillis() > 0 && !undecided) {
          return rejected;
        }
        why = rejected.why();
      } else {
        return answer;
      }
      if (Time.steadyMillis() >= ownerUntil) {
        break;
      }
      try {
        Thread.sleep(REPEAT_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    return undecided
        ? new JobAnswer.Undecided(why)
        : new JobAnswer.Rejected(why, NO_OWNER_RETRY_MILLIS);
  }

  /**
   * Tries the owner that is known now; a rejection without advice means that it was not reached.
   */
  private JobAnswer once(JobCall call) {
    Optional<JobOwner> mine = terms.current();
    long left = call.answerByMillis() - Time.steadyMillis();
    if (mine.isPresent()) {
      return await(mine.get().call(call), Math.min(left, REPLY_MILLIS));
    }
    OwnerView owner = election.owner();
    if (owner.entry().isEmpty()) {
      return new JobAnswer.Rejected("the jobs have no owner", 0);
    }
    byte[] body = call.submission().map(StoredCodec::encode).orElse(new byte[0]);
    CallQuery query =
        new CallQuery(
            call.request(), call.verb().name(), call.queue(), call.job(), body, owner.term(), left);
    try {
      Optional<PeerMessage> reply = links.ask(owner.address(), query);
      return reply.orElse(null) instanceof CallReply r
          ? decode(r)
          : new JobAnswer.Undecided("the owner's reply cannot be read");
    } catch (ConnectException e) {
      return new JobAnswer.Rejected("the owner of the jobs cannot be reached", 0);
    } catch (IOException e) {
      return new JobAnswer.Undecided("the owner of the jobs gave no answer");
    }
  }

  private static JobAnswer await(CompletableFuture<JobAnswer> answer, long millis) {
    try {
      return answer.get(Math.max(1, millis), TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      return new JobAnswer.Undecided("the owner of the jobs gave no answer in time");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new JobAnswer.Undecided("this entry stops");
    }
  }

  /** Answers a request that another entry hands on. */
  CallReply forwarded(CallQuery query) {
    Optional<JobOwner> mine = terms.current();
    if (mine.isEmpty()) {
      return encode(query, new JobAnswer.Rejected("this entry does not own the jobs", 0));
    }
    Optional<JobRecord> submission = Optional.empty();
    if (query.body().length > 0) {
      try {
        Optional<StoredRecord> record = StoredCodec.decode(query.body());
        submission = record.filter(JobRecord.class::isInstance).map(JobRecord.class::cast);
      } catch (MalformedMessageException e) {
        return encode(query, new JobAnswer.Rejected("the job cannot be read", 0));
      }
    }
    JobCall call =
        new JobCall(
            query.request(),
            JobVerb.valueOf(query.verb()),
            query.queue(),
            query.job(),
            submission,
            Time.steadyMillis() + query.remainingMillis());
    long wait = Math.min(query.remainingMillis(), REPLY_MILLIS - 2 * REPEAT_MILLIS);
    return encode(query, await(mine.get().call(call), wait));
  }

  private static CallReply encode(CallQuery query, JobAnswer answer) {
    String kind = answer.getClass().getSimpleName();
    return switch (answer) {
      case JobAnswer.State state -> reply(query, kind, state.state().name(), 0, 0);
      case JobAnswer.Waiting waiting -> reply(query, kind, "", waiting.count(), 0);
      case JobAnswer.Rejected rejected ->
          reply(query, kind, rejected.why(), 0, rejected.retryAfterMillis());
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
      case "Rejected" -> new JobAnswer.Rejected(reply.text(), reply.retryAfterMillis());
      default -> new JobAnswer.Undecided(reply.text());
    };
  }

  @Override
  public void close() {
    forwards.shutdownNow();
    links.close();
  }
}
