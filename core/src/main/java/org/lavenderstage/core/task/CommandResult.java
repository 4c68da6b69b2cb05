package org.lavenderstage.core.task;

import java.util.Optional;

/**
 * The result of a command to a worker.
 *
 * @param command the command
 * @param status the status returned by the worker, or empty if no answer was received, in which
 *     case the command may have taken effect
 */
public record CommandResult(OwnerAction.Command command, Optional<Status> status) {
  /**
   * The status of an attempt as returned by a worker.
   *
   * @param phase the phase of the attempt
   * @param checkpoint the checkpoint that the worker wrote; empty if it wrote none
   */
  public record Status(AttemptPhase phase, String checkpoint) {}

  /**
   * Creates the result of a command to which no answer was received.
   *
   * @param command the command
   * @return the result
   */
  public static CommandResult unanswered(OwnerAction.Command command) {
    return new CommandResult(command, Optional.empty());
  }
}
