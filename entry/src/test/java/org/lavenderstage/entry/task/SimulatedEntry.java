package org.lavenderstage.entry.task;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.cell.CellLedger;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.task.CellOwnerLogic;
import org.lavenderstage.core.task.CommandResult;
import org.lavenderstage.core.task.OwnerAction;
import org.lavenderstage.core.task.OwnerInput;
import org.lavenderstage.wire.codec.LedgerCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.platform.StoredRecord;

/** One entry in virtual time: its replica of the log, its appender and its owner logic. */
final class SimulatedEntry {
  private static final int PAGE_RECORDS = 1000;
  private static final long LOG_RETRY_MILLIS = 1000;

  /** An action that was decided and not executed yet. */
  private record DecidedAction(OwnerAction action, long decidedAtMillis) {}

  private final TaskSimulation simulation;
  private final String name;
  private final long clockOffsetMillis;
  private final CellOwnerLogic logic;
  private final LedgerStream<CellLedger> stream =
      new LedgerStream<>(new CellLedger(TaskSimulation.SKEW_MILLIS));
  private final List<LedgerRecord> pendingRecords = new ArrayList<>();
  private final Queue<DecidedAction> deferred = new ArrayDeque<>();
  private final Queue<CommandResult> results = new ArrayDeque<>();
  private byte[] pendingBatch = new byte[0];
  private long sequence;
  private boolean logAvailable = true;
  private boolean killed;
  private boolean draining;
  private long frozenUntilMillis;
  private long partitionedFromLogUntilMillis;
  private long appendNotBeforeMillis;
  private long readRetryAtMillis;
  private long appendRetryAtMillis;

  SimulatedEntry(
      TaskSimulation simulation, String name, long clockOffsetMillis, CellOwnerLogic logic) {
    this.simulation = simulation;
    this.name = name;
    this.clockOffsetMillis = clockOffsetMillis;
    this.logic = logic;
  }

  String name() {
    return name;
  }

  boolean isKilled() {
    return killed;
  }

  boolean isOwner() {
    return !killed && logic.ownedEpoch().isPresent();
  }

  CellLedger ledger() {
    return stream.stateMachine();
  }

  void drain() {
    draining = true;
  }

  void kill() {
    killed = true;
  }

  void freeze(long untilMillis) {
    frozenUntilMillis = untilMillis;
  }

  void partitionFromLog(long untilMillis) {
    partitionedFromLogUntilMillis = untilMillis;
  }

  void delayAppends(long untilMillis) {
    appendNotBeforeMillis = untilMillis;
  }

  void addResult(CommandResult result) {
    results.add(result);
    if (simulation.defect().endsAttempt(result)) {
      pendingRecords.add(TaskDefect.ended(result.command(), EndReason.STOPPED).record());
    }
  }

  private boolean isSuspended() {
    return killed || simulation.nowMillis() < frozenUntilMillis;
  }

  private long localNowMillis() {
    return simulation.nowMillis() + clockOffsetMillis;
  }

  /**
   * Performs one step. An entry that was frozen first executes the actions deferred by the freeze
   * and decides once more with its outdated state, before it reads the log.
   */
  void tick() {
    if (isSuspended()) {
      return;
    }
    List<DecidedAction> resumed = List.copyOf(deferred);
    deferred.clear();
    resumed.forEach(this::execute);
    if (!resumed.isEmpty()) {
      decide();
    }
    read();
    append();
    decide();
    append();
  }

  private void decide() {
    if (isSuspended()) {
      return;
    }
    long formerUntilMillis = ledger().ownership().formerLeaseUntilMillis();
    while (!results.isEmpty()) {
      logic.handleResult(results.remove(), formerUntilMillis, localNowMillis());
    }
    OwnerInput input =
        new OwnerInput(
            ledger(), localNowMillis(), logAvailable, simulation.listedWorkers(), draining);
    for (OwnerAction action : logic.step(input)) {
      execute(new DecidedAction(simulation.defect().action(action), simulation.nowMillis()));
    }
  }

  private void execute(DecidedAction next) {
    if (isSuspended()) {
      deferred.add(next);
      return;
    }
    long delayMillis = simulation.injectBefore(this, next.action());
    if (isSuspended()) {
      deferred.add(next);
      return;
    }
    switch (next.action()) {
      case OwnerAction.Propose propose -> pendingRecords.add(propose.record());
      case OwnerAction.Command command -> send(command, next.decidedAtMillis(), delayMillis);
    }
    simulation.injectAfter(this, next.action());
  }

  private void send(OwnerAction.Command command, long decidedAtMillis, long delayMillis) {
    if (simulation.nowMillis() - decidedAtMillis > command.validMillis()) {
      addResult(CommandResult.unanswered(command));
    } else {
      simulation.send(this, command, delayMillis);
    }
  }

  void append() {
    boolean answered = true;
    if (pendingBatch.length > 0 && stream.lastSequence(name) >= sequence) {
      pendingBatch = new byte[0];
    }
    if (pendingBatch.length == 0 && !pendingRecords.isEmpty()) {
      sequence++;
      pendingBatch = LedgerCodec.encode(RecordBatch.of(name, sequence, pendingRecords));
      pendingRecords.clear();
    }
    if (pendingBatch.length > 0 && simulation.nowMillis() >= appendNotBeforeMillis) {
      answered = appendNow();
      pendingBatch = answered ? new byte[0] : pendingBatch;
    }
    logAvailable = answered && isLogReachable() && simulation.nowMillis() >= readRetryAtMillis;
  }

  private boolean appendNow() {
    if (!isLogReachable() || simulation.nowMillis() < appendRetryAtMillis) {
      return false;
    }
    boolean answered = simulation.append(pendingBatch);
    appendRetryAtMillis = answered ? 0 : simulation.nowMillis() + LOG_RETRY_MILLIS;
    return answered;
  }

  private boolean isLogReachable() {
    return simulation.nowMillis() >= partitionedFromLogUntilMillis;
  }

  private void read() {
    if (!isLogReachable() || simulation.nowMillis() < readRetryAtMillis) {
      return;
    }
    try {
      for (StoredRecord record :
          simulation
              .log()
              .read(TaskSimulation.STREAM, stream.nextOffset(), PAGE_RECORDS, Duration.ZERO)
              .records()) {
        RecordPosition at = new RecordPosition(record.offset(), record.appendTimeMillis());
        RecordBatch batch = simulation.defect().batch(LedgerCodec.decode(record.bytes()));
        stream.apply(at, batch, (position, applied, effective) -> {});
      }
    } catch (PlatformUnavailableException e) {
      logAvailable = false;
      readRetryAtMillis = simulation.nowMillis() + LOG_RETRY_MILLIS;
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }
}
