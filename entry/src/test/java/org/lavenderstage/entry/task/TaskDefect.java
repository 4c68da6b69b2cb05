package org.lavenderstage.entry.task;

import java.util.List;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.WorkerRegistered;
import org.lavenderstage.core.task.CommandResult;
import org.lavenderstage.core.task.CommandVerb;
import org.lavenderstage.core.task.OwnerAction;

/** A defect introduced on purpose, to show that the oracle detects it. */
enum TaskDefect {
  /** No defect. */
  NONE,
  /** The ledger considers workers to have three times their resources. */
  LEDGER_ENLARGES_WORKERS,
  /** The deadline of start commands is not limited by the cell lease. */
  STARTS_OUTLIVE_CELL_LEASE,
  /** An attempt is ended as soon as its worker does not answer a command. */
  UNANSWERED_COMMANDS_END_ATTEMPTS,
  /** The record of an eviction does not contain the checkpoint. */
  CHECKPOINT_NOT_RECORDED,
  /** A running task is ended by a record without being stopped on its worker, and placed again. */
  EVICTION_WITHOUT_STOP,
  /** An attempt resumed from a checkpoint is ended although its worker reports it as running. */
  RESUMED_ATTEMPTS_END_IMMEDIATELY;

  private static final int ENLARGEMENT = 3;
  private static final long MINUTE_MILLIS = 60_000;

  OwnerAction action(OwnerAction action) {
    return switch (action) {
      case OwnerAction.Command command when command.verb() == CommandVerb.START ->
          this == STARTS_OUTLIVE_CELL_LEASE ? withLateDeadline(command) : command;
      case OwnerAction.Command command when command.verb() == CommandVerb.CHECKPOINT ->
          this == EVICTION_WITHOUT_STOP ? ended(command, EndReason.STOPPED) : command;
      case OwnerAction.Propose propose when propose.record() instanceof AttemptEnded ended ->
          this == CHECKPOINT_NOT_RECORDED ? withoutCheckpoint(ended) : propose;
      default -> action;
    };
  }

  /** Returns whether this defect makes the owner end the attempt on the result of a command. */
  boolean endsAttempt(CommandResult result) {
    return switch (this) {
      case UNANSWERED_COMMANDS_END_ATTEMPTS -> result.status().isEmpty();
      case RESUMED_ATTEMPTS_END_IMMEDIATELY ->
          result.command().verb() == CommandVerb.START
              && !result.command().job().checkpoint().isEmpty();
      default -> false;
    };
  }

  static OwnerAction.Propose ended(OwnerAction.Command command, EndReason reason) {
    return new OwnerAction.Propose(
        new AttemptEnded(
            command.job().accepted().job(),
            command.job().attempt(),
            TaskSimulation.CELL,
            command.epoch(),
            reason,
            ""));
  }

  private static OwnerAction withLateDeadline(OwnerAction.Command command) {
    return new OwnerAction.Command(
        command.verb(),
        command.job(),
        command.address(),
        command.epoch(),
        command.sentAtMillis(),
        command.sentAtMillis() + MINUTE_MILLIS,
        command.leaseMillis());
  }

  private static OwnerAction withoutCheckpoint(AttemptEnded ended) {
    return new OwnerAction.Propose(
        new AttemptEnded(
            ended.job(),
            ended.attempt(),
            ended.cell(),
            ended.epoch(),
            ended.reason() == EndReason.CHECKPOINTED ? EndReason.STOPPED : ended.reason(),
            ""));
  }

  RecordBatch batch(RecordBatch batch) {
    if (this != LEDGER_ENLARGES_WORKERS) {
      return batch;
    }
    List<LedgerRecord> records = batch.records().stream().map(TaskDefect::enlarged).toList();
    return RecordBatch.of(batch.writer(), batch.sequence(), records);
  }

  private static LedgerRecord enlarged(LedgerRecord record) {
    return record instanceof WorkerRegistered worker
        ? new WorkerRegistered(
            worker.worker(),
            worker.address(),
            worker.domain(),
            worker.rack(),
            worker.cpuMillis() * ENLARGEMENT,
            worker.memoryMb() * ENLARGEMENT,
            worker.accelerators())
        : record;
  }
}
