package org.lavenderstage.core.task;

import java.util.Optional;
import org.lavenderstage.core.record.EndReason;

/**
 * What one owner knows of one attempt: the commands that it sent, what the worker said, and whether
 * the attempt has surely ended. Commands go out one at a time.
 */
final class SupervisedAttempt {
  private static final long RETRY_MILLIS = 50;
  private static final long LOST_RETRY_MILLIS = 500;
  private static final long PROPOSAL_MILLIS = 500;
  private static final long CHECKPOINT_LEASES = 3;

  /** The end of an attempt, as it is proposed. */
  record End(EndReason reason, String checkpoint) {}

  private final OwnerSettings settings;
  private final int attempt;
  private final boolean placedByOwner;
  private final Interval proposals = new Interval(PROPOSAL_MILLIS);
  private boolean started;
  private boolean inFlight;
  private boolean evicted;
  private boolean checkpointSent;
  private boolean throttled;
  private boolean throttleWanted;
  private boolean givenUp;
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

  Interval proposals() {
    return proposals;
  }

  Optional<End> end() {
    return end;
  }

  void evict() {
    evicted = true;
  }

  void throttle(boolean wanted) {
    throttleWanted = wanted;
  }

  /** Whether the worker said that it runs, and has answered since. */
  boolean isHeard() {
    return started && unansweredSinceMillis == 0;
  }

  /**
   * Ends the attempt where all that this owner ever sent has lost its effect. Nobody else renews an
   * attempt under the epoch in which it was placed.
   */
  void endIfLapsed(boolean cancelled, long nowMillis) {
    if (end.isEmpty() && placedByOwner && lastStartNotAfterMillis == 0 && (cancelled || evicted)) {
      ended(EndReason.NOT_FOUND, "");
    }
    long lapsedMillis =
        lastLeaseNotAfterMillis
            + settings.workerLeaseMillis()
            + settings.doubleSkewMillis()
            + checkpointWaitMillis();
    if (end.isEmpty() && placedByOwner && lastLeaseNotAfterMillis > 0 && nowMillis > lapsedMillis) {
      end = Optional.of(new End(EndReason.LEASE_LAPSED, ""));
    }
  }

  /** Waits longer for a worker that may hold the checkpoint of an eviction. */
  private long checkpointWaitMillis() {
    return evicted && checkpointSent ? CHECKPOINT_LEASES * settings.workerLeaseMillis() : 0;
  }

  /** Chooses the next command, where one is due. */
  Optional<CommandVerb> next(boolean cancelled, long nowMillis) {
    if (inFlight || end.isPresent()) {
      return Optional.empty();
    }
    boolean ending = cancelled || evicted || isGivenUp(nowMillis);
    if (nowMillis < nextCommandMillis && !isUrgent(ending)) {
      return Optional.empty();
    }
    if (cancelled) {
      return Optional.of(CommandVerb.STOP);
    }
    if (ending) {
      return Optional.of(CommandVerb.CHECKPOINT);
    }
    if (placedByOwner && !started) {
      return Optional.of(CommandVerb.START);
    }
    if (started && throttleWanted != throttled && nowMillis < nextCommandMillis) {
      return Optional.of(throttleWanted ? CommandVerb.THROTTLE : CommandVerb.UNTHROTTLE);
    }
    return Optional.of(CommandVerb.RENEW);
  }

  /** Whether a task that runs needs a renewal now. */
  boolean isRenewalDue(long nowMillis) {
    return started && !inFlight && !givenUp && nowMillis >= nextCommandMillis;
  }

  /** Whether a command need not wait for the next renewal; a lost one waits for its retry. */
  private boolean isUrgent(boolean ending) {
    return isHeard() && (ending || throttleWanted != throttled);
  }

  /** Gives an attempt up whose worker is silent for a worker lease, so that it lapses. */
  private boolean isGivenUp(long nowMillis) {
    givenUp |=
        placedByOwner
            && unansweredSinceMillis > 0
            && nowMillis - unansweredSinceMillis > settings.workerLeaseMillis();
    return givenUp;
  }

  void sent(OwnerAction.Command command) {
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
        // these give the task no more time
      }
    }
  }

  void lost(OwnerAction.Command command, long nowMillis) {
    inFlight = false;
    nextCommandMillis = nowMillis + LOST_RETRY_MILLIS;
    if (unansweredSinceMillis == 0) {
      unansweredSinceMillis = command.sentAtMillis();
    }
  }

  void answered(
      OwnerAction.Command command,
      WorkerAnswer.Status status,
      long formerLeaseUntilMillis,
      long nowMillis) {
    inFlight = false;
    unansweredSinceMillis = 0;
    nextCommandMillis = nowMillis + RETRY_MILLIS;
    switch (status.phase()) {
      case RUNNING -> running(command);
      case DONE -> ended(EndReason.DONE, "");
      case FAILED -> ended(EndReason.FAILED, "");
      case CHECKPOINTED -> ended(EndReason.CHECKPOINTED, status.checkpoint());
      case STOPPED, LAPSED -> ended(EndReason.STOPPED, "");
      case UNKNOWN -> unknown(command, formerLeaseUntilMillis, nowMillis);
      case REFUSED -> {
        // the command was too late; a fresh one follows
      }
    }
  }

  private void running(OwnerAction.Command command) {
    started = true;
    switch (command.verb()) {
      case START, RENEW -> nextCommandMillis = command.sentAtMillis() + settings.renewalMillis();
      case THROTTLE -> throttled = true;
      case UNTHROTTLE -> throttled = false;
      case STOP, CHECKPOINT -> {
        // repeated until the worker says that the attempt ended
      }
    }
  }

  /** Believes a worker that does not know the attempt once no start command can reach it. */
  private void unknown(OwnerAction.Command command, long formerLeaseUntilMillis, long nowMillis) {
    long lastStartMillis = placedByOwner ? lastStartNotAfterMillis : formerLeaseUntilMillis;
    if (command.sentAtMillis() > lastStartMillis + settings.doubleSkewMillis()) {
      ended(EndReason.NOT_FOUND, "");
    } else {
      nextCommandMillis = nowMillis + LOST_RETRY_MILLIS;
    }
  }

  private void ended(EndReason reason, String checkpoint) {
    end = Optional.of(new End(reason, checkpoint));
  }
}
