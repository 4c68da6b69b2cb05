package org.lavenderstage.core.task;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.ledger.cell.CellOwnership;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.AttemptExtended;
import org.lavenderstage.core.record.EndReason;

/** Starts, renews and ends the attempts of one cell under one epoch of its owner. */
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

  /** Looks at every live attempt; proposes only where the log and the cell lease permit it. */
  List<OwnerAction> step(OwnerInput input, boolean mayPropose) {
    List<OwnerAction> actions = new ArrayList<>();
    for (JobState job : input.ledger().placedJobs()) {
      SupervisedAttempt attempt = follow(job);
      attempt.endIfLapsed(job.cancelRequested(), input.nowMillis());
      if (mayPropose) {
        proposal(job, attempt, input.nowMillis()).ifPresent(actions::add);
      }
      command(job, attempt, input).ifPresent(actions::add);
    }
    attempts.keySet().removeIf(job -> !isPlaced(input.ledger(), job));
    return actions;
  }

  private static boolean isPlaced(CellLedger ledger, String job) {
    return ledger.job(job).filter(state -> !state.phase().isFinal()).isPresent();
  }

  private SupervisedAttempt follow(JobState job) {
    String id = job.accepted().job();
    SupervisedAttempt known = attempts.get(id);
    if (known != null && known.attempt() == job.attempt()) {
      return known;
    }
    SupervisedAttempt next = new SupervisedAttempt(settings, job.attempt(), job.epoch() == epoch);
    attempts.put(id, next);
    return next;
  }

  private Optional<OwnerAction> proposal(JobState job, SupervisedAttempt attempt, long nowMillis) {
    Optional<SupervisedAttempt.End> end = attempt.end();
    if (end.isEmpty() && nowMillis > job.untilMillis() + settings.doubleSkewMillis()) {
      end = Optional.of(new SupervisedAttempt.End(EndReason.HORIZON_PASSED, ""));
    }
    boolean extend = attempt.isHeard() && isExtensionDue(job, nowMillis);
    if ((end.isEmpty() && !extend) || !attempt.proposals().isDue(nowMillis)) {
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
    return job.untilMillis() - nowMillis < settings.extendBelowMillis();
  }

  private Optional<OwnerAction> command(JobState job, SupervisedAttempt attempt, OwnerInput input) {
    Optional<CommandVerb> verb = attempt.next(job.cancelRequested(), input.nowMillis());
    if (verb.isEmpty() || (verb.get() == CommandVerb.START && input.draining())) {
      return Optional.empty();
    }
    Optional<OwnerAction> command = command(verb.get(), job, attempt, input);
    // without the cell lease nothing may be ended, and what runs goes on
    return command.isEmpty() && attempt.isRenewalDue(input.nowMillis())
        ? command(CommandVerb.RENEW, job, attempt, input)
        : command;
  }

  private Optional<OwnerAction> command(
      CommandVerb verb, JobState job, SupervisedAttempt attempt, OwnerInput input) {
    long nowMillis = input.nowMillis();
    long notAfterMillis = notAfter(verb, job, input.ledger().ownership(), nowMillis);
    if (notAfterMillis <= nowMillis) {
      return Optional.empty();
    }
    String address =
        input.ledger().worker(job.worker()).map(w -> w.registered().address()).orElse("");
    OwnerAction.Command command =
        new OwnerAction.Command(
            verb, job, address, epoch, nowMillis, notAfterMillis, settings.workerLeaseMillis());
    attempt.sent(command);
    return Optional.of(command);
  }

  /**
   * Limits a command in time. A renewal may outlive the cell lease, since it starts nothing; the
   * worker lease that it gives ends before the task horizon.
   */
  private long notAfter(CommandVerb verb, JobState job, CellOwnership ownership, long nowMillis) {
    long horizonMillis =
        job.untilMillis() - settings.workerLeaseMillis() - settings.clockSkewMillis();
    long leaseMillis = ownership.leaseUntilMillis() - settings.clockSkewMillis();
    long soonMillis = nowMillis + settings.commandMillis();
    return switch (verb) {
      case START -> Math.min(soonMillis, Math.min(leaseMillis, horizonMillis));
      case RENEW -> Math.min(soonMillis, horizonMillis);
      case STOP, CHECKPOINT, THROTTLE, UNTHROTTLE -> Math.min(soonMillis, leaseMillis);
    };
  }

  /** Takes the fate of a command; one of an attempt that is no longer followed says nothing. */
  void take(WorkerAnswer answer, long formerLeaseUntilMillis, long nowMillis) {
    OwnerAction.Command command = answer.command();
    SupervisedAttempt attempt = attempts.get(command.job().accepted().job());
    if (attempt == null
        || attempt.attempt() != command.job().attempt()
        || command.epoch() != epoch) {
      return;
    }
    if (answer.status().isEmpty()) {
      attempt.lost(command, nowMillis);
    } else {
      attempt.answered(command, answer.status().get(), formerLeaseUntilMillis, nowMillis);
    }
  }
}
