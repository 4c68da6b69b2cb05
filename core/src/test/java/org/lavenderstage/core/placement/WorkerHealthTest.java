package org.lavenderstage.core.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WorkerHealthTest {
  private final WorkerHealth health = new WorkerHealth(1000);

  @Test
  void aWorkerThatFailsThreeDistinctJobsIsQuarantined() {
    health.recordFailure("a", "worker");
    health.recordFailure("a", "worker");
    health.recordFailure("b", "worker");
    assertFalse(health.isQuarantined("worker"));
    health.recordFailure("c", "worker");
    assertTrue(health.isQuarantined("worker"));
  }

  @Test
  void jobsThatFailOnEveryWorkerQuarantineNone() {
    health.recordSuccess("good", "first");
    health.recordSuccess("good", "second");
    for (String job : new String[] {"a", "b", "c", "d"}) {
      health.recordFailure(job, "first");
      health.recordFailure(job, "second");
    }
    assertFalse(health.isQuarantined("first"));
    assertFalse(health.isQuarantined("second"));
  }

  @Test
  void aQuarantinedWorkerIsProbedAndReleasedAfterTwoSuccesses() {
    health.recordFailure("a", "worker");
    health.recordFailure("b", "worker");
    health.recordFailure("c", "worker");
    assertTrue(health.isProbeDue("worker", 0));
    health.recordProbe("worker", 0);
    assertFalse(health.isProbeDue("worker", 999));
    health.recordSuccess("d", "worker");
    assertTrue(health.isQuarantined("worker"));
    assertTrue(health.isProbeDue("worker", 1000));
    health.recordSuccess("e", "worker");
    assertFalse(health.isQuarantined("worker"));
  }
}
