package org.lavenderstage.bench.task;

import java.util.List;

/**
 * The input of one run of the simulation model.
 *
 * @param jobs jobs, in the order of their arrival
 * @param interferes whether services run beside the tasks
 * @param correctsDemands whether observed usage corrects the declared demands of later jobs
 * @param faultyWorkers workers on which every task fails from {@link #FAULTY_FROM_MILLIS} on
 * @param tickMillis time between two planning rounds, in milliseconds
 * @param durationMillis duration of the run, in milliseconds
 */
record TaskCase(
    List<ModelJob> jobs,
    boolean interferes,
    boolean correctsDemands,
    List<Integer> faultyWorkers,
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
  static final long FAULTY_FROM_MILLIS = 300_000;
  static final String URGENT_CLASS = "urgent";

  TaskCase {
    jobs = List.copyOf(jobs);
    faultyWorkers = List.copyOf(faultyWorkers);
  }

  /** Returns the CPU of a worker that batch work may use, in thousandths of a core. */
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
