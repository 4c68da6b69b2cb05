package org.lavenderstage.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.claim.ClaimProgress.Phase;
import org.lavenderstage.core.ledger.claim.ClaimState;
import org.lavenderstage.core.ledger.claim.RequestKey;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RequestClaimed;
import org.lavenderstage.core.record.RequestReleased;
import org.lavenderstage.core.record.RequestSettled;

/**
 * Coordinates the claims of one entry. Each event returns the decisions that the caller must carry
 * out. Not thread-safe: the caller must serialize all calls. A request is dispatched only after its
 * claim has been read from the log as the first one, and an answer that says that the request did
 * not run is given only after the right to dispatch it has been irrevocably released.
 */
public final class ClaimCoordinator {
  private final String entry;
  private final ClaimLimits limits;
  private final Map<RequestKey, ClaimProgress> openRequests = new HashMap<>();
  private final AnswerCache answers;

  /**
   * Creates a coordinator without claims.
   *
   * @param entry incarnation of the entry
   * @param limits limits of the entry's claims
   */
  public ClaimCoordinator(String entry, ClaimLimits limits) {
    this.entry = entry;
    this.limits = limits;
    this.answers = new AnswerCache(limits.cachedAnswers(), limits.cachedBytes());
  }

  /**
   * Handles a submission whose key lies inside the window of kept claims.
   *
   * @param submission the submission
   * @param known the request's claim as far as the log has been read, empty for none
   * @param logFailing whether the log currently cannot be appended to or read
   * @return the decisions
   */
  public List<ClaimDecision> onSubmission(
      ClaimSubmission submission, Optional<ClaimState> known, boolean logFailing) {
    Optional<ClaimAnswer> cached = answers.find(submission.key());
    if (cached.isPresent()) {
      return answer(submission, cached.get());
    }
    ClaimProgress progress = openRequests.get(submission.key());
    if (progress != null) {
      return joinOpenRequest(progress, submission, logFailing);
    }
    if (submission.fromPeer()) {
      return answerPeer(submission, known);
    }
    if (known.isPresent() && known.get().phase() != ClaimState.Phase.RELEASED) {
      return answerRepeat(submission, known.get());
    }
    if (logFailing) {
      return answer(submission, ResultCode.LOG_UNAVAILABLE);
    }
    if (openRequests.size() >= limits.openKeys()) {
      return answer(submission, ResultCode.OVERLOADED);
    }
    ClaimProgress newProgress =
        new ClaimProgress(submission.key(), known.map(ClaimState::attempt).orElse(0) + 1);
    newProgress.join(submission);
    openRequests.put(submission.key(), newProgress);
    return List.of(appendClaim(newProgress));
  }

  private static List<ClaimDecision> joinOpenRequest(
      ClaimProgress progress, ClaimSubmission submission, boolean logFailing) {
    if (progress.phase() == Phase.SETTLING) {
      return answer(submission, ResultCode.ANSWER_GONE);
    }
    boolean undispatched =
        progress.phase() == Phase.ABANDONED || progress.phase() == Phase.RELEASING;
    if (undispatched && submission.fromPeer()) {
      return answer(submission, ResultCode.CLAIM_RELEASED);
    }
    if (logFailing && progress.phase().waitsForLog()) {
      return answer(submission, ResultCode.LOG_UNAVAILABLE);
    }
    progress.join(submission);
    return List.of();
  }

  private List<ClaimDecision> answerPeer(ClaimSubmission submission, Optional<ClaimState> known) {
    if (known.isEmpty() || !known.get().entry().equals(entry)) {
      return List.of(new ClaimDecision.ReplyNotKnown(submission.id()));
    }
    return answer(submission, resultFromLog(known.get()));
  }

  private List<ClaimDecision> answerRepeat(ClaimSubmission submission, ClaimState claim) {
    if (claim.entry().equals(entry)) {
      return answer(submission, resultFromLog(claim));
    }
    return List.of(new ClaimDecision.AskOwner(submission, claim));
  }

  /** Returns the result that the log alone proves, for a claim whose owner cannot be asked. */
  private static ResultCode resultFromLog(ClaimState claim) {
    return switch (claim.phase()) {
      case CLAIMED -> ResultCode.OWNER_GONE;
      case SETTLED -> ResultCode.ANSWER_GONE;
      case RELEASED -> ResultCode.CLAIM_RELEASED;
    };
  }

  private ClaimDecision appendClaim(ClaimProgress progress) {
    RequestKey key = progress.key();
    return new ClaimDecision.Append(
        new RequestClaimed(key.workspace(), key.key(), entry, progress.attempt()));
  }

  private ClaimDecision appendRelease(ClaimProgress progress) {
    RequestKey key = progress.key();
    return new ClaimDecision.Append(
        new RequestReleased(key.workspace(), key.key(), entry, progress.attempt()));
  }

  /**
   * Handles a claim that could not be queued for the log and therefore is never appended.
   *
   * @param key the request
   * @return the decisions
   */
  public List<ClaimDecision> onAppendRejected(RequestKey key) {
    ClaimProgress progress = openRequests.get(key);
    if (progress == null || progress.phase() != Phase.CLAIMING) {
      return List.of();
    }
    openRequests.remove(key);
    return answerAll(progress, ResultCode.OVERLOADED, ResultCode.CLAIM_RELEASED);
  }

  /**
   * Handles a record that has been read from the log and applied.
   *
   * @param record the record
   * @param effective whether the record took effect
   * @param known the request's claim right after the record, empty for none
   * @param inWindow whether the key lay inside the window at the record's append time
   * @param nowNanos monotonic time in nanoseconds
   * @return the decisions
   */
  public List<ClaimDecision> onRecordApplied(
      LedgerRecord record,
      boolean effective,
      Optional<ClaimState> known,
      boolean inWindow,
      long nowNanos) {
    return switch (record) {
      case RequestClaimed claimed when claimed.entry().equals(entry) ->
          findOpenClaim(new RequestKey(claimed.workspace(), claimed.key()), claimed.attempt())
              .map(openClaim -> onClaimApplied(openClaim, effective, known, inWindow, nowNanos))
              .orElse(List.of());
      case RequestReleased released when released.entry().equals(entry) ->
          findOpenClaim(new RequestKey(released.workspace(), released.key()), released.attempt())
              .filter(openClaim -> openClaim.phase() == Phase.RELEASING)
              .map(openClaim -> onReleaseApplied(openClaim, effective, nowNanos))
              .orElse(List.of());
      case RequestSettled settled when settled.entry().equals(entry) -> {
        findOpenClaim(new RequestKey(settled.workspace(), settled.key()), settled.attempt())
            .filter(openClaim -> openClaim.phase() == Phase.SETTLING)
            .ifPresent(openClaim -> openRequests.remove(openClaim.key()));
        yield List.of();
      }
      default -> List.of();
    };
  }

  private Optional<ClaimProgress> findOpenClaim(RequestKey key, int attempt) {
    return Optional.ofNullable(openRequests.get(key))
        .filter(openClaim -> openClaim.attempt() == attempt);
  }

  private List<ClaimDecision> onClaimApplied(
      ClaimProgress progress,
      boolean effective,
      Optional<ClaimState> known,
      boolean inWindow,
      long nowNanos) {
    if (progress.phase() != Phase.CLAIMING && progress.phase() != Phase.ABANDONED) {
      return List.of();
    }
    List<ClaimDecision> decisions = new ArrayList<>(expire(progress, nowNanos));
    if (!effective) {
      openRequests.remove(progress.key());
      decisions.addAll(onClaimRejected(progress, known, inWindow));
    } else if (progress.phase() == Phase.ABANDONED) {
      progress.setPhase(Phase.RELEASING);
      decisions.add(appendRelease(progress));
    } else {
      progress.setPhase(Phase.WON);
      ClaimSubmission leader = progress.leader();
      decisions.add(new ClaimDecision.Dispatch(leader.id(), progress.key(), progress.attempt()));
    }
    return decisions;
  }

  private List<ClaimDecision> onClaimRejected(
      ClaimProgress progress, Optional<ClaimState> known, boolean inWindow) {
    if (known.isEmpty()) {
      ResultCode code = inWindow ? ResultCode.CLAIMS_FULL : ResultCode.KEY_EXPIRED;
      return answerAll(progress, code, ResultCode.CLAIM_RELEASED);
    }
    List<ClaimDecision> decisions = new ArrayList<>();
    for (ClaimSubmission waiter : progress.removeAll()) {
      if (waiter.fromPeer()) {
        decisions.add(new ClaimDecision.ReplyNotKnown(waiter.id()));
      } else if (known.get().phase() == ClaimState.Phase.RELEASED) {
        decisions.addAll(answer(waiter, ResultCode.CLAIM_RELEASED));
      } else {
        decisions.addAll(answerRepeat(waiter, known.get()));
      }
    }
    return decisions;
  }

  private List<ClaimDecision> onReleaseApplied(
      ClaimProgress progress, boolean effective, long nowNanos) {
    List<ClaimDecision> decisions = new ArrayList<>(expire(progress, nowNanos));
    if (!effective) {
      openRequests.remove(progress.key());
      decisions.addAll(answerAll(progress, ResultCode.KEY_EXPIRED, ResultCode.CLAIM_RELEASED));
    } else if (progress.hasCallers()) {
      progress.startNextAttempt();
      decisions.add(appendClaim(progress));
    } else {
      openRequests.remove(progress.key());
    }
    return decisions;
  }

  /**
   * Checks every wait and deadline.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return the decisions
   */
  public List<ClaimDecision> onTick(long nowNanos) {
    List<ClaimDecision> decisions = new ArrayList<>();
    openRequests.values().forEach(progress -> decisions.addAll(expire(progress, nowNanos)));
    return decisions;
  }

  private List<ClaimDecision> expire(ClaimProgress progress, long nowNanos) {
    if (progress.phase() == Phase.WON && isPastDeadline(progress.leader(), nowNanos)) {
      return releaseClaim(progress, ClaimAnswer.of(ResultCode.DEADLINE_PASSED));
    }
    boolean logPending = progress.phase().waitsForLog();
    List<ClaimSubmission> expiredWaiters =
        progress.waiting().stream()
            .filter(
                waiter ->
                    logPending
                        ? isExpired(waiter, nowNanos)
                        : isExpiredRepeat(progress, waiter, nowNanos))
            .toList();
    expiredWaiters.forEach(progress::leave);
    List<ClaimSubmission> peerQueries = List.of();
    if (progress.phase() == Phase.CLAIMING && !progress.hasCallers()) {
      progress.setPhase(Phase.ABANDONED);
      peerQueries = progress.removeAll();
    }
    List<ClaimDecision> decisions = new ArrayList<>();
    expiredWaiters.forEach(
        waiter ->
            decisions.addAll(
                answer(waiter, logPending ? ResultCode.CLAIM_UNREAD : ResultCode.STILL_RUNNING)));
    peerQueries.forEach(waiter -> decisions.addAll(answer(waiter, ResultCode.CLAIM_RELEASED)));
    return decisions;
  }

  private boolean isExpired(ClaimSubmission waiter, long nowNanos) {
    return isPastDeadline(waiter, nowNanos)
        || nowNanos - waiter.arrivedNanos() >= limits.claimWaitNanos();
  }

  private static boolean isExpiredRepeat(
      ClaimProgress progress, ClaimSubmission waiter, long nowNanos) {
    return isPastDeadline(waiter, nowNanos) && !waiter.equals(progress.leader());
  }

  private static boolean isPastDeadline(ClaimSubmission waiter, long nowNanos) {
    return nowNanos - waiter.deadlineNanos() >= 0;
  }

  /**
   * Checks immediately before a dispatch that this entry still holds the claim and that the
   * deadline has not passed, so that a process that was paused in the meantime does not dispatch.
   * The dispatcher calls this before each dispatch, while no other dispatch of the request is in
   * progress.
   *
   * @param key the request
   * @param attempt number of the claim
   * @param nowNanos monotonic time in nanoseconds
   * @return whether the request may be sent, with further decisions
   */
  public DispatchCheck checkDispatch(RequestKey key, int attempt, long nowNanos) {
    Optional<ClaimProgress> held = findOpenClaim(key, attempt).filter(ClaimCoordinator::isHeld);
    if (held.isEmpty()) {
      return new DispatchCheck(false, List.of());
    }
    ClaimProgress progress = held.get();
    if (!isPastDeadline(progress.leader(), nowNanos)) {
      progress.setPhase(Phase.PERMITTED);
      return new DispatchCheck(true, List.of());
    }
    if (progress.phase() == Phase.PERMITTED) {
      return new DispatchCheck(false, List.of());
    }
    return new DispatchCheck(
        false, releaseClaim(progress, ClaimAnswer.of(ResultCode.DEADLINE_PASSED)));
  }

  private static boolean isHeld(ClaimProgress progress) {
    return progress.phase() == Phase.WON || progress.phase() == Phase.PERMITTED;
  }

  /**
   * Answers all submissions and then releases the claim; the answers come before the release, so
   * that a later claim belongs to a later submission.
   */
  private List<ClaimDecision> releaseClaim(ClaimProgress progress, ClaimAnswer answer) {
    progress.setPhase(Phase.RELEASING);
    List<ClaimDecision> decisions =
        new ArrayList<>(answerAll(progress, answer, ClaimAnswer.of(ResultCode.CLAIM_RELEASED)));
    decisions.add(appendRelease(progress));
    return decisions;
  }

  /**
   * Handles the result of a dispatch.
   *
   * @param key the request
   * @param attempt number of the claim
   * @param result result of the dispatch
   * @return the decisions
   */
  public List<ClaimDecision> onDispatchResult(RequestKey key, int attempt, ClaimResult result) {
    Optional<ClaimProgress> held = findOpenClaim(key, attempt).filter(ClaimCoordinator::isHeld);
    if (held.isEmpty()) {
      return List.of();
    }
    return switch (result) {
      case ClaimResult.Answered answered -> settle(held.get(), answered.answer());
      case ClaimResult.NotRun notRun ->
          releaseClaim(held.get(), ClaimAnswer.of(notRun.code(), notRun.retryAfterMillis()));
      case ClaimResult.Lost lost -> {
        openRequests.remove(key);
        yield answerAll(held.get(), ResultCode.UPSTREAM_LOST, ResultCode.UPSTREAM_LOST);
      }
    };
  }

  private List<ClaimDecision> settle(ClaimProgress progress, ClaimAnswer answer) {
    RequestKey key = progress.key();
    progress.setPhase(Phase.SETTLING);
    answers.put(key, answer);
    List<ClaimDecision> decisions = new ArrayList<>(answerAll(progress, answer, answer));
    decisions.add(
        new ClaimDecision.Append(
            new RequestSettled(key.workspace(), key.key(), entry, progress.attempt())));
    return decisions;
  }

  /**
   * Handles the reply of a claim's owner, or its absence.
   *
   * @param submission the submission that waits for the reply
   * @param reply the owner's answer, empty where the owner is lost or does not know the request
   * @param known the request's claim as far as the log has been read, empty for none
   * @return the decisions
   */
  public List<ClaimDecision> onOwnerReply(
      ClaimSubmission submission, Optional<ClaimAnswer> reply, Optional<ClaimState> known) {
    if (reply.isEmpty()) {
      return answer(
          submission, known.map(ClaimCoordinator::resultFromLog).orElse(ResultCode.OWNER_GONE));
    }
    return switch (reply.get().code().outcome()) {
      case ANSWERED, RAN, UNKNOWN -> answer(submission, reply.get());
      // another entry may have claimed and run the request since the owner replied
      case NOT_RUN, NOT_ACCEPTED -> answer(submission, ResultCode.CLAIM_RELEASED);
    };
  }

  private static List<ClaimDecision> answer(ClaimSubmission submission, ResultCode code) {
    return answer(submission, ClaimAnswer.of(code));
  }

  private static List<ClaimDecision> answer(ClaimSubmission submission, ClaimAnswer answer) {
    return List.of(new ClaimDecision.Answer(submission.id(), answer));
  }

  private static List<ClaimDecision> answerAll(
      ClaimProgress progress, ResultCode toCallers, ResultCode toPeers) {
    return answerAll(progress, ClaimAnswer.of(toCallers), ClaimAnswer.of(toPeers));
  }

  private static List<ClaimDecision> answerAll(
      ClaimProgress progress, ClaimAnswer toCallers, ClaimAnswer toPeers) {
    List<ClaimDecision> decisions = new ArrayList<>();
    for (ClaimSubmission waiter : progress.removeAll()) {
      decisions.addAll(answer(waiter, waiter.fromPeer() ? toPeers : toCallers));
    }
    return decisions;
  }

  /**
   * Returns the number of requests whose claim is still open.
   *
   * @return the number
   */
  public int openKeyCount() {
    return openRequests.size();
  }

  /**
   * Returns the number of answers that are cached for repeated submissions.
   *
   * @return the number
   */
  public int cachedAnswerCount() {
    return answers.size();
  }
}
