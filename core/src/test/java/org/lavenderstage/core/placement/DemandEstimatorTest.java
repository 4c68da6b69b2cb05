package org.lavenderstage.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DemandEstimatorTest {
  private static final WorkloadKey WORKLOAD = new WorkloadKey("workspace", "class");

  private final DemandEstimator estimator = new DemandEstimator(0.9);

  @Test
  void theDeclarationIsUsedUntilThereAreEnoughObservations() {
    estimator.observe(WORKLOAD, 1000);
    assertEquals(5000, estimator.estimate(WORKLOAD, 5000));
  }

  @Test
  void observationsOutweighAWrongDeclaration() {
    for (int i = 0; i < 64; i++) {
      estimator.observe(WORKLOAD, 1000);
    }
    assertTrue(estimator.estimate(WORKLOAD, 5000) < 1100);
    assertTrue(estimator.estimate(WORKLOAD, 200) > 900);
  }

  @Test
  void anotherWorkspacesObservationsDoNotCount() {
    for (int i = 0; i < 64; i++) {
      estimator.observe(WORKLOAD, 1000);
    }
    assertEquals(5000, estimator.estimate(new WorkloadKey("other", "class"), 5000));
  }
}
