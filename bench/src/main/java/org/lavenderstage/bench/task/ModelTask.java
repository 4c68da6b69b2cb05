package org.lavenderstage.bench.task;

/** The progress of a job of the simulation model. */
final class ModelTask {
  final ModelJob job;
  int attempt;
  int worker = -1;
  boolean throttled;
  double doneCoreMillis;
  double intervalCoreMillis;
  long startMillis;
  long stopMillis = ModelJob.NEVER;
  boolean stopIsCancel;

  ModelTask(ModelJob job) {
    this.job = job;
  }

  void place(int nextAttempt, int onWorker, long atMillis) {
    attempt = nextAttempt;
    worker = onWorker;
    startMillis = atMillis;
    stopMillis = ModelJob.NEVER;
    throttled = false;
  }

  /** Returns a copy with the CPU time used since the last report, and resets that time. */
  ModelTask takeIntervalUsage() {
    ModelTask copy = new ModelTask(job);
    copy.attempt = attempt;
    copy.throttled = throttled;
    copy.intervalCoreMillis = intervalCoreMillis;
    intervalCoreMillis = 0;
    return copy;
  }

  boolean isRunning(long nowMillis) {
    return nowMillis >= startMillis && stopMillis == ModelJob.NEVER;
  }

  double coresWanted() {
    double cores = job.cpuMillis() / 1000.0;
    return throttled ? cores * TaskCell.THROTTLED_FRACTION : cores;
  }
}
