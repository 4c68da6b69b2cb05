package org.lavenderstage.core.task;

import java.util.Optional;

/**
 * The fate of a command to a worker.
 *
 * @param command the command
 * @param status what the worker said, empty where no answer came and the command may have had its
 *     effect
 */
public record WorkerAnswer(OwnerAction.Command command, Optional<Status> status) {
  /**
   * What a worker said of an attempt.
   *
   * @param phase how far the attempt has come
   * @param checkpoint checkpoint that the worker wrote, empty for none
   */
  public record Status(AttemptPhase phase, String checkpoint) {}

  /**
   * Makes the fate of a command without an answer.
   *
   * @param command the command
   * @return the fate
   */
  public static WorkerAnswer lost(OwnerAction.Command command) {
    return new WorkerAnswer(command, Optional.empty());
  }
}
