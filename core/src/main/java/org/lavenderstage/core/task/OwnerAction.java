package org.lavenderstage.core.task;

import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.record.LedgerRecord;

/** What the owner of a cell does next. */
public sealed interface OwnerAction {
  /**
   * Propose a record to the cell's stream.
   *
   * @param record the proposal
   */
  record Propose(LedgerRecord record) implements OwnerAction {}

  /**
   * Command a worker. The command must not leave after {@code notAfterMillis}; the logic is told of
   * its answer or of its loss in any case.
   *
   * @param verb what the worker does
   * @param job the job with the attempt that is meant
   * @param address host and port of the worker
   * @param epoch epoch of the owner's claim
   * @param sentAtMillis time of the decision in milliseconds of the log's time
   * @param notAfterMillis time after which the worker refuses the command
   * @param leaseMillis length of the worker lease in milliseconds
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
     * Returns how long after the decision the command may still leave, on the monotonic clock.
     *
     * @return milliseconds
     */
    public long validMillis() {
      return notAfterMillis - sentAtMillis;
    }
  }
}
