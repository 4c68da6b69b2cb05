package org.lavenderstage.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.lavenderstage.core.ledger.cell.WorkerState;

/** The state of a worker as seen by one plan. Its free resources shrink with each placement. */
final class WorkerView {
  final WorkerState state;
  final String id;
  final String rack;

  /** The indexes of the services on the worker. */
  final int[] services;

  /** The expected latency increase of each service, in the order of {@link #services}. */
  final double[] increases;

  /** The conservative latency increase of each service, in the order of {@link #services}. */
  final double[] conservativeIncreases;

  final boolean quarantined;
  final List<TaskView> tasks = new ArrayList<>();
  int freeCpuMillis;
  int freeMemoryMb;
  int freeAccelerators;

  WorkerView(WorkerState state, int[] services, boolean quarantined) {
    this.state = state;
    this.id = state.registered().worker();
    this.rack = state.registered().rack();
    this.services = services;
    this.increases = new double[services.length];
    this.conservativeIncreases = new double[services.length];
    this.quarantined = quarantined;
    Resources free = state.free();
    freeCpuMillis = free.cpuMillis();
    freeMemoryMb = free.memoryMb();
    freeAccelerators = free.accelerators();
  }

  boolean hasCapacityFor(Resources demand) {
    return demand.cpuMillis() <= freeCpuMillis
        && demand.memoryMb() <= freeMemoryMb
        && demand.accelerators() <= freeAccelerators;
  }

  void allocate(Resources demand) {
    freeCpuMillis -= demand.cpuMillis();
    freeMemoryMb -= demand.memoryMb();
    freeAccelerators -= demand.accelerators();
  }

  void release(Resources demand) {
    freeCpuMillis += demand.cpuMillis();
    freeMemoryMb += demand.memoryMb();
    freeAccelerators += demand.accelerators();
  }

  /** Returns the fraction of the CPU that is free, from 0 to 1. */
  double freeCpuFraction() {
    return (double) freeCpuMillis / Math.max(1, state.total().cpuMillis());
  }

  /** Returns the largest expected latency increase among the services of the worker. */
  double largestIncrease() {
    double largest = 0;
    for (double increase : increases) {
      largest = Math.max(largest, increase);
    }
    return largest;
  }
}
