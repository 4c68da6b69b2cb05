package org.lavenderstage.entry.task;

import java.util.Optional;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.clients.WorkerClient;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.task.AttemptPhase;
import org.lavenderstage.core.task.CommandResult;
import org.lavenderstage.core.task.OwnerAction;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.platform.RenewTask;
import org.lavenderstage.wire.platform.StartTask;
import org.lavenderstage.wire.platform.TaskCommand;
import org.lavenderstage.wire.platform.TaskStatus;
import org.lavenderstage.wire.platform.TaskVerb;

/** Translates commands to platform messages, sends them and translates the answers. */
final class WorkerCalls {
  private final WorkerClient client;
  private final String entry;

  WorkerCalls(WorkerClient client, String entry) {
    this.client = client;
    this.entry = entry;
  }

  /**
   * Sends a command and waits for the answer, at most for the client's timeout. An answer about
   * another attempt counts as no answer.
   */
  CommandResult call(OwnerAction.Command command) {
    try {
      TaskStatus status = send(command);
      boolean isSameAttempt =
          status.job().equals(command.job().accepted().job())
              && status.attempt() == command.job().attempt();
      return isSameAttempt
          ? new CommandResult(command, Optional.of(toStatus(status)))
          : CommandResult.unanswered(command);
    } catch (PlatformUnavailableException e) {
      EventLog.info(
          LogEvent.WORKER_FAILED,
          "worker",
          command.job().worker(),
          "cause",
          String.valueOf(e.getMessage()));
      return CommandResult.unanswered(command);
    }
  }

  private TaskStatus send(OwnerAction.Command command) throws PlatformUnavailableException {
    return switch (command.verb()) {
      case START -> client.start(command.address(), start(command));
      case RENEW -> client.renew(command.address(), renew(command));
      case STOP -> client.command(command.address(), message(command, TaskVerb.STOP));
      case CHECKPOINT -> client.command(command.address(), message(command, TaskVerb.CHECKPOINT));
      case THROTTLE -> client.command(command.address(), message(command, TaskVerb.THROTTLE));
      case UNTHROTTLE -> client.command(command.address(), message(command, TaskVerb.UNTHROTTLE));
    };
  }

  private StartTask start(OwnerAction.Command command) {
    JobState job = command.job();
    return new StartTask(
        job.accepted().job(),
        job.attempt(),
        entry,
        command.epoch(),
        job.accepted().payload(),
        job.checkpoint(),
        job.accepted().cpuMillis(),
        job.accepted().memoryMb(),
        job.accepted().accelerators(),
        job.accepted().watcher() ? 0 : job.accepted().expectedMillis(),
        command.notAfterMillis(),
        command.leaseMillis());
  }

  private static RenewTask renew(OwnerAction.Command command) {
    return new RenewTask(
        command.job().accepted().job(),
        command.job().attempt(),
        command.epoch(),
        command.notAfterMillis(),
        command.leaseMillis());
  }

  private static TaskCommand message(OwnerAction.Command command, TaskVerb verb) {
    return new TaskCommand(
        command.job().accepted().job(),
        command.job().attempt(),
        command.epoch(),
        verb,
        command.notAfterMillis());
  }

  private static CommandResult.Status toStatus(TaskStatus status) {
    AttemptPhase phase =
        switch (status.phase()) {
          case RUNNING -> AttemptPhase.RUNNING;
          case DONE -> AttemptPhase.DONE;
          case FAILED -> AttemptPhase.FAILED;
          case CHECKPOINTED -> AttemptPhase.CHECKPOINTED;
          case STOPPED -> AttemptPhase.STOPPED;
          case LAPSED -> AttemptPhase.LAPSED;
          case REFUSED -> AttemptPhase.REFUSED;
          case UNKNOWN -> AttemptPhase.UNKNOWN;
        };
    return new CommandResult.Status(phase, status.checkpoint());
  }
}
