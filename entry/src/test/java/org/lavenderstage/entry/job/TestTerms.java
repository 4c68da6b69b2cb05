package org.lavenderstage.entry.job;

import java.util.concurrent.CompletableFuture;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.WorkerOrders;
import org.lavenderstage.core.pool.OrderResult;
import org.lavenderstage.core.pool.PoolTiming;

/** Makes the owner's terms with the times of the users' platform. */
final class TestTerms {
  private TestTerms() {}

  /** Makes terms over a log, with workers that answer nothing. */
  static OwnerTerms over(KeyedLog log) {
    return over(
        log,
        (order, term) -> CompletableFuture.completedFuture(new OrderResult.Unanswered("none")));
  }

  static OwnerTerms over(KeyedLog log, WorkerOrders orders) {
    return new OwnerTerms(
        log, orders, new PoolTiming(6_000, 300, 2_500), 120_000, (decision, values) -> {});
  }
}
