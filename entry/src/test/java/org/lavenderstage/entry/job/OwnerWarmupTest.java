package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.WorkerOrders;
import org.lavenderstage.core.pool.Order;
import org.lavenderstage.http.EventLoops;
import org.lavenderstage.platform.PlatformHttp;
import org.lavenderstage.platform.PlatformWorkers;

class OwnerWarmupTest {
  private static final int MIN_COMPLETED = 20;

  private final EventLoopGroup eventLoops = EventLoops.create("warmup-test");
  private final PlatformHttp http = new PlatformHttp(eventLoops);
  private final Set<Class<?>> sentOrders = ConcurrentHashMap.newKeySet();

  @AfterEach
  void close() {
    http.close();
    EventLoops.shutDown(eventLoops);
  }

  private WorkerOrders orders() {
    PlatformWorkers workers = new PlatformWorkers(http);
    return order -> {
      sentOrders.add(order.getClass());
      return workers.send(order);
    };
  }

  /** A new owner interpreted its code for ten seconds, since no entry had run it before. */
  @Test
  void ordersOfJobsOfAllKindsAreSentAndTheirRunsCompleted() throws InterruptedException {
    int completed = new OwnerWarmup(orders(), eventLoops, () -> true, () -> 0).run();
    assertTrue(completed >= MIN_COMPLETED, "completed: " + completed);
    assertTrue(sentOrders.contains(Order.Start.class), () -> "sent: " + sentOrders);
    assertTrue(sentOrders.contains(Order.Poll.class), () -> "sent: " + sentOrders);
  }

  @Test
  void anEntryThatMayNotContinueSendsNothing() throws InterruptedException {
    assertEquals(0, new OwnerWarmup(orders(), eventLoops, () -> false, () -> 0).run());
    assertEquals(Set.of(), sentOrders);
  }
}
