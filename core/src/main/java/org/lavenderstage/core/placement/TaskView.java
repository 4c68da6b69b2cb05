package org.lavenderstage.core.placement;

import org.lavenderstage.core.ledger.cell.JobState;

/** The state of a job as seen by one plan. */
final class TaskView {
  final JobState job;
  final String id;
  final String workspace;
  final Resources demand;
  final int batchClass;
  final int rank;
  boolean throttled;
  boolean evicting;

  /** Whether a proven worker is large enough for a retry, or null if not determined yet. */
  Boolean provenCandidateExists;

  TaskView(JobState job, int batchClass, int rank) {
    this.job = job;
    this.id = job.accepted().job();
    this.workspace = job.accepted().workspace();
    this.demand = job.demand();
    this.batchClass = batchClass;
    this.rank = rank;
  }

  boolean isWatcher() {
    return job.accepted().watcher();
  }

  WorkloadKey workload() {
    return new WorkloadKey(workspace, job.accepted().batchClass());
  }

  double cores() {
    return demand.cpuMillis() / 1000.0;
  }
}
