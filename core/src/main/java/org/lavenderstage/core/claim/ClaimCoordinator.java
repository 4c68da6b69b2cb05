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
 * The claims of one entry. Events go in, decisions come out; the caller keeps it to one thread at a
 * time. A request is dispatched only after its claim was read back as the first one, and an answer
 * that denies a run is given only after the right to dispatch was given up for good.
 */
public final class ClaimCoordinator {
  private final String entry;
  private final ClaimLimits limits;
  private final Map<RequestKey, ClaimProgress> open = new HashMap<>();
  private final AnswerCache answers;

  /**
   * Makes a coordinator without claims.
   *
   * @param entry incarnation of the entry
   * @param limits its limits
   */
  public ClaimCoordinator(String entry, ClaimLimits limits) {
    this.entry = entry;
    this.limits = limits;
    this.answers = new AnswerCache(limits.cachedAnswers(), limits.cachedBytes());
  }

  /**
   * Takes a submission whose key lies inside the window of kept claims.
   *
   * @param submission the submission
   * @param known the claim as far as the log was read, empty for none
   * @param logFailing whether the log takes or gives no records at present
   * @return the decisions
   */
  public List<ClaimDecision> arrived(
      ClaimSubmission submission, Optional<ClaimState> known, boolean logFailing) {
    Optional<ClaimAnswer> kept = answers.find(submission.key());
    if (kept.isPresent()) {
      return answer(submission, kept.get());
    }
    ClaimProgress progress = open.get(submission.key());
    if (progress != null) {
      return joined(progress, submission, logFailing);
    }
    if (submission.fromPeer()) {
      return queried(submission, known);
    }
    if (known.isPresent() && known.get().phase() != ClaimState.Phase.RELEASED) {
      return claimedBefore(submission, known.get());
    }
    if (logFailing) {
      return answer(submission, ResultCode.LOG_UNAVAILABLE);
    }
    if (open.size() >= limits.openKeys()) {
      return answer(submission, ResultCode.OVERLOADED);
    }
    ClaimProgress started =
        new ClaimProgress(submission.key(), known.map(ClaimState::attempt).orElse(0) + 1);
    started.join(submission);
    open.put(submission.key(), started);
    return List.of(claim(started));
  }

  private static List<ClaimDecision> joined(
      ClaimProgress progress, ClaimSubmission submission, boolean logFailing) {
    if (progress.phase() == Phase.SETTLING) {
      return answer(submission, ResultCode.ANSWER_GONE);
    }
    boolean givenUp = progress.phase() == Phase.ABANDONED || progress.phase() == Phase.RELEASING;
    if (givenUp && submission.fromPeer()) {
      return answer(submission, ResultCode.CLAIM_RELEASED);
    }
    if (logFailing && progress.phase().waitsForTheLog()) {
      return answer(submission, ResultCode.LOG_UNAVAILABLE);
    }
    progress.join(submission);
    return List.of();
  }

  private List<ClaimDecision> queried(ClaimSubmission submission, Optional<ClaimState> known) {
    if (known.isEmpty() || !known.get().entry().equals(entry)) {
      return List.of(new ClaimDecision.Disown(submission.id()));
    }
    return answer(submission, withoutOwner(known.get()));
  }

  private List<ClaimDecision> claimedBefore(ClaimSubmission submission, ClaimState claim) {
    if (claim.entry().equals(entry)) {
      return answer(submission, withoutOwner(claim));
    }
    return List.of(new ClaimDecision.AskOwner(submission, claim));
  }

  /** What the log alone proves of a claim. */
  private static ResultCode withoutOwner(ClaimState claim) {
    return switch (claim.phase()) {
      case CLAIMED -> ResultCode.OWNER_GONE;
      case SETTLED -> ResultCode.ANSWER_GONE;
      case RELEASED -> ResultCode.CLAIM_RELEASED;
    };
  }

  private ClaimDecision claim(ClaimProgress progress) {
    RequestKey key = progress.key();
    return new ClaimDecision.Append(
        new RequestClaimed(key.workspace(), key.key(), entry, progress.attempt()));
  }

  private ClaimDecision release(ClaimProgress progress) {
    RequestKey key = progress.key();
    return new ClaimDecision.Append(
        new RequestReleased(key.workspace(), key.key(), entry, progress.attempt()));
  }

  /**
   * Takes a claim that could not be handed to the log, so that it never gets there.
   *
   * @param key the request
   * @return the decisions
   */
  public List<ClaimDecision> claimRefused(RequestKey key) {
    ClaimProgress progress = open.get(key);
    if (progress == null || progress.phase() != Phase.CLAIMING) {
      return List.of();
    }
    open.remove(key);
    return answerAll(progress, ResultCode.OVERLOADED, ResultCode.CLAIM_RELEASED);
  }

  /**
   * Takes a record that was read back from the log.
   *
   * @param record the record
   * @param effective whether it took effect
   * @param known the request's claim right after the record, empty for none
   * @param inWindow whether the key lay inside the window at the record's append time
   * @param nowNanos monotonic time
   * @return the decisions
   */
  public List<ClaimDecision> readBack(
      LedgerRecord record,
      boolean effective,
      Optional<ClaimState> known,
      boolean inWindow,
      long nowNanos) {
    return switch (record) {
      case RequestClaimed claimed when claimed.entry().equals(entry) ->
          own(new RequestKey(claimed.workspace(), claimed.key()), claimed.attempt())
              .map(one -> claimRead(one, effective, known, inWindow, nowNanos))
              .orElse(List.of());
      case RequestReleased released when released.entry().equals(entry) ->
          own(new RequestKey(released.workspace(), released.key()), released.attempt())
              .filter(one -> one.phase() == Phase.RELEASING)
              .map(one -> releaseRead(one, effective, nowNanos))
              .orElse(List.of());
      case RequestSettled settled when settled.entry().equals(entry) -> {
        own(new RequestKey(settled.workspace(), settled.key()), settled.attempt())
            .filter(one -> one.phase() == Phase.SETTLING)
            .ifPresent(one -> open.remove(one.key()));
        yield List.of();
      }
      default -> List.of();
    };
  }

  private Optional<ClaimProgress> own(RequestKey key, int attempt) {
    return Optional.ofNullable(open.get(key)).filter(one -> one.attempt() == attempt);
  }

  private List<ClaimDecision> claimRead(
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
      open.remove(progress.key());
      decisions.addAll(lost(progress, known, inWindow));
    } else if (progress.phase() == Phase.ABANDONED) {
      progress.enter(Phase.RELEASING);
      decisions.add(release(progress));
    } else {
      progress.enter(Phase.WON);
      ClaimSubmission leader = progress.leader();
      decisions.add(new ClaimDecision.Dispatch(leader.id(), progress.key(), progress.attempt()));
    }
    return decisions;
  }

  private List<ClaimDecision> lost(
      ClaimProgress progress, Optional<ClaimState> known, boolean inWindow) {
    if (known.isEmpty()) {
      ResultCode code = inWindow ? ResultCode.CLAIMS_FULL : ResultCode.KEY_EXPIRED;
      return answerAll(progress, code, ResultCode.CLAIM_RELEASED);
    }
    List<ClaimDecision> decisions = new ArrayList<>();
    for (ClaimSubmission one : progress.takeAll()) {
      if (one.fromPeer()) {
        decisions.add(new ClaimDecision.Disown(one.id()));
      } else if (known.get().phase() == ClaimState.Phase.RELEASED) {
        decisions.addAll(answer(one, ResultCode.CLAIM_RELEASED));
      } else {
        decisions.addAll(claimedBefore(one, known.get()));
      }
    }
    return decisions;
  }

  private List<ClaimDecision> releaseRead(
      ClaimProgress progress, boolean effective, long nowNanos) {
    List<ClaimDecision> decisions = new ArrayList<>(expire(progress, nowNanos));
    if (!effective) {
      open.remove(progress.key());
      decisions.addAll(answerAll(progress, ResultCode.KEY_EXPIRED, ResultCode.CLAIM_RELEASED));
    } else if (progress.hasCallers()) {
      progress.claimNext();
      decisions.add(claim(progress));
    } else {
      open.remove(progress.key());
    }
    return decisions;
  }

  /**
   * Looks at every wait and deadline.
   *
   * @param nowNanos monotonic time
   * @return the decisions
   */
  public List<ClaimDecision> ticked(long nowNanos) {
    List<ClaimDecision> decisions = new ArrayList<>();
    open.values().forEach(progress -> decisions.addAll(expire(progress, nowNanos)));
    return decisions;
  }

  private List<ClaimDecision> expire(ClaimProgress progress, long nowNanos) {
    if (progress.phase() == Phase.WON && isLate(progress.leader(), nowNanos)) {
      return giveUp(progress, ClaimAnswer.of(ResultCode.DEADLINE_PASSED));
    }
    boolean log = progress.phase().waitsForTheLog();
    List<ClaimSubmission> over =
        progress.waiting().stream()
            .filter(one -> log ? isOver(one, nowNanos) : isLateFollower(progress, one, nowNanos))
            .toList();
    over.forEach(progress::leave);
    List<ClaimSubmission> peers = List.of();
    if (progress.phase() == Phase.CLAIMING && !progress.hasCallers()) {
      progress.enter(Phase.ABANDONED);
      peers = progress.takeAll();
    }
    List<ClaimDecision> decisions = new ArrayList<>();
    over.forEach(
        one ->
            decisions.addAll(
                answer(one, log ? ResultCode.CLAIM_UNREAD : ResultCode.STILL_RUNNING)));
    peers.forEach(one -> decisions.addAll(answer(one, ResultCode.CLAIM_RELEASED)));
    return decisions;
  }

  private boolean isOver(ClaimSubmission one, long nowNanos) {
    return isLate(one, nowNanos) || nowNanos - one.arrivedNanos() >= limits.claimWaitNanos();
  }

  private static boolean isLateFollower(
      ClaimProgress progress, ClaimSubmission one, long nowNanos) {
    return isLate(one, nowNanos) && !one.equals(progress.leader());
  }

  private static boolean isLate(ClaimSubmission one, long nowNanos) {
    return nowNanos - one.deadlineNanos() >= 0;
  }

  /**
   * Checks right before a dispatch that the claim is still this entry's to use and the deadline has
   * not passed, so that a process that was frozen since gives up. The dispatcher asks before each
   * dispatch, while none is under way.
   *
   * @param key the request
   * @param attempt number of the claim
   * @param nowNanos monotonic time
   * @return whether it may be sent
   */
  public DispatchCheck mayDispatch(RequestKey key, int attempt, long nowNanos) {
    Optional<ClaimProgress> held = own(key, attempt).filter(ClaimCoordinator::isHeld);
    if (held.isEmpty()) {
      return new DispatchCheck(false, List.of());
    }
    ClaimProgress progress = held.get();
    if (!isLate(progress.leader(), nowNanos)) {
      progress.enter(Phase.PERMITTED);
      return new DispatchCheck(true, List.of());
    }
    if (progress.phase() == Phase.PERMITTED) {
      return new DispatchCheck(false, List.of());
    }
    return new DispatchCheck(false, giveUp(progress, ClaimAnswer.of(ResultCode.DEADLINE_PASSED)));
  }

  private static boolean isHeld(ClaimProgress progress) {
    return progress.phase() == Phase.WON || progress.phase() == Phase.PERMITTED;
  }

  /** Answers come before the release, so that a later claim belongs to a later submission. */
  private List<ClaimDecision> giveUp(ClaimProgress progress, ClaimAnswer answer) {
    progress.enter(Phase.RELEASING);
    List<ClaimDecision> decisions =
        new ArrayList<>(answerAll(progress, answer, ClaimAnswer.of(ResultCode.CLAIM_RELEASED)));
    decisions.add(release(progress));
    return decisions;
  }

  /**
   * Takes what came of a dispatch.
   *
   * @param key the request
   * @param attempt number of the claim
   * @param result what came of it
   * @return the decisions
   */
  public List<ClaimDecision> dispatched(RequestKey key, int attempt, ClaimResult result) {
    Optional<ClaimProgress> held = own(key, attempt).filter(ClaimCoordinator::isHeld);
    if (held.isEmpty()) {
      return List.of();
    }
    return switch (result) {
      case ClaimResult.Answered answered -> settle(held.get(), answered.answer());
      case ClaimResult.NotRun notRun ->
          giveUp(held.get(), ClaimAnswer.of(notRun.code(), notRun.retryAfterMillis()));
      case ClaimResult.Lost lost -> {
        open.remove(key);
        yield answerAll(held.get(), ResultCode.UPSTREAM_LOST, ResultCode.UPSTREAM_LOST);
      }
    };
  }

  private List<ClaimDecision> settle(ClaimProgress progress, ClaimAnswer answer) {
    RequestKey key = progress.key();
    progress.enter(Phase.SETTLING);
    answers.put(key, answer);
    List<ClaimDecision> decisions = new ArrayList<>(answerAll(progress, answer, answer));
    decisions.add(
        new ClaimDecision.Append(
            new RequestSettled(key.workspace(), key.key(), entry, progress.attempt())));
    return decisions;
  }

  /**
   * Takes the owner's word on a request, or that it gave none.
   *
   * @param submission the submission that waits for it
   * @param reply the owner's answer, empty where it is gone or does not know
   * @param known the claim as the log has it now, empty for none
   * @return the decisions
   */
  public List<ClaimDecision> ownerReplied(
      ClaimSubmission submission, Optional<ClaimAnswer> reply, Optional<ClaimState> known) {
    if (reply.isEmpty()) {
      return answer(
          submission, known.map(ClaimCoordinator::withoutOwner).orElse(ResultCode.OWNER_GONE));
    }
    return switch (reply.get().code().outcome()) {
      case ANSWERED, RAN, UNKNOWN -> answer(submission, reply.get());
      // another entry may have claimed and run the request since the owner spoke
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
    for (ClaimSubmission one : progress.takeAll()) {
      decisions.addAll(answer(one, one.fromPeer() ? toPeers : toCallers));
    }
    return decisions;
  }

  /**
   * Counts the requests whose claim is not yet at its end.
   *
   * @return the count
   */
  public int openKeys() {
    return open.size();
  }

  /**
   * Counts the answers that are kept for repeats.
   *
   * @return the count
   */
  public int keptAnswers() {
    return answers.size();
  }
}
