package org.lavenderstage.bench.task;

/**
 * A job of the simulation model.
 *
 * @param id identifier
 * @param cell index of its cell
 * @param arrivalMillis time of its submission, in milliseconds since the start of the run
 * @param workspace name of its workspace
 * @param batchClass name of its batch class
 * @param cpuMillis CPU that it uses, in thousandths of a core
 * @param declaredCpuMillis CPU that it declares, in thousandths of a core
 * @param runMillis run time at full speed in milliseconds
 * @param impossible whether it fails on every worker
 * @param cancelMillis time of its cancellation, {@link #NEVER} for none
 */
record ModelJob(
    String id,
    int cell,
    long arrivalMillis,
    String workspace,
    String batchClass,
    int cpuMillis,
    int declaredCpuMillis,
    long runMillis,
    boolean impossible,
    long cancelMillis) {
  static final long NEVER = Long.MAX_VALUE;

  double workCoreMillis() {
    return cpuMillis / 1000.0 * runMillis;
  }
}
