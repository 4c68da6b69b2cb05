package org.lavenderstage.core.pool;

import java.util.Optional;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.StepSpec;

/**
 * A kind of capacity that jobs wait for: what a service's workers can allocate, or what their other
 * tasks leave idle.
 *
 * @param service name of the service
 * @param bestEffort whether this is the capacity that is left idle
 */
record CapacityKind(String service, boolean bestEffort) {
  /**
   * Returns the kind of capacity that decides when a job ends, empty where that cannot be
   * predicted: for jobs that repeat or have no end, for gangs, and for jobs that only some workers
   * or several kinds of capacity can serve.
   */
  static Optional<CapacityKind> of(JobRecord job) {
    boolean bestEffort = job.steps().get(0).filling();
    for (StepSpec step : job.steps()) {
      if (step.lasting()
          || step.gang()
          || step.accelerators() > 0
          || !step.requiredLabel().isEmpty()
          || step.filling() != bestEffort
          || step.estimateMillis() <= 0) {
        return Optional.empty();
      }
    }
    return job.repeatCount() > 0
        ? Optional.empty()
        : Optional.of(new CapacityKind(job.rules().service(), bestEffort));
  }
}
