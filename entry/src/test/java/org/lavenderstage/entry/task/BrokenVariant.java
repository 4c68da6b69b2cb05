package org.lavenderstage.entry.task;

import java.util.List;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.WorkerRegistered;
import org.lavenderstage.core.task.CommandVerb;
import org.lavenderstage.core.task.OwnerAction;
import org.lavenderstage.core.task.WorkerAnswer;

/** A mechanism taken away, so that the oracle can be seen to catch it. */
enum BrokenVariant {
  /** Nothing is broken. */
  NONE,
  /** The fold believes that workers have three times their size. */
  FOLD_IGNORES_SIZES,
  /** Start commands are not bounded by the cell lease. */
  STARTS_OUTLIVE_THE_LEASE,
  /** An attempt is ended because its worker does not answer. */
  SILENCE_ENDS_ATTEMPTS,
  /** The record of an eviction leaves its checkpoint out. */
  CHECKPOINT_NOT_RECORDED,
  /** A task that runs is ended by its owner's record alone, and placed again. */
  EVICTION_WITHOUT_STOP,
  /** An attempt that resumed is ended although its worker says that it runs. */
  RESUMED_ATTEMPTS_END_AT_ONCE;

  private static final int TIMES = 3;
  private static final long MINUTE_MILLIS = 60_000;

  OwnerAction action(OwnerAction action) {
    return switch (action) {
      case OwnerAction.Command command when command.verb() == CommandVerb.START ->
          this == STARTS_OUTLIVE_THE_LEASE ? unbounded(command) : command;
      case OwnerAction.Command command when command.verb() == CommandVerb.CHECKPOINT ->
          this == EVICTION_WITHOUT_STOP ? ended(command, EndReason.STOPPED) : command;
      case OwnerAction.Propose propose when propose.record() instanceof AttemptEnded ended ->
          this == CHECKPOINT_NOT_RECORDED ? withoutCheckpoint(ended) : propose;
      default -> action;
    };
  }

  /** Whether the fate of a command makes the owner end the attempt without reason. */
  boolean endsAttempt(WorkerAnswer answer) {
    return switch (this) {
      case SILENCE_ENDS_ATTEMPTS -> answer.status().isEmpty();
      case RESUMED_ATTEMPTS_END_AT_ONCE ->
          answer.command().verb() == CommandVerb.START
              && !answer.command().job().checkpoint().isEmpty();
      default -> false;
    };
  }

  static OwnerAction.Propose ended(OwnerAction.Command command, EndReason reason) {
    return new OwnerAction.Propose(
        new AttemptEnded(
            command.job().accepted().job(),
            command.job().attempt(),
            TaskWorld.CELL,
            command.epoch(),
            reason,
            ""));
  }

  private static OwnerAction unbounded(OwnerAction.Command command) {
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
    if (this != FOLD_IGNORES_SIZES) {
      return batch;
    }
    List<LedgerRecord> records = batch.records().stream().map(BrokenVariant::enlarged).toList();
    return RecordBatch.of(batch.writer(), batch.sequence(), records);
  }

  private static LedgerRecord enlarged(LedgerRecord record) {
    return record instanceof WorkerRegistered worker
        ? new WorkerRegistered(
            worker.worker(),
            worker.address(),
            worker.domain(),
            worker.rack(),
            worker.cpuMillis() * TIMES,
            worker.memoryMb() * TIMES,
            worker.accelerators())
        : record;
  }
}
