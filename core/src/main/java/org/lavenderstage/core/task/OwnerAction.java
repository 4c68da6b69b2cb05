package org.lavenderstage.core.task;

import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.record.LedgerRecord;

/** An action of the owner of a cell. */
public sealed interface OwnerAction {
  /**
   * Proposes a record to the cell's stream.
   *
   * @param record the proposed record
   */
  record Propose(LedgerRecord record) implements OwnerAction {}

  /**
   * Sends a command to a worker. The command must not be sent after {@code notAfterMillis}. Its
   * result, or the lack of an answer, is always passed to {@link CellOwnerLogic#handleResult}.
   *
   * @param verb the operation to perform
   * @param job the job, whose current attempt is the target of the command
   * @param address the host and port of the worker
   * @param epoch the epoch of the owner's claim
   * @param sentAtMillis the time of the decision, in milliseconds of the log's time
   * @param notAfterMillis the time after which the worker refuses the command, in milliseconds of
   *     the log's time
   * @param leaseMillis the length of the worker lease in milliseconds
   */
  record Command(
      CommandVerb verb,
      JobState job,
      String address,
      long epoch,
      long sentAtMillis,
      long notAfterMillis,
      long leaseMillis)
      implements OwnerAction {
    /**
     * Returns how long after the decision the command may still be sent.
     *
     * @return the time in milliseconds, to be measured on the monotonic clock
     */
    public long validMillis() {
      return notAfterMillis - sentAtMillis;
    }
  }
}
