package org.lavenderstage.core.ledger.cell;

import org.lavenderstage.core.placement.Resources;
import org.lavenderstage.core.record.WorkerRegistered;

/**
 * The state of one worker as recorded in the log.
 *
 * @param registered its latest registration, with address, rack and size
 * @param used total of the resources that are allocated to the attempts placed on it
 */
public record WorkerState(WorkerRegistered registered, Resources used) {
  /**
   * Returns the total size of the worker.
   *
   * @return its total resources
   */
  public Resources total() {
    return new Resources(registered.cpuMillis(), registered.memoryMb(), registered.accelerators());
  }

  /**
   * Returns the resources that are not allocated to an attempt.
   *
   * @return the free resources
   */
  public Resources free() {
    return total().minus(used);
  }

  WorkerState allocating(Resources demand) {
    return new WorkerState(registered, used.plus(demand));
  }

  WorkerState releasing(Resources demand) {
    return new WorkerState(registered, used.minus(demand));
  }
}
