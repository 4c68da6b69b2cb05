package org.lavenderstage.core.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WorkerHealthTest {
  private final WorkerHealth health = new WorkerHealth(1000);

  @Test
  void aWorkerThatFailsThreeDistinctJobsIsQuarantined() {
    health.failed("a", "worker");
    health.failed("a", "worker");
    health.failed("b", "worker");
    assertFalse(health.isQuarantined("worker"));
    health.failed("c", "worker");
    assertTrue(health.isQuarantined("worker"));
  }

  @Test
  void jobsThatFailEverywhereBlameNoWorker() {
    health.succeeded("good", "first");
    health.succeeded("good", "second");
    for (String job : new String[] {"a", "b", "c", "d"}) {
      health.failed(job, "first");
      health.failed(job, "second");
    }
    assertFalse(health.isQuarantined("first"));
    assertFalse(health.isQuarantined("second"));
  }

  @Test
  void aQuarantinedWorkerIsProbedAndReleasedAfterTwoSuccesses() {
    health.failed("a", "worker");
    health.failed("b", "worker");
    health.failed("c", "worker");
    assertTrue(health.isProbeDue("worker", 0));
    health.probe("worker", 0);
    assertFalse(health.isProbeDue("worker", 999));
    health.succeeded("d", "worker");
    assertTrue(health.isQuarantined("worker"));
    assertTrue(health.isProbeDue("worker", 1000));
    health.succeeded("e", "worker");
    assertFalse(health.isQuarantined("worker"));
  }
}
