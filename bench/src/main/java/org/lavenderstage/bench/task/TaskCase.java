package org.lavenderstage.bench.task;

import java.util.List;

/**
 * What one run of the model is given.
 *
 * @param jobs the jobs in the order of their arrival
 * @param interferes whether services run beside the tasks
 * @param correctsDemands whether observed usage corrects what later jobs declare
 * @param badWorkers workers that fail all from {@link #BAD_FROM_MILLIS} on
 * @param tickMillis time between two plans in milliseconds
 * @param durationMillis length of the run in milliseconds
 */
record TaskCase(
    List<ModelJob> jobs,
    boolean interferes,
    boolean correctsDemands,
    List<Integer> badWorkers,
    long tickMillis,
    long durationMillis) {
  static final int CELLS = 3;
  static final int WORKERS = 30;
  static final int WORKERS_PER_RACK = 8;
  static final int WORKER_CPU_MILLIS = 32_000;
  static final int SERVICE_CPU_MILLIS = 8_000;
  static final int WORKER_MEMORY_MB = 128_000;
  static final int MEMORY_MB_PER_CORE = 3_000;
  static final int CLASSES = 6;
  static final int NOISY_CLASS = CLASSES - 1;
  static final int WORKSPACES = 4;
  static final long BAD_FROM_MILLIS = 300_000;
  static final String URGENT_CLASS = "urgent";

  TaskCase {
    jobs = List.copyOf(jobs);
    badWorkers = List.copyOf(badWorkers);
  }

  /** Processors of a worker that batch work may hold. */
  int batchCpuMillis() {
    return interferes ? WORKER_CPU_MILLIS - SERVICE_CPU_MILLIS : WORKER_CPU_MILLIS;
  }

  static String batchClass(int index) {
    return "class-" + index;
  }

  static String workspace(int index) {
    return "workspace-" + index;
  }
}
