package org.lavenderstage.clients;

import java.util.concurrent.CompletableFuture;
import org.lavenderstage.core.pool.Order;
import org.lavenderstage.core.pool.OrderResult;

/** Sends orders to workers. */
@FunctionalInterface
public interface WorkerOrders {
  /**
   * Sends one order.
   *
   * @param order order to send
   * @return future of the result; never completes exceptionally
   */
  CompletableFuture<OrderResult> send(Order order);
}
