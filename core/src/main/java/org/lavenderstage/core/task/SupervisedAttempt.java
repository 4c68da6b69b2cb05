package org.lavenderstage.core.task;

import java.util.Optional;
import org.lavenderstage.core.record.EndReason;

/**
 * The state of one attempt as known to one owner: the commands sent, the answers of the worker, and
 * whether the attempt is certain to have ended. At most one command is in flight at a time.
 */
final class SupervisedAttempt {
  private static final long RETRY_MILLIS = 50;
  private static final long UNANSWERED_RETRY_MILLIS = 500;
  private static final long PROPOSAL_INTERVAL_MILLIS = 500;
  private static final long CHECKPOINT_WAIT_LEASES = 3;

  /** The end of an attempt, which is proposed to the log. */
  record End(EndReason reason, String checkpoint) {}

  private final OwnerSettings settings;
  private final int attempt;
  private final boolean placedByOwner;
  private final RateLimiter proposalLimiter = new RateLimiter(PROPOSAL_INTERVAL_MILLIS);
  private boolean started;
  private boolean inFlight;
  private boolean evictionRequested;
  private boolean checkpointSent;
  private boolean throttled;
  private boolean throttleRequested;
  private boolean abandoned;
  private long nextCommandMillis;
  private long lastStartNotAfterMillis;
  private long lastLeaseNotAfterMillis;
  private long unansweredSinceMillis;
  private Optional<End> end = Optional.empty();

  SupervisedAttempt(OwnerSettings settings, int attempt, boolean placedByOwner) {
    this.settings = settings;
    this.attempt = attempt;
    this.placedByOwner = placedByOwner;
  }

  int attempt() {
    return attempt;
  }

  RateLimiter proposalLimiter() {
    return proposalLimiter;
  }

  Optional<End> end() {
    return end;
  }

  void requestEviction() {
    evictionRequested = true;
  }

  void requestThrottle(boolean requested) {
    throttleRequested = requested;
  }

  /** Returns whether the worker has confirmed that the attempt runs, and answered since. */
  boolean isResponsive() {
    return started && unansweredSinceMillis == 0;
  }

  /**
   * Marks the attempt as ended if no command of this owner can have an effect any more: either no
   * start was sent, or the latest worker lease that was granted has expired. This is safe because
   * no other entry renews an attempt under the epoch in which it was placed.
   */
  void endIfExpired(boolean cancelled, long nowMillis) {
    if (end.isEmpty()
        && placedByOwner
        && lastStartNotAfterMillis == 0
        && (cancelled || evictionRequested)) {
      markEnded(EndReason.NOT_FOUND, "");
    }
    long expiresAtMillis =
        lastLeaseNotAfterMillis
            + settings.workerLeaseMillis()
            + settings.maxClockErrorMillis()
            + checkpointWaitMillis();
    if (end.isEmpty()
        && placedByOwner
        && lastLeaseNotAfterMillis > 0
        && nowMillis > expiresAtMillis) {
      end = Optional.of(new End(EndReason.LEASE_LAPSED, ""));
    }
  }

  /** Returns the additional wait for a worker that may have written a checkpoint on eviction. */
  private long checkpointWaitMillis() {
    return evictionRequested && checkpointSent
        ? CHECKPOINT_WAIT_LEASES * settings.workerLeaseMillis()
        : 0;
  }

  /** Returns the next command to send, or empty if none is due. */
  Optional<CommandVerb> nextCommand(boolean cancelled, long nowMillis) {
    if (inFlight || end.isPresent()) {
      return Optional.empty();
    }
    boolean mustEnd = cancelled || evictionRequested || checkAbandoned(nowMillis);
    if (nowMillis < nextCommandMillis && !isSentAtOnce(mustEnd)) {
      return Optional.empty();
    }
    if (cancelled) {
      return Optional.of(CommandVerb.STOP);
    }
    if (mustEnd) {
      return Optional.of(CommandVerb.CHECKPOINT);
    }
    if (placedByOwner && !started) {
      return Optional.of(CommandVerb.START);
    }
    if (started && throttleRequested != throttled && nowMillis < nextCommandMillis) {
      return Optional.of(throttleRequested ? CommandVerb.THROTTLE : CommandVerb.UNTHROTTLE);
    }
    return Optional.of(CommandVerb.RENEW);
  }

  /** Returns whether the worker lease of a running task must be renewed now. */
  boolean isRenewalDue(long nowMillis) {
    return started && !inFlight && !abandoned && nowMillis >= nextCommandMillis;
  }

  /**
   * Returns whether the next command is sent without waiting for the next renewal. A command that
   * was not answered waits until its retry is due.
   */
  private boolean isSentAtOnce(boolean mustEnd) {
    return isResponsive() && (mustEnd || throttleRequested != throttled);
  }

  /**
   * Abandons the attempt if its worker has not answered for longer than a worker lease, so that the
   * lease expires. Returns whether the attempt is abandoned.
   */
  private boolean checkAbandoned(long nowMillis) {
    abandoned |=
        placedByOwner
            && unansweredSinceMillis > 0
            && nowMillis - unansweredSinceMillis > settings.workerLeaseMillis();
    return abandoned;
  }

  void onSent(OwnerAction.Command command) {
    inFlight = true;
    switch (command.verb()) {
      case START -> {
        lastStartNotAfterMillis = Math.max(lastStartNotAfterMillis, command.notAfterMillis());
        lastLeaseNotAfterMillis = Math.max(lastLeaseNotAfterMillis, command.notAfterMillis());
      }
      case RENEW ->
          lastLeaseNotAfterMillis = Math.max(lastLeaseNotAfterMillis, command.notAfterMillis());
      case CHECKPOINT -> checkpointSent = true;
      case STOP, THROTTLE, UNTHROTTLE -> {
        // does not extend the worker lease
      }
    }
  }

  void onUnanswered(OwnerAction.Command command, long nowMillis) {
    inFlight = false;
    nextCommandMillis = nowMillis + UNANSWERED_RETRY_MILLIS;
    if (unansweredSinceMillis == 0) {
      unansweredSinceMillis = command.sentAtMillis();
    }
  }

  void onStatus(
      OwnerAction.Command command,
      CommandResult.Status status,
      long formerLeaseUntilMillis,
      long nowMillis) {
    inFlight = false;
    unansweredSinceMillis = 0;
    nextCommandMillis = nowMillis + RETRY_MILLIS;
    switch (status.phase()) {
      case RUNNING -> onRunning(command);
      case DONE -> markEnded(EndReason.DONE, "");
      case FAILED -> markEnded(EndReason.FAILED, "");
      case CHECKPOINTED -> markEnded(EndReason.CHECKPOINTED, status.checkpoint());
      case STOPPED, LAPSED -> markEnded(EndReason.STOPPED, "");
      case UNKNOWN -> onUnknown(command, formerLeaseUntilMillis, nowMillis);
      case REFUSED -> {
        // the command arrived after its deadline; a new one follows
      }
    }
  }

  private void onRunning(OwnerAction.Command command) {
    started = true;
    switch (command.verb()) {
      case START, RENEW ->
          nextCommandMillis = command.sentAtMillis() + settings.renewalIntervalMillis();
      case THROTTLE -> throttled = true;
      case UNTHROTTLE -> throttled = false;
      case STOP, CHECKPOINT -> {
        // repeated until the worker reports that the attempt ended
      }
    }
  }

  /**
   * Processes the answer of a worker that does not know the attempt. The answer is conclusive only
   * if the worker can no longer accept a start command, so that the attempt cannot start later.
   */
  private void onUnknown(OwnerAction.Command command, long formerLeaseUntilMillis, long nowMillis) {
    long lastStartMillis = placedByOwner ? lastStartNotAfterMillis : formerLeaseUntilMillis;
    if (command.sentAtMillis() > lastStartMillis + settings.maxClockErrorMillis()) {
      markEnded(EndReason.NOT_FOUND, "");
    } else {
      nextCommandMillis = nowMillis + UNANSWERED_RETRY_MILLIS;
    }
  }

  private void markEnded(EndReason reason, String checkpoint) {
    end = Optional.of(new End(reason, checkpoint));
  }
}
