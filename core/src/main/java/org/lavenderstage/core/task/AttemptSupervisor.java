package org.lavenderstage.core.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.CellOwnership;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.AttemptExtended;
import org.lavenderstage.core.record.EndReason;

/** Starts, renews and ends the attempts of one cell under one ownership epoch. */
final class AttemptSupervisor {
  private final OwnerSettings settings;
  private final long epoch;
  private final Map<String, SupervisedAttempt> attempts = new HashMap<>();

  AttemptSupervisor(OwnerSettings settings, long epoch) {
    this.settings = settings;
    this.epoch = epoch;
  }

  long epoch() {
    return epoch;
  }

  Optional<SupervisedAttempt> attempt(String job) {
    return Optional.ofNullable(attempts.get(job));
  }

  /**
   * Decides the next actions for every placed attempt. Records are proposed only if {@code
   * mayPropose} is set, that is, the log answers and the cell lease is valid.
   */
  List<OwnerAction> step(OwnerInput input, boolean mayPropose) {
    List<OwnerAction> actions = new ArrayList<>();
    for (JobState job : input.ledger().placedJobs()) {
      SupervisedAttempt attempt = track(job);
      attempt.endIfExpired(job.cancelRequested(), input.nowMillis());
      if (mayPropose) {
        proposal(job, attempt, input.nowMillis()).ifPresent(actions::add);
      }
      command(job, attempt, input).ifPresent(actions::add);
    }
    if (attempts.size() > input.ledger().placedJobs().size()) {
      attempts.keySet().removeIf(job -> !isPlaced(input.ledger(), job));
    }
    return actions;
  }

  private static boolean isPlaced(CellLedger ledger, String job) {
    return ledger.job(job).filter(state -> state.phase() == JobPhase.PLACED).isPresent();
  }

  private SupervisedAttempt track(JobState job) {
    String id = job.accepted().job();
    SupervisedAttempt known = attempts.get(id);
    if (known != null && known.attempt() == job.attempt()) {
      return known;
    }
    SupervisedAttempt tracked =
        new SupervisedAttempt(settings, job.attempt(), job.epoch() == epoch);
    attempts.put(id, tracked);
    return tracked;
  }

  private Optional<OwnerAction> proposal(JobState job, SupervisedAttempt attempt, long nowMillis) {
    Optional<SupervisedAttempt.End> end = attempt.end();
    if (end.isEmpty() && nowMillis > job.untilMillis() + settings.maxClockErrorMillis()) {
      end = Optional.of(new SupervisedAttempt.End(EndReason.HORIZON_PASSED, ""));
    }
    boolean extend = attempt.isResponsive() && isExtensionDue(job, nowMillis);
    if ((end.isEmpty() && !extend) || !attempt.proposalLimiter().tryAcquire(nowMillis)) {
      return Optional.empty();
    }
    String id = job.accepted().job();
    if (end.isPresent()) {
      return Optional.of(
          new OwnerAction.Propose(
              new AttemptEnded(
                  id,
                  job.attempt(),
                  settings.cell(),
                  epoch,
                  end.get().reason(),
                  end.get().checkpoint())));
    }
    long untilMillis = nowMillis + settings.taskHorizonMillis();
    return Optional.of(
        new OwnerAction.Propose(
            new AttemptExtended(id, job.attempt(), settings.cell(), epoch, untilMillis)));
  }

  private boolean isExtensionDue(JobState job, long nowMillis) {
    return job.untilMillis() - nowMillis < settings.extensionThresholdMillis();
  }

  private Optional<OwnerAction> command(JobState job, SupervisedAttempt attempt, OwnerInput input) {
    Optional<CommandVerb> verb = attempt.nextCommand(job.cancelRequested(), input.nowMillis());
    if (verb.isEmpty() || (verb.get() == CommandVerb.START && input.draining())) {
      return Optional.empty();
    }
    Optional<OwnerAction> command = command(verb.get(), job, attempt, input);
    // without a valid cell lease no attempt may be ended, so running ones are renewed instead
    return command.isEmpty() && attempt.isRenewalDue(input.nowMillis())
        ? command(CommandVerb.RENEW, job, attempt, input)
        : command;
  }

  private Optional<OwnerAction> command(
      CommandVerb verb, JobState job, SupervisedAttempt attempt, OwnerInput input) {
    long nowMillis = input.nowMillis();
    long notAfterMillis = commandDeadline(verb, job, input.ledger().ownership(), nowMillis);
    if (notAfterMillis <= nowMillis) {
      return Optional.empty();
    }
    String address =
        input.ledger().worker(job.worker()).map(w -> w.registered().address()).orElse("");
    OwnerAction.Command command =
        new OwnerAction.Command(
            verb, job, address, epoch, nowMillis, notAfterMillis, settings.workerLeaseMillis());
    attempt.onSent(command);
    return Optional.of(command);
  }

  /**
   * Returns the time after which the worker refuses a command. A renewal may be valid beyond the
   * cell lease, since it starts nothing. The worker lease granted by a start or a renewal ends
   * before the task horizon.
   */
  private long commandDeadline(
      CommandVerb verb, JobState job, CellOwnership ownership, long nowMillis) {
    long latestLeaseStartMillis =
        job.untilMillis() - settings.workerLeaseMillis() - settings.clockSkewMillis();
    long leaseEndMillis = ownership.leaseUntilMillis() - settings.clockSkewMillis();
    long timeoutAtMillis = nowMillis + settings.commandTimeoutMillis();
    return switch (verb) {
      case START -> Math.min(timeoutAtMillis, Math.min(leaseEndMillis, latestLeaseStartMillis));
      case RENEW -> Math.min(timeoutAtMillis, latestLeaseStartMillis);
      case STOP, CHECKPOINT, THROTTLE, UNTHROTTLE -> Math.min(timeoutAtMillis, leaseEndMillis);
    };
  }

  /** Processes the result of a command; ignored if its attempt is no longer tracked. */
  void handleResult(CommandResult result, long formerLeaseUntilMillis, long nowMillis) {
    OwnerAction.Command command = result.command();
    SupervisedAttempt attempt = attempts.get(command.job().accepted().job());
    if (attempt == null
        || attempt.attempt() != command.job().attempt()
        || command.epoch() != epoch) {
      return;
    }
    if (result.status().isEmpty()) {
      attempt.onUnanswered(command, nowMillis);
    } else {
      attempt.onStatus(command, result.status().get(), formerLeaseUntilMillis, nowMillis);
    }
  }
}
