package org.lavenderstage.entry.job;

import java.util.concurrent.CompletableFuture;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.WorkerOrders;
import org.lavenderstage.core.pool.OrderResult;
import org.lavenderstage.core.pool.PoolTiming;

/** Creates ownership managers with the timing of the users' platform. */
final class TestOwnership {
  private TestOwnership() {}

  /** Creates a manager for a log, with workers that answer no orders. */
  static OwnershipManager managerOf(KeyedLog log) {
    return managerOf(
        log, order -> CompletableFuture.completedFuture(new OrderResult.Unanswered("none")));
  }

  static OwnershipManager managerOf(KeyedLog log, WorkerOrders orders) {
    return new OwnershipManager(
        log, orders, new PoolTiming(6_000, 6_000, 300, 2_500), 120_000, (decision, values) -> {});
  }
}
