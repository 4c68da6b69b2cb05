package org.lavenderstage.core.ledger.cell;

import org.lavenderstage.core.placement.Resources;
import org.lavenderstage.core.record.WorkerRegistered;

/**
 * What the log says of one worker.
 *
 * @param registered address, rack and size
 * @param used sum of the demands of the attempts placed on it
 */
public record WorkerState(WorkerRegistered registered, Resources used) {
  /**
   * Returns the size of the worker.
   *
   * @return its resources
   */
  public Resources total() {
    return new Resources(registered.cpuMillis(), registered.memoryMb(), registered.accelerators());
  }

  /**
   * Returns what is not held by a placement.
   *
   * @return the room
   */
  public Resources free() {
    return total().minus(used);
  }

  WorkerState holding(Resources demand) {
    return new WorkerState(registered, used.plus(demand));
  }

  WorkerState releasing(Resources demand) {
    return new WorkerState(registered, used.minus(demand));
  }
}
