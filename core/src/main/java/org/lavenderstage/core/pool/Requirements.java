package org.lavenderstage.core.pool;

import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.placement.Resources;

/** What a task requires of a worker. */
record Requirements(Resources demand, String service, String requiredLabel) {
  static Requirements of(Task task) {
    StepSpec spec = task.step().spec();
    return new Requirements(
        Worker.demand(spec), task.step().job().rules().service(), spec.requiredLabel());
  }

  /** Returns whether a worker belongs to the service and has the label. */
  boolean permit(WorkerListing listing) {
    return matches(listing, service, requiredLabel);
  }

  /** Returns whether a worker belongs to a service and has a label, which may be empty. */
  static boolean matches(WorkerListing listing, String service, String requiredLabel) {
    return listing.service().equals(service)
        && (requiredLabel.isEmpty() || listing.labels().contains(requiredLabel));
  }
}
